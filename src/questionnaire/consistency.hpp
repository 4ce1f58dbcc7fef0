// Checks of a questionnaire that look at more than one field.
#ifndef WAGTAILSEAM_QUESTIONNAIRE_CONSISTENCY_HPP
#define WAGTAILSEAM_QUESTIONNAIRE_CONSISTENCY_HPP

#include "settings/document.hpp"

#include <vector>

namespace wagtailseam::questionnaire
{

/// Returns what is wrong between the fields of the answers, in order of their
/// lines. @param answers follows the schema and has its defaults.
/// @param source gives the lines.
[[nodiscard]] std::vector<settings::fault> inconsistencies(
    const nlohmann::json& answers, const settings::document& source);

} // namespace wagtailseam::questionnaire

#endif
