// Calls to the upstream beside this sidecar.
#include "sidecar/upstream_run.hpp"

#include "http/listener_probe.hpp"
#include "sidecar/event_stream.hpp"

#include <functional>
#include <utility>

namespace wagtailseam::sidecar
{
namespace
{

/// An upstream that is silent for this long is taken for lost.
constexpr std::chrono::seconds silence_timeout{120};
constexpr unsigned status_ok = 200;

http::request to_request(const messages::dispatch& asked)
{
    http::request request;
    request.method = "POST";
    request.target = asked.path();
    request.headers.emplace_back("Content-Type", "application/json");
    if (!asked.idempotency_key().empty())
    {
        request.headers.emplace_back(
            "Idempotency-Key", asked.idempotency_key());
    }
    request.body = asked.body();
    return request;
}

/// Tells truthfully whether anything was sent to the upstream.
run_end not_opened(attempt_record& record, const error& why)
{
    if (why.code == result_code::upstream_unreachable)
    {
        record.refuse(result_code::upstream_unreachable);
        return {result_code::upstream_unreachable, 0};
    }
    return {result_code::upstream_lost, 0};
}

void finish(attempt_record& record, const run_end& ended, engine_answer answer)
{
    messages::stream_end last;
    last.set_code(static_cast<std::uint32_t>(ended.code));
    last.set_status(ended.status);
    last.set_finish_reason(std::move(answer.finish_reason));
    last.set_prompt_tokens(answer.prompt_tokens);
    last.set_cached_tokens(answer.cached_tokens);
    last.set_imported_tokens(answer.imported_tokens);
    record.end(std::move(last));
}

/// Reads events until the closing mark, the stream's end or a fault.
asio::awaitable<run_end> read_tokens(
    http::response_stream& stream, attempt_record& record,
    engine_answer& answer)
{
    event_stream events;
    while (!answer.done)
    {
        const auto bytes = co_await stream.read(silence_timeout);
        if (!bytes || bytes.value().empty())
        {
            co_return run_end{result_code::upstream_lost, 0};
        }
        const auto fed = events.feed(bytes.value(), answer);
        if (!answer.text.empty())
        {
            record.append(answer.text, answer.tokens);
            answer.text.clear();
            answer.tokens = 0;
        }
        if (!fed || record.size_bytes() > attempt_record::max_answer_bytes)
        {
            co_return run_end{result_code::upstream_lost, 0};
        }
        co_await record.wait_for_room();
    }
    // Reads the end of the body, so that the connection can be used again.
    (void)co_await stream.read(silence_timeout);
    co_return run_end{result_code::ok, status_ok};
}

/// Reads an answer from its opened stream to its end.
using answer_reader = asio::awaitable<run_end> (*)(
    const http::address& upstream, http::response_stream&, attempt_record&,
    engine_answer&);

asio::awaitable<run_end> read_engine(
    const http::address&, http::response_stream& stream, attempt_record& record,
    engine_answer& answer)
{
    if (stream.head().status != status_ok || record.cancelled())
    {
        co_return run_end{result_code::upstream_lost, stream.head().status};
    }
    co_return co_await read_tokens(stream, record, answer);
}

asio::awaitable<run_end> read_service(
    const http::address& service, http::response_stream& stream,
    attempt_record& record, engine_answer&)
{
    run_end ended{result_code::ok, stream.head().status};
    for (;;)
    {
        const auto part = co_await stream.read(silence_timeout);
        if (!part || record.size_bytes() > attempt_record::max_answer_bytes)
        {
            ended.code = result_code::upstream_lost;
            break;
        }
        if (part.value().empty())
        {
            break;
        }
        record.append(part.value(), 0);
        co_await record.wait_for_room();
    }
    if (ended.code == result_code::ok &&
        stream.framing() == http::body_framing::until_close)
    {
        // A crash may have ended the connection, and with it the body.
        const bool crashed = co_await http::is_port_closed(service);
        ended.code = crashed ? result_code::upstream_lost : result_code::ok;
    }
    co_return ended;
}

/// Sends the request, reads the answer and ends the record.
asio::awaitable<run_end> run(
    http::client& client, http::address upstream, messages::dispatch asked,
    std::shared_ptr<attempt_record> record, answer_reader read)
{
    // A lambda inside the co_await expression would be destroyed twice (GCC
    // 12).
    std::function<void()> on_sent = [record] { record->mark_started(); };
    auto opened = co_await client.open(
        upstream, to_request(asked), silence_timeout, std::move(on_sent));
    if (!opened)
    {
        const run_end ended = not_opened(*record, opened.error());
        finish(*record, ended, {});
        co_return ended;
    }
    http::response_stream stream = std::move(opened).value();
    record->on_cancel([&stream] { stream.close(); });
    engine_answer answer;
    const run_end ended = co_await read(upstream, stream, *record, answer);
    finish(*record, ended, std::move(answer));
    co_return ended;
}

} // namespace

asio::awaitable<run_end> run_at_engine(
    http::client& client, http::address engine, messages::dispatch asked,
    std::shared_ptr<attempt_record> record)
{
    return run(
        client, std::move(engine), std::move(asked), std::move(record),
        read_engine);
}

asio::awaitable<run_end> run_at_service(
    http::client& client, http::address service, messages::dispatch asked,
    std::shared_ptr<attempt_record> record)
{
    return run(
        client, std::move(service), std::move(asked), std::move(record),
        read_service);
}

} // namespace wagtailseam::sidecar
