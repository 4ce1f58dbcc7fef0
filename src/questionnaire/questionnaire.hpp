// What an operator answers: the schema of the questionnaire and the checks
// that go beyond one field.
#ifndef WAGTAILSEAM_QUESTIONNAIRE_QUESTIONNAIRE_HPP
#define WAGTAILSEAM_QUESTIONNAIRE_QUESTIONNAIRE_HPP

#include "settings/schema.hpp"

#include <string_view>

namespace wagtailseam::questionnaire
{

/// Returns the schema of the questionnaire; docs/QUESTIONNAIRE.md shows it.
[[nodiscard]] const settings::schema& questionnaire_schema();

/// Parses and checks a questionnaire: the schema, unique ids, references that
/// resolve, shares that fit, caller keys of one workspace only.
/// @return the answers with defaults, or every fault with path and line.
[[nodiscard]] settings::loaded load_questionnaire(std::string_view text);

} // namespace wagtailseam::questionnaire

#endif
