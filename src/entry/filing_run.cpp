// I/O of one filing.
#include "entry/filing_run.hpp"

#include "core/overloaded.hpp"
#include "entry/chooser.hpp"
#include "entry/tombstone_call.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::entry
{
namespace
{

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);

result_code code_of(const attempt::attempt_result& verdict)
{
    return std::visit(
        overloaded{
            [](const attempt::finished&) { return result_code::ok; },
            [](const auto& ended) { return ended.code; }},
        verdict);
}

} // namespace

filing_run::filing_run(
    filing_desk& desk, peers& shared, filing::filing_request request,
    upstream_need need, messages::dispatch asked)
    : desk_(desk), shared_(shared), id_(request.request),
      deadline_(request.deadline), core_({}, std::move(request), shared.random),
      need_(std::move(need)), asked_(std::move(asked)), timer_(shared.context),
      answered_(shared.context, asio::steady_timer::time_point::max())
{
    desk_.filing_began();
}

filing_run::~filing_run()
{
    desk_.filing_ended();
}

asio::awaitable<filing::answer_caller> filing_run::answer()
{
    const auto self = shared_from_this();
    feed(filing::filing_begun{});
    while (!answer_)
    {
        co_await answered_.async_wait(completion);
    }
    co_return *answer_;
}

void filing_run::feed(const filing::filing_event& event)
{
    const filing::moment now{monotonic_clock::now(), wall_clock::now()};
    for (const auto& command : core_.handle(event, now))
    {
        std::visit([this](const auto& known) { obey(known); }, command);
    }
}

filing::filing_event filing_run::plan(const filing::ask_plan& wanted)
{
    const auto now = monotonic_clock::now();
    auto candidates = shared_.upstreams.candidates(need_, wanted.avoid, now);
    if (candidates.empty())
    {
        // One that refused before is better than none.
        candidates = shared_.upstreams.candidates(need_, {}, now);
    }
    const auto* const chosen = choose_least_loaded(candidates, shared_.random);
    if (chosen == nullptr)
    {
        return filing::plan_refused{result_code::no_upstream};
    }
    return filing::plan_made{upstream_directory::target_of(*chosen, now)};
}

void filing_run::obey(const filing::ask_plan& command)
{
    asio::post(
        shared_.context, [self = shared_from_this(), command]
        { self->feed(self->plan(command)); });
}

void filing_run::obey(const filing::write_row& command)
{
    desk_.write(
        command.write, command.urgent,
        [self = shared_from_this(), operation = command.operation](
            const table_service::transaction_result& answer) {
            self->feed(filing::row_written{operation, answer});
        });
}

void filing_run::obey(const filing::read_row& command)
{
    asio::co_spawn(
        shared_.context, read(command, shared_from_this()), asio::detached);
}

asio::awaitable<void> filing_run::read(
    filing::read_row command, std::shared_ptr<filing_run> /*self*/)
{
    const auto answer = co_await shared_.platform.read(command.at);
    feed(filing::row_read{command.operation, answer});
}

void filing_run::obey(const filing::ask_sidecar& command)
{
    asio::co_spawn(
        shared_.context, ask(command, shared_from_this()), asio::detached);
}

asio::awaitable<void> filing_run::ask(
    filing::ask_sidecar command, std::shared_ptr<filing_run> /*self*/)
{
    const auto answer =
        co_await send_tombstone(shared_, command.attempt, command.target);
    if (answer)
    {
        feed(filing::sidecar_answered{command.operation, *answer});
    }
}

void filing_run::obey(const filing::run_filing& command)
{
    asio::co_spawn(
        shared_.context, run(command, shared_from_this()), asio::detached);
}

asio::awaitable<void> filing_run::run(
    filing::run_filing command, std::shared_ptr<filing_run> /*self*/)
{
    attempt::attempt_result verdict =
        attempt::not_run{result_code::no_upstream};
    if (shared_.upstreams.find(command.target.upstream) != nullptr)
    {
        // The core keeps the whole answer; nothing is passed on in parts.
        const auto drop = [](const std::string&) -> asio::awaitable<void>
        { co_return; };
        const auto current = std::make_shared<attempt_run>(
            shared_,
            attempt::attempt_options{
                .id = command.attempt,
                .target = command.target,
                .deadline = deadline_,
                .idempotent = false},
            asked_, drop);
        verdict = co_await current->run();
    }
    shared_.explain(
        id_, "event=filing_attempt_ended attempt=" +
                 std::to_string(command.attempt.number.value()) +
                 " upstream=" + command.target.upstream.value() +
                 " reason=" + std::string(name(code_of(verdict))));
    feed(filing::run_judged{verdict});
}

void filing_run::obey(const filing::answer_caller& command)
{
    answer_ = command;
    answered_.cancel();
}

void filing_run::obey(const filing::set_filing_timer& command)
{
    timer_.expires_at(
        asio::steady_timer::time_point(command.at.time_since_epoch()));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& failed)
        {
            if (!failed)
            {
                self->feed(filing::filing_timer_due{});
            }
        });
}

void filing_run::obey(const filing::count_note& command)
{
    shared_.metrics.count(
        "wagtail_filing_events_total", "event", name(command.note));
    telemetry::event("filing_note")
        .with("request", id_)
        .with("note", name(command.note));
}

void filing_run::obey(const filing::filing_over&)
{
    timer_.cancel();
}

} // namespace wagtailseam::entry
