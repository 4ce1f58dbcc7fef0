// Storage layout of accepted configurations in the platform: a head row, a
// history row for each number, and an object named by the digest of its bytes.
#ifndef WAGTAILSEAM_CONFIGURATION_ROWS_HPP
#define WAGTAILSEAM_CONFIGURATION_ROWS_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "table_service/table.hpp"

#include <string>
#include <string_view>

namespace wagtailseam::configuration
{

/// Record of one acceptance. The head row stores the latest record; each
/// number has a history row.
struct acceptance
{
    config_number number;
    /// SHA-256 of the configuration bytes; the object is named by it.
    digest object;
    /// Random value that the operator's program generates for this acceptance.
    std::string nonce;
    /// Name of the operator who accepted the configuration.
    std::string by;
    wall_time at;
    /// The number whose content a rollback restores; 0 for other acceptances.
    config_number restores;

    friend bool operator==(const acceptance&, const acceptance&) = default;
};

inline constexpr std::string_view configuration_table = "config";
inline constexpr std::string_view history_prefix = "history/";

/// Returns the key of the latest acceptance.
[[nodiscard]] table_service::row_key head_row();

/// Returns the key of the acceptance with this number. Keys sort by number.
[[nodiscard]] table_service::row_key history_row(config_number number);

/// Returns the name of the object with this digest.
[[nodiscard]] std::string object_name(const digest& object);

/// Encodes an acceptance as a row value.
[[nodiscard]] std::string encode(const acceptance& row);

/// Decodes a row value.
/// @errors malformed_message: the value is not an encoded acceptance.
[[nodiscard]] result<acceptance> decode_acceptance(std::string_view value);

} // namespace wagtailseam::configuration

#endif
