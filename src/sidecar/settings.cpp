// Schema of the sidecar's settings file.
#include "sidecar/settings.hpp"

#include "spread/distributor.hpp"

namespace wagtailseam::sidecar
{
namespace
{

using settings::text_format;
using settings::text_rule;

const text_rule identifier{.format = text_format::identifier};
const text_rule address{.format = text_format::address};

constexpr std::uint64_t bytes_per_mb = 1'000'000;

settings::schema make_schema()
{
    return {
        {{.name = "upstream",
          .rule = identifier,
          .description = "Id of the upstream, as in the questionnaire."},
         {.name = "role",
          .rule = text_rule{.one_of = {"engine", "service", "store"}},
          .description = "What the upstream is."},
         {.name = "vm",
          .rule = identifier,
          .description = "Id of the VM, as in the platform's list."},
         {.name = "data_centre",
          .rule = identifier,
          .description = "Where the VM is."},
         {.name = "listen",
          .rule = address,
          .description = "Where entries send dispatches; the next port takes "
                         "control messages."},
         {.name = "admin_listen",
          .rule = address,
          .description = "Where operators read health and metrics."},
         {.name = "upstream_address",
          .rule = address,
          .description = "Where the upstream listens."},
         {.name = "platform",
          .rule = address,
          .description = "Where the platform's service listens."},
         {.name = "process_key_file",
          .rule = text_rule{},
          .description = "File with one or two process keys."},
         {.name = "store_memory_mb",
          .rule = settings::whole_rule{.min = 1, .max = 1'000'000},
          .fallback = 1024,
          .description = "Memory for kept blocks, for the role store."},
         {.name = "configuration_peers",
          .rule = settings::list_of(address, 0, 8),
          .fallback = nlohmann::json::array(),
          .description = "Control addresses of a few entries, at best in "
                         "different data centres."},
         {.name = "configuration_file",
          .rule = text_rule{},
          .fallback = "",
          .description = "Configuration to start with before an accepted one "
                         "was read; may be empty."},
         {.name = "log_level",
          .rule = text_rule{.one_of = {"debug", "info", "warn", "error"}},
          .fallback = "info",
          .description = "Least important lines that are logged."}}};
}

} // namespace

const settings::schema& sidecar_schema()
{
    static const settings::schema made = make_schema();
    return made;
}

sidecar_settings read_settings(const nlohmann::json& value)
{
    const auto text = [&value](const char* field)
    { return value[field].get<std::string>(); };
    return sidecar_settings{
        .upstream = upstream_id{text("upstream")},
        .role = configuration::parse_upstream_kind(text("role")),
        .vm = vm_id{text("vm")},
        .data_centre = data_centre_id{text("data_centre")},
        .listen = http::address{text("listen")},
        .admin_listen = http::address{text("admin_listen")},
        .upstream_address = http::address{text("upstream_address")},
        .platform = http::address{text("platform")},
        .process_key_file = text("process_key_file"),
        .store_memory =
            byte_count{
                value["store_memory_mb"].get<std::uint64_t>() * bytes_per_mb},
        .configuration_file = text("configuration_file"),
        .configuration_peers =
            spread::parse_addresses(value["configuration_peers"])};
}

} // namespace wagtailseam::sidecar
