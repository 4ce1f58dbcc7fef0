// JSON encoding of table requests and responses, used by the client and by the
// platform stand-in.
#ifndef WAGTAILSEAM_TABLE_SERVICE_JSON_CODEC_HPP
#define WAGTAILSEAM_TABLE_SERVICE_JSON_CODEC_HPP

#include "core/result.hpp"
#include "table_service/table.hpp"

#include <nlohmann/json.hpp>

namespace wagtailseam::table_service
{

[[nodiscard]] nlohmann::json to_json(const transaction& request);
/// @errors malformed_json
[[nodiscard]] result<transaction> transaction_from_json(
    const nlohmann::json& encoded);

[[nodiscard]] nlohmann::json to_json(const committed& response);
[[nodiscard]] nlohmann::json to_json(const conflicted& response);
/// @errors malformed_json
[[nodiscard]] result<committed> committed_from_json(
    const nlohmann::json& encoded);
/// @errors malformed_json
[[nodiscard]] result<conflicted> conflicted_from_json(
    const nlohmann::json& encoded);

[[nodiscard]] nlohmann::json to_json(const row& source);
/// @errors malformed_json
[[nodiscard]] result<row> row_from_json(const nlohmann::json& encoded);

/// Returns a string field, or an empty string if it is missing or has another
/// type.
[[nodiscard]] std::string string_field(
    const nlohmann::json& object, const char* field);

} // namespace wagtailseam::table_service

#endif
