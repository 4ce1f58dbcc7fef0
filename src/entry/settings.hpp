// Settings of wagtail-entry.
#ifndef WAGTAILSEAM_ENTRY_SETTINGS_HPP
#define WAGTAILSEAM_ENTRY_SETTINGS_HPP

#include "core/ids.hpp"
#include "http/message.hpp"
#include "settings/schema.hpp"

#include <string>
#include <vector>

namespace wagtailseam::entry
{

struct entry_settings
{
    entry_id entry;
    vm_id vm;
    data_centre_id data_centre;
    http::address caller_listen;
    http::address admin_listen;
    /// Control messages between processes.
    http::address control_listen;
    http::address platform;
    std::string process_key_file;
    /// Configuration to use until one is accepted; empty: none.
    std::string configuration_file;
    /// Control addresses of the processes that this one asks for the
    /// configuration at its start, and that keep what it has in force.
    std::vector<http::address> configuration_peers;
};

/// Returns the schema of the settings file.
[[nodiscard]] const settings::schema& entry_schema();

/// Reads checked settings. @pre the value follows entry_schema()
[[nodiscard]] entry_settings read_settings(const nlohmann::json& value);

} // namespace wagtailseam::entry

#endif
