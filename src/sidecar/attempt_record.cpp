// Frames kept in one buffer.
#include "sidecar/attempt_record.hpp"

#include "messages/delimited.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert.hpp>

namespace wagtailseam::sidecar
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

} // namespace

attempt_record::attempt_record(
    const asio::any_io_executor& executor, attempt::attempt_id id,
    incarnation life, bool idempotent)
    : id_(std::move(id)), life_(life), idempotent_(idempotent),
      changed_(executor, asio::steady_timer::time_point::max()),
      drained_(executor, asio::steady_timer::time_point::max())
{
}

void attempt_record::mark_started()
{
    started_ = true;
    changed_.cancel();
}

void attempt_record::refuse(result_code code)
{
    BOOST_ASSERT(is_not_run(code) && !started_);
    refusal_ = code;
    changed_.cancel();
}

asio::awaitable<void> attempt_record::wait_started()
{
    while (!started_ && !ended_ && !refusal_)
    {
        co_await changed_.async_wait(completion);
    }
}

messages::frame attempt_record::next_frame() const
{
    messages::frame frame;
    frame.set_request(id_.request.value());
    frame.set_attempt(id_.number.value());
    frame.set_incarnation(life_.value());
    frame.set_number(offsets_.size());
    return frame;
}

void attempt_record::add(const messages::frame& frame)
{
    offsets_.push_back(bytes_.size());
    messages::append_delimited(bytes_, frame);
    changed_.cancel();
}

void attempt_record::append(std::string_view payload, std::uint32_t tokens)
{
    BOOST_ASSERT(!ended_);
    messages::frame frame = next_frame();
    frame.set_payload(std::string(payload));
    frame.set_tokens(tokens);
    digest_.update(payload);
    body_ += payload;
    add(frame);
}

void attempt_record::end(messages::stream_end last)
{
    BOOST_ASSERT(!ended_);
    messages::frame frame = next_frame();
    last.set_frames(offsets_.size());
    last.set_digest(std::string(digest_.value().view()));
    *frame.mutable_end() = std::move(last);
    ended_ = true;
    cancel_callback_ = nullptr;
    add(frame);
}

std::uint64_t attempt_record::copy_frames(std::uint64_t from, std::string& out)
{
    if (from < offsets_.size())
    {
        out.append(bytes_, offsets_[from]);
        copied_ = bytes_.size();
        drained_.cancel();
    }
    return offsets_.size();
}

asio::awaitable<void> attempt_record::wait_for_frame(std::uint64_t number)
{
    while (offsets_.size() <= number && !ended_)
    {
        co_await changed_.async_wait(completion);
    }
}

asio::awaitable<void> attempt_record::wait_for_room()
{
    while (!cancelled_ && bytes_.size() - copied_ > max_unread_bytes)
    {
        co_await drained_.async_wait(completion);
    }
}

void attempt_record::on_cancel(std::function<void()> callback)
{
    cancel_callback_ = std::move(callback);
}

void attempt_record::cancel()
{
    if (ended_ || cancelled_)
    {
        return;
    }
    cancelled_ = true;
    drained_.cancel();
    if (cancel_callback_)
    {
        cancel_callback_();
    }
}

} // namespace wagtailseam::sidecar
