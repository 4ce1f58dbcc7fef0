// The frames of one attempt as its sidecar keeps them, so that a stream that
// broke can be resumed and a slow reader slows the upstream.
#ifndef WAGTAILSEAM_SIDECAR_ATTEMPT_RECORD_HPP
#define WAGTAILSEAM_SIDECAR_ATTEMPT_RECORD_HPP

#include "attempt/attempt_types.hpp"
#include "core/digest.hpp"
#include "messages/wagtail.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wagtailseam::sidecar
{

namespace asio = boost::asio;

class attempt_record
{
public:
    /// The upstream is not read while this many bytes wait for a reader.
    static constexpr std::size_t max_unread_bytes = std::size_t{256} * 1024;
    /// An answer longer than this is ended as broken.
    static constexpr std::size_t max_answer_bytes =
        std::size_t{32} * 1024 * 1024;

    attempt_record(
        const asio::any_io_executor& executor, attempt::attempt_id id,
        incarnation life, bool idempotent);

    /// The request was given to the upstream.
    void mark_started();
    /// The upstream was not reached; nothing was sent to it.
    void refuse(result_code code);
    /// Waits until started, refused or ended.
    asio::awaitable<void> wait_started();
    [[nodiscard]] std::optional<result_code> refusal() const noexcept
    {
        return refusal_;
    }

    /// Adds a part of the answer. @pre not ended
    void append(std::string_view payload, std::uint32_t tokens);
    /// Ends the answer; fills in count and digest. @pre not ended
    void end(messages::stream_end last);
    [[nodiscard]] bool ended() const noexcept { return ended_; }
    [[nodiscard]] std::size_t size_bytes() const noexcept
    {
        return bytes_.size();
    }
    /// Returns the payloads so far, one after the other.
    [[nodiscard]] const std::string& body() const noexcept { return body_; }

    /// Copies serialised frames from a number on; the end counts as a frame.
    /// @return the number after the last one copied
    std::uint64_t copy_frames(std::uint64_t from, std::string& out);
    /// Whether all frames and the end were copied up to this number.
    [[nodiscard]] bool exhausted(std::uint64_t next) const noexcept
    {
        return ended_ && next == offsets_.size();
    }
    /// Waits until there is a frame with this number, or the end.
    asio::awaitable<void> wait_for_frame(std::uint64_t number);
    /// Waits while too much is unread; a cancelled record never waits.
    asio::awaitable<void> wait_for_room();

    /// Stops the upstream's work for this attempt; harmless when ended.
    void cancel();
    [[nodiscard]] bool cancelled() const noexcept { return cancelled_; }
    /// What cancel() calls; replaced by the run.
    void on_cancel(std::function<void()> callback);

    void add_reader() noexcept { ++readers_; }
    void remove_reader() noexcept { --readers_; }
    [[nodiscard]] int readers() const noexcept { return readers_; }

    [[nodiscard]] const attempt::attempt_id& id() const noexcept { return id_; }
    [[nodiscard]] bool idempotent() const noexcept { return idempotent_; }

private:
    [[nodiscard]] messages::frame next_frame() const;
    void add(const messages::frame& frame);

    attempt::attempt_id id_;
    incarnation life_;
    bool idempotent_;
    bool started_ = false;
    bool ended_ = false;
    bool cancelled_ = false;
    int readers_ = 0;
    std::optional<result_code> refusal_;
    std::function<void()> cancel_callback_;
    /// Frames as they travel, one after the other.
    std::string bytes_;
    /// Where each frame begins in bytes_; one for each frame, the end too.
    std::vector<std::size_t> offsets_;
    /// Bytes copied for a reader so far, at most bytes_.size().
    std::size_t copied_ = 0;
    std::string body_;
    sha256_stream digest_;
    /// Never due: cancelled to wake those who wait for a change.
    asio::steady_timer changed_;
    asio::steady_timer drained_;
};

} // namespace wagtailseam::sidecar

#endif
