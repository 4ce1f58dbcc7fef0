// Calls that may not be repeated, and the batches of their writes.
#include "entry/filing_desk.hpp"

#include "caller_http/answer_format.hpp"
#include "entry/filing_run.hpp"
#include "entry/service_request.hpp"
#include "runtime/program.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::entry
{
namespace
{

/// Parts are told apart by their lengths, so that no two calls share a text.
digest digest_of(const caller_http::service_call& call)
{
    std::string text;
    for (const std::string* const part :
         {&call.service, &call.operation, &call.body})
    {
        text += std::to_string(part->size()) + ":" + *part;
    }
    return sha256(text);
}

} // namespace

filing_desk::filing_desk(peers& shared)
    : shared_(shared), batcher_({}), timer_(shared.context)
{
}

filing::claim_nonce filing_desk::next_nonce()
{
    return filing::claim_nonce{
        std::to_string(runtime::random_incarnation()) + "-" +
        std::to_string(runtime::random_incarnation())};
}

asio::awaitable<void> filing_desk::serve(
    http::exchange& exchange, request_id id,
    configuration::workspace_settings workspace, caller_http::service_call call)
{
    filing::filing_request request{
        .at = filing::filing_row(workspace.id, *call.key),
        .request_digest = digest_of(call),
        .nonce = next_nonce(),
        .entry = shared_.settings.entry,
        .request = id,
        .config = shared_.config_in_force,
        .deadline = monotonic_clock::now() + call.deadline};
    upstream_need need{
        .kind = configuration::upstream_kind::service,
        .model = {},
        .version = {},
        .service = call.service};
    const auto run = std::make_shared<filing_run>(
        *this, shared_, std::move(request), std::move(need),
        service_dispatch(shared_, workspace, call));
    const filing::answer_caller ended = co_await run->answer();
    telemetry::event("filing_answered")
        .with("request", id)
        .with("workspace", workspace.id)
        .with("reason", ended.code);
    shared_.metrics.count("wagtail_requests_total", "reason", name(ended.code));
    if (ended.code != result_code::ok)
    {
        shared_.metrics.count_refusal(ended.code);
        (void)co_await exchange.send(caller_http::error_answer(
            id, error{ended.code}, ended.retry_after));
        co_return;
    }
    http::response answer;
    answer.status = ended.outcome->status;
    answer.body = ended.outcome->body;
    answer.headers.emplace_back("X-Request-Id", id.value());
    (void)co_await exchange.send(std::move(answer));
}

void filing_desk::write(
    table_service::row_write write, bool urgent, write_callback callback)
{
    const filing::write_ticket ticket{++last_ticket_};
    callbacks_.emplace(ticket, std::move(callback));
    feed(filing::write_wanted{ticket, std::move(write), urgent});
}

void filing_desk::feed(const filing::batcher_event& event)
{
    for (const auto& command : batcher_.handle(event, monotonic_clock::now()))
    {
        std::visit([this](const auto& known) { obey(known); }, command);
    }
}

void filing_desk::obey(const filing::send_transaction& command)
{
    shared_.metrics.count("wagtail_filing_transactions_total");
    shared_.metrics.count(
        "wagtail_filing_writes_total", {}, {},
        command.transaction.writes.size());
    asio::co_spawn(shared_.context, send(command), asio::detached);
}

asio::awaitable<void> filing_desk::send(filing::send_transaction command)
{
    const auto answer =
        co_await shared_.platform.apply(std::move(command.transaction));
    feed(filing::transaction_answered{command.number, answer});
}

void filing_desk::obey(const filing::write_answered& command)
{
    auto waiting = callbacks_.extract(command.ticket);
    if (!waiting.empty())
    {
        waiting.mapped()(command.answer);
    }
}

void filing_desk::obey(const filing::set_batch_timer& command)
{
    timer_.expires_at(
        asio::steady_timer::time_point(command.at.time_since_epoch()));
    timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
            {
                feed(filing::batch_timer_due{});
            }
        });
}

} // namespace wagtailseam::entry
