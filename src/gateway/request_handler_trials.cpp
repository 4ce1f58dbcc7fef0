// Trials of requests whose contents are suspected of crashing upstreams, and
// reports of attempts that broke off.
#include "gateway/request_handler.hpp"
#include "http/listener_probe.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace wagtailseam::gateway
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

/// Time within which the record of a trial that has ended arrives from another
/// gateway. Shorter than the deferral of a part.
constexpr std::chrono::milliseconds outcome_arrival_time{250};
constexpr std::chrono::milliseconds outcome_check_interval{5};

} // namespace

asio::awaitable<bool> request_handler::may_start_attempt()
{
    end_trial();
    if (request_.time_left() <= duration::zero())
    {
        record_.code = result_code::deadline_passed;
        co_return false;
    }
    if (!state_.crashes.quarantine().has_records())
    {
        co_return true;
    }
    if (!check_quarantine())
    {
        co_return false;
    }
    while (const auto unclaimed = find_unclaimed_trial())
    {
        co_await claim_trial(*unclaimed);
        end_trial();
        // Records may have arrived meanwhile.
        if (!check_quarantine())
        {
            co_return false;
        }
        if (request_.time_left() <= duration::zero())
        {
            record_.code = result_code::deadline_passed;
            co_return false;
        }
    }
    for (const auto& content : trial_suspects_)
    {
        telemetry::event("trial_started")
            .with("request", request_.call.id)
            .with("content", short_name(content));
    }
    co_return true;
}

std::optional<quarantine::content_fingerprint>
request_handler::find_unclaimed_trial() const
{
    const auto unclaimed = std::find_if(
        trial_suspects_.begin(), trial_suspects_.end(),
        [this](const auto& suspect)
        { return !claimed_trials_.contains(suspect); });
    return unclaimed == trial_suspects_.end() ? std::nullopt
                                              : std::optional(*unclaimed);
}

asio::awaitable<void> request_handler::claim_trial(
    quarantine::content_fingerprint suspect)
{
    const auto* const record = state_.crashes.quarantine().find(suspect);
    const auto known =
        record == nullptr ? std::nullopt : std::optional(*record);
    const auto outcome = co_await state_.claim_trial(suspect);
    if (outcome == quarantine::claim_outcome::claimed)
    {
        claimed_trials_.insert(suspect);
        co_return;
    }
    state_.crashes.quarantine().defer_trial(suspect, wall_clock::now());
    if (outcome == quarantine::claim_outcome::held && known &&
        known->kind == quarantine::suspect_kind::prompt_part)
    {
        co_await await_changed_record(suspect, *known);
    }
}

asio::awaitable<void> request_handler::await_changed_record(
    quarantine::content_fingerprint part, quarantine::crash_record known)
{
    const auto has_changed = [&]
    {
        const auto* const record = state_.crashes.quarantine().find(part);
        return record == nullptr || *record != known;
    };
    const auto began = monotonic_clock::now();
    const auto limit =
        std::min<duration>(outcome_arrival_time, request_.time_left());
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!has_changed() && !caller_disconnected_ &&
           monotonic_clock::now() - began < limit)
    {
        timer.expires_after(outcome_check_interval);
        co_await timer.async_wait(completion);
    }
    telemetry::event("trial_elsewhere_awaited")
        .with("request", request_.call.id)
        .with("content", short_name(part))
        .with("record_changed", has_changed())
        .with("waited_us", (monotonic_clock::now() - began).count());
}

bool request_handler::check_quarantine()
{
    const auto status = state_.crashes.check(request_.content());
    if (const auto* const refusal =
            std::get_if<quarantine::quarantined>(&status))
    {
        record_.quarantine = *refusal;
        record_.code = result_code::quarantined;
        return false;
    }
    if (std::holds_alternative<quarantine::suspect>(status))
    {
        trial_suspects_ = state_.crashes.quarantine().begin_trial(
            request_.content(), wall_clock::now());
    }
    return true;
}

void request_handler::end_trial()
{
    state_.crashes.quarantine().end_trial(std::exchange(trial_suspects_, {}));
}

void request_handler::drop_trial_claims(bool outcome_known)
{
    for (const auto& content : std::exchange(claimed_trials_, {}))
    {
        if (outcome_known)
        {
            state_.release_trial(content);
        }
    }
}

asio::awaitable<void> request_handler::report_broken_attempt()
{
    const auto broken = std::exchange(broken_attempt_, std::nullopt);
    if (!broken)
    {
        co_return;
    }
    const bool outcome_known =
        co_await explain_broken_attempt(broken->upstream, broken->timed_out);
    drop_trial_claims(outcome_known);
}

asio::awaitable<bool> request_handler::explain_broken_attempt(
    const serving::upstream& upstream, bool timed_out)
{
    // An attempt that this process ended says nothing about the upstream.
    if (ended_by_drain_)
    {
        co_return true;
    }
    const auto process = serving::process_of(upstream);
    if (state_.statements.is_leaving(process))
    {
        state_.crashes.record_process_leaving(process);
    }
    const auto fate = state_.crashes.record_broken_attempt(
        process, request_.call.id, request_.content(), trial_suspects_);
    if (fate != quarantine::process_fate::unknown)
    {
        co_return true;
    }
    if (timed_out)
    {
        // A crashed process that does not even refuse connections is recognized
        // when its successor is listed.
        bool is_running = false;
        if (!trial_suspects_.empty())
        {
            is_running = co_await process_check_.is_running(upstream);
        }
        co_return is_running;
    }
    const bool closed = co_await http::is_port_closed(upstream.address);
    if (closed)
    {
        state_.crashes.record_process_end(process, "refused_connection");
    }
    co_return true;
}

} // namespace wagtailseam::gateway
