// Carries out the commands of an attempt's core: dispatch, stream, resume,
// tombstone, cancel.
#ifndef WAGTAILSEAM_ENTRY_ATTEMPT_RUN_HPP
#define WAGTAILSEAM_ENTRY_ATTEMPT_RUN_HPP

#include "attempt/attempt_state_machine.hpp"
#include "entry/peers.hpp"
#include "messages/delimited.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wagtailseam::entry
{

/// Takes a part of the answer; returns when the caller's socket has taken it,
/// so that a slow caller slows the upstream.
using payload_sink = std::function<asio::awaitable<void>(std::string)>;

/// Returns the refusal of a dispatch. Its code is outcome_unknown if the
/// response broke off or names no reason.
[[nodiscard]] messages::control_reply decode_refusal(
    const result<http::response>& answer);

/// One attempt under way. Kept alive by its own operations.
class attempt_run : public std::enable_shared_from_this<attempt_run>
{
public:
    /// @param asked all fields but request, attempt, incarnation and validity
    attempt_run(
        peers& shared, attempt::attempt_options options,
        messages::dispatch asked, payload_sink sink);

    /// Runs to the verdict.
    asio::awaitable<attempt::attempt_result> run();

    /// The caller closed its connection.
    void caller_left() { feed(attempt::caller_disconnected{}); }

    /// Returns what the end of the stream said; empty before.
    [[nodiscard]] const messages::stream_end& last() const noexcept
    {
        return last_;
    }
    [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }

private:
    void feed(const attempt::attempt_event& event);
    void obey(const attempt::attempt_command& command);
    void obey_one(const attempt::send_dispatch& command);
    void obey_one(const attempt::send_tombstone& command);
    void obey_one(const attempt::resume_stream& command);
    void obey_one(const attempt::deliver& command);
    void obey_one(const attempt::cancel_run& command);
    void obey_one(const attempt::set_timer& command);
    void obey_one(const attempt::report_result& command);

    asio::awaitable<void> dispatch();
    asio::awaitable<void> resume(std::uint64_t next_frame);
    asio::awaitable<void> ask_tombstone();
    asio::awaitable<void> ask_cancel();
    asio::awaitable<void> read_frames(
        http::response_stream stream, std::uint64_t reader);
    /// @return false when the bytes are malformed
    bool take_frames(
        messages::delimited_reader& frames, std::string_view bytes);
    void take_frame(messages::frame frame);
    [[nodiscard]] http::address data_address() const;

    peers& shared_;
    attempt::attempt_state_machine core_;
    messages::dispatch asked_;
    payload_sink sink_;
    asio::steady_timer timer_;
    /// Never due: cancelled when the verdict is there.
    asio::steady_timer concluded_;
    std::optional<attempt::attempt_result> verdict_;
    messages::stream_end last_;
    std::uint32_t tokens_ = 0;
    /// Delivered by the core, not yet passed to the sink.
    std::string undelivered_;
    /// Grows with each connection; readers of older ones stop.
    std::uint64_t reader_ = 0;
    /// A payload is being passed to the sink.
    bool delivering_ = false;
    bool resuming_ = false;
    bool asking_ = false;
};

} // namespace wagtailseam::entry

#endif
