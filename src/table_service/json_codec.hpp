// JSON forms of table requests and answers, used by the client and by the
// stand-in.
#ifndef WAGTAILSEAM_TABLE_SERVICE_JSON_CODEC_HPP
#define WAGTAILSEAM_TABLE_SERVICE_JSON_CODEC_HPP

#include "core/result.hpp"
#include "table_service/table.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::table_service
{

[[nodiscard]] nlohmann::json to_json(const transaction& asked);
/// @errors malformed_json
[[nodiscard]] result<transaction> transaction_from_json(
    const nlohmann::json& text);

[[nodiscard]] nlohmann::json to_json(const committed& answer);
[[nodiscard]] nlohmann::json to_json(const conflicted& answer);
/// @errors malformed_json
[[nodiscard]] result<committed> committed_from_json(const nlohmann::json& text);
/// @errors malformed_json
[[nodiscard]] result<conflicted> conflicted_from_json(
    const nlohmann::json& text);

[[nodiscard]] nlohmann::json to_json(const row& found);
/// @errors malformed_json
[[nodiscard]] result<row> row_from_json(const nlohmann::json& text);

/// Returns the field when it is text, empty otherwise.
[[nodiscard]] std::string string_field(
    const nlohmann::json& object, const char* field);

} // namespace wagtailseam::table_service

#endif
