// One caller's request: its route, its attempts at upstreams, its answer.
#ifndef WAGTAILSEAM_GATEWAY_REQUEST_HANDLER_HPP
#define WAGTAILSEAM_GATEWAY_REQUEST_HANDLER_HPP

#include "gateway/dispatch_plan.hpp"
#include "gateway/request_record.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "platform/request_codec.hpp"
#include "serving/call.hpp"
#include "serving/event_splitter.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wagtailseam::gateway
{

namespace asio = boost::asio;

/// Serves one exchange; lives as long as its coroutine.
class request_handler
{
public:
    request_handler(
        shared_state& known, http::client& upstreams, http::exchange& exchange);

    asio::awaitable<void> serve();

private:
    /// How an attempt leaves the request.
    enum class next_step : std::uint8_t
    {
        finished,
        try_again,
        give_up,
    };

    [[nodiscard]] result<void> accept();
    [[nodiscard]] result<void> find_route();
    asio::awaitable<void> attempt_until_done();
    asio::awaitable<next_step> attempt(serving::chosen_upstream target);
    asio::awaitable<next_step> judge(
        const serving::chosen_upstream& target, http::response_stream stream);
    /// Why an upstream did not run the request.
    [[nodiscard]] serving::attempt_result refusal_of(
        const serving::chosen_upstream& target,
        const platform::upstream_response& said) const;
    asio::awaitable<void> begin_answer(const http::response& received);
    asio::awaitable<void> pass_part(std::string_view part);
    asio::awaitable<void> end_answer(const serving::chosen_upstream& target);
    [[nodiscard]] next_step after_break(const serving::chosen_upstream& target);
    /// Whether only whole events are passed on, so that another upstream can
    /// go on after them.
    [[nodiscard]] bool cut_at_events() const;
    asio::awaitable<next_step> pass_on(
        const serving::chosen_upstream& target, http::response_stream& stream);
    asio::awaitable<bool> wait_for_upstream();
    asio::awaitable<void> answer(
        unsigned status, result_code code, duration retry_after);
    asio::awaitable<void> give_final_answer();

    [[nodiscard]] http::open_options options_for(
        const serving::chosen_upstream& target);
    [[nodiscard]] bool may_run_again() const;
    [[nodiscard]] duration silence_limit(
        const serving::chosen_upstream& target) const;
    void begin_attempt(
        const serving::chosen_upstream& target,
        const planned_dispatch& planned);
    /// The attempt's answer began, or there will be none.
    void prompt_read(bool answered);
    void end_attempt(
        const serving::chosen_upstream& target,
        const serving::attempt_result& how);
    [[nodiscard]] next_step after_open_failure(
        const serving::chosen_upstream& target, const error& why);

    shared_state& known_;
    http::client& upstreams_;
    http::exchange& exchange_;

    accepted_request asked_;
    request_record record_;
    std::set<upstream_id> tried_;
    std::uint32_t waits_ = 0;
    bool caller_gone_ = false;
    bool head_sent_ = false;
    /// When the attempt under way is given up without a word.
    mono_time silent_at_;
    struct unread_prompt
    {
        upstream_id at;
        duration reading{};
        mono_time sent;
        duration expected_wait{};
        std::optional<http::address> fetched_from;
    };
    /// Of the attempt under way, until its answer begins.
    std::optional<unread_prompt> unread_;
    serving::event_splitter events_;
    std::shared_ptr<http::call_control> control_;
};

} // namespace wagtailseam::gateway

#endif
