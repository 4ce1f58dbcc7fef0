// Decodes listener rows and their addresses.
#include "engine_status/listener_directory.hpp"

#include "http/endpoint.hpp"
#include "telemetry/event_log.hpp"

namespace wagtailseam::engine_status
{

namespace
{

void log_ignored_listener(const vm_id& vm)
{
    telemetry::event("listener_row_ignored").with("row", vm).warning();
}

} // namespace

void listener_directory::apply(
    const platform::row_set& rows, platform::row_scope scope)
{
    if (scope == platform::row_scope::whole_table)
    {
        entries_.clear();
    }
    for (const auto& row : rows.rows)
    {
        const vm_id vm{row.key};
        if (!row.value)
        {
            entries_.erase(vm);
            continue;
        }
        const auto decoded = decode_listener(*row.value);
        if (!decoded)
        {
            log_ignored_listener(vm);
            continue;
        }
        (void)insert(vm, *decoded);
    }
}

bool listener_directory::insert(const vm_id& vm, const listener& announced)
{
    const auto parsed = http::parse_endpoint(announced.address);
    if (!parsed)
    {
        log_ignored_listener(vm);
        return false;
    }
    const boost::asio::ip::udp::endpoint address(
        parsed.value().address(), parsed.value().port());
    const auto known = entries_.find(vm);
    const bool is_new =
        known == entries_.end() || known->second.address != address;
    entries_.insert_or_assign(
        vm, entry{.address = address, .role = announced.role});
    return is_new;
}

std::vector<boost::asio::ip::udp::endpoint> listener_directory::addresses(
    listener_role role, const vm_id& except) const
{
    std::vector<boost::asio::ip::udp::endpoint> found;
    for (const auto& [vm, listener] : entries_)
    {
        if (listener.role == role && vm != except)
        {
            found.push_back(listener.address);
        }
    }
    return found;
}

} // namespace wagtailseam::engine_status
