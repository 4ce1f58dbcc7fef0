// Runs one idempotent request: attempts one after the other until the answer
// is whole or the request is given up.
#ifndef WAGTAILSEAM_ENTRY_REQUEST_RUN_HPP
#define WAGTAILSEAM_ENTRY_REQUEST_RUN_HPP

#include "attempt/request_state_machine.hpp"
#include "entry/attempt_run.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace wagtailseam::entry
{

/// Makes the dispatch of an attempt that continues after a partial answer.
using dispatch_maker = std::function<messages::dispatch(
    const upstream_view& target, const std::string& delivered,
    std::uint32_t tokens_delivered)>;

struct request_plan
{
    request_id id;
    upstream_need need;
    mono_time deadline;
    dispatch_maker make_dispatch;
    payload_sink sink;
};

/// How a request ended.
struct request_result
{
    result_code code = result_code::ok;
    std::uint32_t status = 0;
    /// What the last attempt's end said.
    messages::stream_end last;
    std::uint32_t tokens = 0;
    std::uint32_t attempts = 0;
    upstream_id upstream;
    /// When the caller of a request that failed may come back, from now.
    std::optional<duration> retry_after;
};

class request_run
{
public:
    request_run(peers& shared, request_plan plan);

    /// Runs to the end. @throws nothing
    asio::awaitable<request_result> run();

    /// The caller closed its connection.
    void caller_left();

private:
    asio::awaitable<void> obey(attempt::request_command command);
    asio::awaitable<void> obey_one(attempt::plan_attempt command);
    asio::awaitable<void> obey_one(attempt::run_attempt command);
    asio::awaitable<void> obey_one(attempt::forward_part command);
    asio::awaitable<void> obey_one(attempt::start_backoff command);
    asio::awaitable<void> obey_one(attempt::end_request command);
    void feed(const attempt::request_event& event);
    [[nodiscard]] retry::retry_budget& budget();
    /// Whether the pool's budget pays for another attempt.
    [[nodiscard]] bool may_retry();
    void note_end(result_code code);

    peers& shared_;
    request_plan plan_;
    attempt::request_state_machine core_;
    std::deque<attempt::request_command> queue_;
    std::shared_ptr<attempt_run> current_;
    request_result outcome_;
    /// How the last attempt ended.
    attempt::attempt_result last_verdict_;
    bool ended_ = false;
    bool caller_left_ = false;
};

} // namespace wagtailseam::entry

#endif
