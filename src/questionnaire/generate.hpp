// Derives a configuration from a checked questionnaire.
#ifndef WAGTAILSEAM_QUESTIONNAIRE_GENERATE_HPP
#define WAGTAILSEAM_QUESTIONNAIRE_GENERATE_HPP

#include <nlohmann/json.hpp>

#include <string>

namespace wagtailseam::questionnaire
{

/// Returns the bytes of the configuration that the answers lead to. Answers
/// that differ only in order, comments or layout give the same bytes. Every
/// value that no answer states has an entry under `reasons`.
/// @pre load_questionnaire() found no fault in the answers.
/// Complexity: linear in the answers times the number of cells.
[[nodiscard]] std::string generate(const nlohmann::json& answers);

} // namespace wagtailseam::questionnaire

#endif
