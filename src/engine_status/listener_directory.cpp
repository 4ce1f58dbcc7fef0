// Decodes listener rows and their addresses.
#include "engine_status/listener_directory.hpp"

#include "http/endpoint.hpp"
#include "telemetry/event_log.hpp"

namespace wagtailseam::engine_status
{

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
        const auto listener = decode_listener(*row.value);
        const auto address = listener
                                 ? http::parse_endpoint(listener->address)
                                 : result<boost::asio::ip::tcp::endpoint>(
                                       fail(result_code::malformed_message));
        if (!address)
        {
            telemetry::event("listener_row_ignored")
                .with("row", row.key)
                .warning();
            continue;
        }
        entries_.insert_or_assign(
            vm,
            entry{
                .address = {address.value().address(), address.value().port()},
                .role = listener->role});
    }
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
