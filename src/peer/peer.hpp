// Control messages between the system's processes: nng request and reply,
// protobuf bodies, signed envelopes.
#ifndef WAGTAILSEAM_PEER_PEER_HPP
#define WAGTAILSEAM_PEER_PEER_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "http/message.hpp"
#include "identity/process_keys.hpp"
#include "messages/wagtail.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace wagtailseam::peer
{

namespace asio = boost::asio;

/// Bytes and messages of control traffic of one process.
struct traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    /// Messages dropped because no accepted key had signed them.
    std::uint64_t bad_signatures = 0;
};

/// Wraps a message: serialised, with nonce and signature.
[[nodiscard]] std::string seal(
    const identity::process_keys& keys, std::uint64_t nonce,
    const google::protobuf::MessageLite& message);

/// Unwraps a message. @errors bad_process_signature, malformed_message
[[nodiscard]] result<void> open_sealed(
    const identity::process_keys& keys, std::string_view sealed,
    google::protobuf::MessageLite& message);

using control_handler = std::function<asio::awaitable<messages::control_reply>(
    messages::control_request)>;

/// Answers control messages at an address until destroyed.
class control_server
{
public:
    /// Requests handled at a time; more wait in nng's queues.
    static constexpr int parallel_requests = 16;

    /// @throws std::runtime_error when it cannot listen.
    control_server(
        const asio::any_io_executor& executor, const http::address& listen,
        const identity::process_keys& keys, traffic& counts,
        control_handler handle);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Asks control servers; connections are kept for each address.
class control_client
{
public:
    control_client(
        const asio::any_io_executor& executor,
        const identity::process_keys& keys, traffic& counts);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    /// Sends a request and waits for its reply.
    /// @errors upstream_unreachable: no reply in time (the request may have
    ///         been received), bad_process_signature, malformed_message.
    asio::awaitable<result<messages::control_reply>> ask(
        http::address to, messages::control_request asked, duration timeout);

    /// Forgets connections to an address that left.
    void forget(const http::address& to);

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace wagtailseam::peer

#endif
