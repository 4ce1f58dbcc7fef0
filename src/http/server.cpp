// Beast sessions behind the server's interface.
#include "http/server.hpp"

#include "http/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/spdlog.h>

#include <set>

namespace wagtailseam::http
{
namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds accept_pause{50};

template <class Body>
request to_request(bhttp::request<Body>&& message)
{
    request asked;
    asked.method = std::string(message.method_string());
    asked.target = std::string(message.target());
    for (const auto& field : message)
    {
        asked.headers.emplace_back(field.name_string(), field.value());
    }
    asked.body = std::move(message.body());
    return asked;
}

template <class Message>
void copy_head(const response& from, Message& to)
{
    to.result(from.status);
    if (!from.content_type.empty())
    {
        to.set(bhttp::field::content_type, from.content_type);
    }
    for (const auto& [name, value] : from.headers)
    {
        to.insert(name, value);
    }
}

response rejection(result_code code, unsigned status)
{
    response answer;
    answer.status = status;
    answer.body =
        "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) +
        ",\"name\":\"" + std::string(name(code)) + "\",\"message\":\"" +
        std::string(description(code)) + "\"}}";
    return answer;
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state>
{
    state(
        const asio::any_io_executor& executor, const server_options& asked,
        handler handle)
        : options(asked), serve(std::move(handle)), acceptor(executor),
          retry_timer(executor)
    {
    }

    server_options options;
    handler serve;
    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    bool stopping = false;
    bool keep_alive_disabled = false;
    std::size_t active_exchanges = 0;
    /// Every open connection; those without an exchange are closed by a stop.
    std::set<exchange::connection*> connections;

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> session(tcp::socket socket);
    asio::awaitable<bool> serve_one(exchange::connection& link);
    asio::awaitable<boost::system::error_code> receive(
        exchange::connection& link,
        bhttp::request_parser<bhttp::string_body>& parser);
};

struct exchange::connection
{
    connection(tcp::socket socket, server::state& server)
        : stream(std::move(socket)), owner(server)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    server::state& owner;
    bool keep_alive = true;
    bool in_exchange = false;

    [[nodiscard]] bool closes_after_response() const noexcept
    {
        return !keep_alive || owner.stopping || owner.keep_alive_disabled;
    }
};

exchange::exchange(connection& link, request asked)
    : link_(link), request_(std::move(asked))
{
}

exchange::~exchange()
{
    if (gone_callback_)
    {
        *gone_callback_ = nullptr;
    }
}

bool exchange::keep_alive() const noexcept
{
    return !link_.closes_after_response();
}

result<void> exchange::written(boost::system::error_code failed) noexcept
{
    if (!failed)
    {
        return boost::outcome_v2::success();
    }
    link_.keep_alive = false;
    return fail(result_code::caller_gone, failed.message());
}

asio::awaitable<result<void>> exchange::send(response answer)
{
    response_started_ = true;
    bhttp::response<bhttp::string_body> message;
    message.version(11);
    copy_head(answer, message);
    message.body() = std::move(answer.body);
    message.keep_alive(keep_alive());
    message.prepare_payload();
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto [failed, sent] =
        co_await bhttp::async_write(link_.stream, message, completion);
    co_return written(failed);
}

asio::awaitable<result<void>> exchange::begin_stream(response head)
{
    response_started_ = true;
    bhttp::response<bhttp::empty_body> message;
    message.version(11);
    copy_head(head, message);
    message.keep_alive(keep_alive());
    chunked_ = !head.content_length;
    if (chunked_)
    {
        message.chunked(true);
    }
    else
    {
        message.content_length(*head.content_length);
    }
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto [failed, sent] = co_await bhttp::async_write_header(
        link_.stream, serializer, completion);
    co_return written(failed);
}

asio::awaitable<result<void>> exchange::write(std::string_view part)
{
    if (part.empty())
    {
        co_return boost::outcome_v2::success();
    }
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const asio::const_buffer bytes(part.data(), part.size());
    if (!chunked_)
    {
        const auto [failed, sent] =
            co_await asio::async_write(link_.stream, bytes, completion);
        co_return written(failed);
    }
    const auto chunk = bhttp::make_chunk(bytes);
    const auto [failed, sent] =
        co_await asio::async_write(link_.stream, chunk, completion);
    co_return written(failed);
}

asio::awaitable<result<void>> exchange::end_stream()
{
    if (!chunked_)
    {
        co_return boost::outcome_v2::success();
    }
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto last = bhttp::make_chunk_last();
    const auto [failed, sent] =
        co_await asio::async_write(link_.stream, last, completion);
    co_return written(failed);
}

void exchange::abort() noexcept
{
    link_.keep_alive = false;
    link_.stream.close();
}

void exchange::on_caller_disconnect(std::function<void()> callback)
{
    gone_callback_ =
        std::make_shared<std::function<void()>>(std::move(callback));
    auto& socket = link_.stream.socket();
    socket.async_wait(
        tcp::socket::wait_read,
        [shared = gone_callback_, &socket](boost::system::error_code failed)
        {
            if (failed || !*shared)
            {
                return;
            }
            char byte = 0;
            boost::system::error_code peeked;
            socket.non_blocking(true, peeked);
            const auto size = socket.receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, peeked);
            const bool more = size > 0 || peeked == asio::error::would_block;
            if (!more && *shared)
            {
                const auto call = std::move(*shared);
                *shared = nullptr;
                call();
            }
        });
}

asio::awaitable<void> server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!stopping)
    {
        auto [failed, socket] = co_await acceptor.async_accept(completion);
        if (failed == asio::error::operation_aborted)
        {
            co_return;
        }
        if (failed || connections.size() >= options.max_connections)
        {
            retry_timer.expires_after(accept_pause);
            co_await retry_timer.async_wait(completion);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(
            acceptor.get_executor(), session(std::move(socket)),
            asio::detached);
    }
}

