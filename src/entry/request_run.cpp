// Commands of a request's core.
#include "entry/request_run.hpp"

#include "core/overloaded.hpp"
#include "entry/chooser.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>

namespace wagtailseam::entry
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// Shortest time told to a caller whose request failed.
constexpr duration least_retry_after = std::chrono::seconds(1);

std::string describe(const attempt::attempt_result& verdict)
{
    return std::visit(
        overloaded{
            [](const attempt::finished&) { return std::string("finished"); },
            [](const attempt::not_run& refusal)
            { return "not_run reason=" + std::string(name(refusal.code)); },
            [](const attempt::unknown& lost)
            { return "unknown reason=" + std::string(name(lost.code)); }},
        verdict);
}

result_code code_of(const attempt::attempt_result& verdict)
{
    return std::visit(
        overloaded{
            [](const attempt::finished&) { return result_code::ok; },
            [](const auto& other) { return other.code; }},
        verdict);
}

/// Nothing of a refused attempt reached the upstream. A loss is charged as a
/// crash: a batch that is lost together may run again together.
retry::retry_cause cause_of(const attempt::attempt_result& verdict)
{
    return std::holds_alternative<attempt::not_run>(verdict)
               ? retry::retry_cause::reroute
               : retry::retry_cause::upstream_crash;
}

} // namespace

request_run::request_run(peers& shared, request_plan plan)
    : shared_(shared), plan_(std::move(plan)),
      core_({.id = plan_.id, .deadline = plan_.deadline}, shared.random)
{
}

void request_run::feed(const attempt::request_event& event)
{
    for (auto& command : core_.handle(event, monotonic_clock::now()))
    {
        queue_.push_back(std::move(command));
    }
}

asio::awaitable<request_result> request_run::run()
{
    budget().on_request();
    feed(attempt::request_begun{});
    while (!ended_ && !queue_.empty())
    {
        auto command = std::move(queue_.front());
        queue_.pop_front();
        co_await obey(std::move(command));
    }
    outcome_.attempts = core_.attempts();
    co_return outcome_;
}

retry::retry_budget& request_run::budget()
{
    const bool engine = plan_.need.kind == configuration::upstream_kind::engine;
    const std::string pool = engine ? "model/" + plan_.need.model.value()
                                    : "service/" + plan_.need.service;
    return shared_.retry_budgets[pool];
}

bool request_run::may_retry()
{
    const bool permitted = budget().try_spend(cause_of(last_verdict_));
    if (!permitted)
    {
        shared_.metrics.count(
            "wagtail_retries_refused_total", "reason",
            name(result_code::retry_budget_spent));
        shared_.explain(plan_.id, "event=retry_refused reason=budget");
    }
    return permitted;
}

void request_run::caller_left()
{
    caller_left_ = true;
    if (current_)
    {
        current_->caller_left();
    }
}

asio::awaitable<void> request_run::obey(attempt::request_command command)
{
    return std::visit(
        [this](auto& known) { return obey_one(std::move(known)); }, command);
}

asio::awaitable<void> request_run::obey_one(attempt::plan_attempt command)
{
    if (caller_left_)
    {
        feed(attempt::planning_failed{result_code::cancelled_before_dispatch});
        co_return;
    }
    const auto now = monotonic_clock::now();
    auto candidates =
        shared_.upstreams.candidates(plan_.need, command.avoid, now);
    if (candidates.empty())
    {
        // One that failed before is better than none.
        candidates = shared_.upstreams.candidates(plan_.need, {}, now);
    }
    const auto* const chosen = choose_least_loaded(candidates, shared_.random);
    if (chosen == nullptr)
    {
        feed(attempt::planning_failed{result_code::no_upstream});
        co_return;
    }
    shared_.explain(
        plan_.id,
        "event=plan attempt=" + std::to_string(command.attempt.number.value()) +
            " upstream=" + chosen->settings.id.value() +
            " candidates=" + std::to_string(candidates.size()));
    feed(attempt::attempt_planned{upstream_directory::target_of(*chosen, now)});
}

asio::awaitable<void> request_run::obey_one(attempt::run_attempt command)
{
    const auto* const view = shared_.upstreams.find(command.target.upstream);
    if (view == nullptr)
    {
        feed(
            attempt::attempt_ended{attempt::not_run{result_code::no_upstream}});
        co_return;
    }
    attempt::attempt_options options{
        .id = command.attempt,
        .target = command.target,
        .deadline = plan_.deadline};
    messages::dispatch asked =
        plan_.make_dispatch(*view, command.delivered, outcome_.tokens);
    const auto deliver = [this](std::string payload) -> asio::awaitable<void>
    {
        feed(attempt::part_received{std::move(payload)});
        // forward_part is the only command that a part gives.
        while (!queue_.empty())
        {
            auto next = std::move(queue_.front());
            queue_.pop_front();
            co_await obey(std::move(next));
        }
    };
    current_ = std::make_shared<attempt_run>(
        shared_, std::move(options), std::move(asked), deliver);
    const attempt::attempt_result verdict = co_await current_->run();
    outcome_.last = current_->last();
    outcome_.tokens += current_->tokens();
    outcome_.upstream = command.target.upstream;
    current_.reset();
    const result_code code = code_of(verdict);
    last_verdict_ = verdict;
    shared_.explain(plan_.id, "event=attempt_ended " + describe(verdict));
    telemetry::event("attempt_ended")
        .with("request", plan_.id)
        .with("attempt", command.attempt.number)
        .with("upstream", command.target.upstream)
        .with("reason", code);
    feed(attempt::attempt_ended{verdict});
}

asio::awaitable<void> request_run::obey_one(attempt::forward_part command)
{
    co_await plan_.sink(std::move(command.payload));
}

asio::awaitable<void> request_run::obey_one(attempt::start_backoff command)
{
    if (!may_retry())
    {
        feed(attempt::planning_failed{result_code::retry_budget_spent});
        co_return;
    }
    shared_.metrics.count_retry(code_of(last_verdict_));
    asio::steady_timer timer(shared_.context);
    timer.expires_after(command.at - monotonic_clock::now());
    co_await timer.async_wait(completion);
    feed(attempt::backoff_expired{});
}

asio::awaitable<void> request_run::obey_one(attempt::end_request command)
{
    outcome_.code = command.code;
    outcome_.status = command.status;
    ended_ = true;
    note_end(command.code);
    co_return;
}

void request_run::note_end(result_code code)
{
    if (code == result_code::ok)
    {
        budget().on_success();
        return;
    }
    // Spread, so that callers refused together come back apart.
    const double spread = shared_.random.unit();
    const auto least = static_cast<double>(least_retry_after.count());
    outcome_.retry_after =
        least_retry_after + duration(std::llround(spread * least));
}

} // namespace wagtailseam::entry
