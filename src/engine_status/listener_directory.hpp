// The processes that receive datagrams, as the rows of the row store list them.
#ifndef WAGTAILSEAM_ENGINE_STATUS_LISTENER_DIRECTORY_HPP
#define WAGTAILSEAM_ENGINE_STATUS_LISTENER_DIRECTORY_HPP

#include "engine_status/listener.hpp"
#include "platform/table_watcher.hpp"

#include <boost/asio/ip/udp.hpp>

#include <map>
#include <vector>

namespace wagtailseam::engine_status
{

/// Not thread-safe.
class listener_directory
{
public:
    struct entry
    {
        boost::asio::ip::udp::endpoint address;
        listener_role role = listener_role::gateway;
    };

    /// Applies the rows of `listener_table`. Logs and ignores invalid rows. A
    /// restored table may lack rows of running processes, so entries that are
    /// missing from it are kept.
    void apply(const platform::row_set& rows, platform::row_scope scope);

    /// Adds a process that announced itself. Logs and ignores an invalid
    /// address.
    /// @return whether its address was unknown
    bool insert(const vm_id& vm, const listener& announced);

    [[nodiscard]] const std::map<vm_id, entry>& entries() const noexcept
    {
        return entries_;
    }
    /// Returns the addresses of the processes with a role.
    /// @param except a VM whose process is left out
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> addresses(
        listener_role role, const vm_id& except = {}) const;

private:
    std::map<vm_id, entry> entries_;
};

} // namespace wagtailseam::engine_status

#endif
