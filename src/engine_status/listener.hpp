// Names a process as one that takes engines' status.
#ifndef WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP
#define WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP

#include "core/ids.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace wagtailseam::engine_status
{

/// Table of the platform's store in which processes name the address that
/// takes datagrams; the key is the VM.
inline constexpr const char* listener_table = "status_listeners";

/// Writes the row of a VM, again and again until the store has it.
boost::asio::awaitable<void> announce_listener(
    platform::store_client& store, vm_id vm, std::string ip,
    std::uint16_t port);

} // namespace wagtailseam::engine_status

#endif
