// Registers a process as a receiver of engine status datagrams.
#ifndef WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP
#define WAGTAILSEAM_ENGINE_STATUS_LISTENER_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "http/message.hpp"
#include "platform/row_store_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailseam::engine_status
{

/// Table of the platform's row store that holds the addresses at which
/// processes receive datagrams. The key is the VM of the process.
inline constexpr const char* listener_table = "status_listeners";
/// Interval of the polls of the table during an outage of the store. Processes
/// that are known stay known, and the platform charges for each poll.
inline constexpr duration listener_outage_interval = std::chrono::seconds(1);

/// Selects which datagrams a listener receives.
enum class listener_role : std::uint8_t
{
    /// The status of engines and the changes of cache stores.
    gateway,
    /// The status of engines, for the weights that they run.
    agent,
};

struct listener
{
    http::address address;
    listener_role role = listener_role::gateway;
};

[[nodiscard]] std::string encode_listener(const listener& entry);

/// Returns nullopt if the text is not a valid listener row.
[[nodiscard]] std::optional<listener> decode_listener(const std::string& text);

/// Encodes the datagram by which a process makes itself known to those whose
/// rows it has read. They may not be able to read its own row.
[[nodiscard]] std::string encode_greeting(const vm_id& vm, const listener& own);
[[nodiscard]] bool is_greeting(std::string_view datagram) noexcept;
/// @errors malformed_message
[[nodiscard]] result<std::pair<vm_id, listener>> decode_greeting(
    std::string_view datagram);

/// Writes the listener row of a VM, and again whenever the store was restored.
/// Does not end.
boost::asio::awaitable<void> register_listener(
    platform::row_store_client& store, vm_id vm, listener entry);

} // namespace wagtailseam::engine_status

#endif
