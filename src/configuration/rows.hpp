// How accepted configurations lie in the platform: a head row, a history row
// for each number, and the bytes as an object named by its digest.
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

/// One acceptance. The head row holds the latest, a history row each.
struct acceptance
{
    config_number number;
    /// SHA-256 of the configuration's bytes; names the object.
    digest object;
    /// Random, chosen by the operator's program for this one acceptance.
    std::string nonce;
    /// Who accepted it.
    std::string by;
    wall_time at;
    /// The number whose content a rollback restores; 0 otherwise.
    config_number restores;

    friend bool operator==(const acceptance&, const acceptance&) = default;
};

inline constexpr std::string_view configuration_table = "config";
inline constexpr std::string_view history_prefix = "history/";

/// Returns where the latest acceptance stands.
[[nodiscard]] table_service::row_key head_row();

/// Returns where the acceptance of a number stands; the keys sort by number.
[[nodiscard]] table_service::row_key history_row(config_number number);

/// Returns the name of a configuration's object.
[[nodiscard]] std::string object_name(const digest& object);

/// Returns the value of a row.
[[nodiscard]] std::string encode(const acceptance& row);

/// Reads the value of a row. @return malformed_message when it is not one.
[[nodiscard]] result<acceptance> decode_acceptance(std::string_view value);

} // namespace wagtailseam::configuration

#endif
