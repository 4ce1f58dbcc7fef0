// Settings of wagtail-sidecar.
#ifndef WAGTAILSEAM_SIDECAR_SETTINGS_HPP
#define WAGTAILSEAM_SIDECAR_SETTINGS_HPP

#include "configuration/configuration.hpp"
#include "core/ids.hpp"
#include "http/message.hpp"
#include "settings/schema.hpp"

#include <string>
#include <vector>

namespace wagtailseam::sidecar
{

struct sidecar_settings
{
    upstream_id upstream;
    configuration::upstream_kind role = configuration::upstream_kind::engine;
    vm_id vm;
    data_centre_id data_centre;
    /// HTTP for dispatches; the port above it takes control messages.
    http::address listen;
    http::address admin_listen;
    http::address upstream_address;
    http::address platform;
    std::string process_key_file;
    /// Memory for kept blocks; stores only.
    byte_count store_memory;
    /// Configuration to start with; empty: only accepted ones are used.
    std::string configuration_file;
    /// Control addresses of entries that this process asks for the
    /// configuration at its start.
    std::vector<http::address> configuration_peers;
};

/// Returns the schema of the settings file.
[[nodiscard]] const settings::schema& sidecar_schema();

/// Reads checked settings. @pre the value follows sidecar_schema()
[[nodiscard]] sidecar_settings read_settings(const nlohmann::json& value);

} // namespace wagtailseam::sidecar

#endif
