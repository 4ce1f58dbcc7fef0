// Names a process as one that takes engines' status.
#ifndef WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP
#define WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP

#include "core/ids.hpp"
#include "http/message.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailseam::engine_status
{

/// Table of the platform's store in which processes name the address that
/// takes datagrams; the key is the VM.
inline constexpr const char* listener_table = "status_listeners";

/// What a listener needs to hear.
enum class listener_role : std::uint8_t
{
    /// Everything on engines and cache stores.
    gateway,
    /// Which weights engines run.
    agent,
};

struct listener
{
    http::address address;
    listener_role role = listener_role::gateway;
};

[[nodiscard]] std::string encode_listener(const listener& row);

/// Nothing when the text is no listener's row.
[[nodiscard]] std::optional<listener> decode_listener(const std::string& text);

/// Writes the row of a VM, again and again until the store has it.
boost::asio::awaitable<void> register_listener(
    platform::row_store_client& store, vm_id vm, listener row);

} // namespace wagtailseam::engine_status

#endif
