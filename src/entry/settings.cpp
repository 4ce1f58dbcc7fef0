// Schema of the entry's settings file.
#include "entry/settings.hpp"

#include "spread/distributor.hpp"

namespace wagtailseam::entry
{
namespace
{

using settings::text_format;
using settings::text_rule;

const text_rule identifier{.format = text_format::identifier};
const text_rule address{.format = text_format::address};

settings::schema make_schema()
{
    return {
        {{.name = "entry",
          .rule = identifier,
          .description = "Id of this entry, unique in the deployment."},
         {.name = "vm",
          .rule = identifier,
          .description = "Id of the VM, as in the platform's list."},
         {.name = "data_centre",
          .rule = identifier,
          .description = "Where the VM is."},
         {.name = "caller_listen",
          .rule = address,
          .description = "Where callers send requests."},
         {.name = "admin_listen",
          .rule = address,
          .description = "Where operators read health, metrics and status."},
         {.name = "control_listen",
          .rule = address,
          .description = "Where other processes send control messages."},
         {.name = "platform",
          .rule = address,
          .description = "Where the platform's service listens."},
         {.name = "process_key_file",
          .rule = text_rule{},
          .description = "File with one or two process keys."},
         {.name = "configuration_file",
          .rule = text_rule{},
          .fallback = "",
          .description = "Configuration to use, as number 0, until the first "
                         "is accepted; may be empty."},
         {.name = "configuration_peers",
          .rule = settings::list_of(address, 0, 8),
          .fallback = nlohmann::json::array(),
          .description = "Control addresses of a few other entries, at best "
                         "in other data centres; the relation is mutual."},
         {.name = "log_level",
          .rule = text_rule{.one_of = {"debug", "info", "warn", "error"}},
          .fallback = "info",
          .description = "Least important lines that are logged."}}};
}

} // namespace

const settings::schema& entry_schema()
{
    static const settings::schema made = make_schema();
    return made;
}

entry_settings read_settings(const nlohmann::json& value)
{
    const auto text = [&value](const char* field)
    { return value[field].get<std::string>(); };
    return entry_settings{
        .entry = entry_id{text("entry")},
        .vm = vm_id{text("vm")},
        .data_centre = data_centre_id{text("data_centre")},
        .caller_listen = http::address{text("caller_listen")},
        .admin_listen = http::address{text("admin_listen")},
        .control_listen = http::address{text("control_listen")},
        .platform = http::address{text("platform")},
        .process_key_file = text("process_key_file"),
        .configuration_file = text("configuration_file"),
        .configuration_peers =
            spread::parse_addresses(value["configuration_peers"])};
}

} // namespace wagtailseam::entry