asio::awaitable<void> server::state::session(tcp::socket socket)
{
    const auto self = shared_from_this();
    exchange::connection link(std::move(socket), *this);
    connections.insert(&link);
    while (co_await serve_one(link))
    {
    }
    connections.erase(&link);
    boost::system::error_code ignored;
    link.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<boost::system::error_code> server::state::receive(
    exchange::connection& link,
    bhttp::request_parser<bhttp::string_body>& parser)
{
    constexpr std::size_t first_read_bytes = 4096;
    const server_limits limits = options.limits;
    parser.body_limit(limits.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    if (link.buffer.size() == 0)
    {
        link.stream.expires_after(limits.idle_timeout);
        const auto [failed, size] = co_await link.stream.async_read_some(
            link.buffer.prepare(first_read_bytes), completion);
        if (failed)
        {
            co_return failed;
        }
        link.buffer.commit(size);
    }
    link.stream.expires_after(limits.header_timeout);
    const auto [head_failed, head_size] = co_await bhttp::async_read_header(
        link.stream, link.buffer, parser, completion);
    if (head_failed || parser.is_done())
    {
        co_return head_failed;
    }
    link.stream.expires_after(limits.idle_timeout);
    if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue"))
    {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [failed, sent] = co_await asio::async_write(
            link.stream, asio::buffer(go_on), completion);
        if (failed)
        {
            co_return failed;
        }
    }
    const auto [failed, size] = co_await bhttp::async_read(
        link.stream, link.buffer, parser, completion);
    co_return failed;
}

asio::awaitable<bool> server::state::serve_one(exchange::connection& link)
{
    bhttp::request_parser<bhttp::string_body> parser;
    const auto failed = co_await receive(link, parser);
    const bool malformed =
        failed &&
        failed.category() ==
            bhttp::make_error_code(bhttp::error::bad_method).category() &&
        failed != bhttp::error::end_of_stream &&
        failed != bhttp::error::partial_message;
    if (failed && !malformed)
    {
        co_return false;
    }
    link.keep_alive = !failed && parser.get().keep_alive();
    exchange current(link, failed ? request{} : to_request(parser.release()));
    if (failed)
    {
        const bool long_body = failed == bhttp::error::body_limit;
        const bool long_head = failed == bhttp::error::header_limit;
        const auto code = long_body || long_head ? result_code::body_too_large
                                                 : result_code::malformed_http;
        (void)co_await current.send(
            rejection(code, long_body ? 413 : (long_head ? 431 : 400)));
        co_return false;
    }
    ++active_exchanges;
    link.in_exchange = true;
    link.stream.expires_never();
    try
    {
        co_await serve(current);
    }
    catch (const std::exception& caught)
    {
        spdlog::error("event=handler_failed detail=\"{}\"", caught.what());
        link.keep_alive = false;
    }
    link.in_exchange = false;
    --active_exchanges;
    co_return !link.closes_after_response();
}

server::server(
    const asio::any_io_executor& executor, const server_options& options,
    handler serve)
    : state_(std::make_shared<state>(executor, options, std::move(serve)))
{
    const auto endpoint = parse_endpoint(options.listen);
    if (!endpoint)
    {
        throw boost::system::system_error(
            asio::error::invalid_argument, endpoint.error().detail);
    }
    auto& acceptor = state_->acceptor;
    acceptor.open(endpoint.value().protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint.value());
    acceptor.listen();
    asio::co_spawn(executor, state_->accept_loop(), asio::detached);
}

server::~server()
{
    stop_accepting();
}

void server::stop_accepting()
{
    state_->stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    state_->retry_timer.cancel();
    for (auto* const link : state_->connections)
    {
        if (!link->in_exchange)
        {
            link->stream.socket().shutdown(
                tcp::socket::shutdown_receive, ignored);
        }
    }
}

void server::set_limits(const server_limits& limits)
{
    state_->options.limits = limits;
}

void server::disable_keep_alive()
{
    state_->keep_alive_disabled = true;
}

std::size_t server::active_exchanges() const noexcept
{
    return state_->active_exchanges;
}

std::uint16_t server::port() const noexcept
{
    boost::system::error_code failed;
    return state_->acceptor.local_endpoint(failed).port();
}

} // namespace wagtailseam::http
