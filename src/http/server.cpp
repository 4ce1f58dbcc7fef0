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
    to.set(bhttp::field::content_type, from.content_type);
    for (const auto& [name, value] : from.headers)
    {
        to.set(name, value);
    }
}

response rejection(result_code code, unsigned status)
{
    response answer;
    answer.status = status;
    answer.body =
        "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) +
        ",\"name\":\"" + std::string(name(code)) + "\",\"message\":\"" +
        std::string(meaning(code)) + "\"}}";
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
    std::size_t active = 0;
    /// Every open connection; those without an exchange are closed by a stop.
    std::set<exchange::connection*> connections;

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> session(tcp::socket socket);
    asio::awaitable<bool> serve_one(exchange::connection& link);
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

    [[nodiscard]] bool closes_after_answer() const noexcept
    {
        return !keep_alive || owner.stopping;
    }
};

exchange::exchange(connection& link, request asked)
    : link_(link), asked_(std::move(asked))
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
    return !link_.closes_after_answer();
}

asio::awaitable<result<void>> exchange::send(response answer)
{
    answered_ = true;
    bhttp::response<bhttp::string_body> message;
    message.version(11);
    copy_head(answer, message);
    message.body() = std::move(answer.body);
    message.keep_alive(keep_alive());
    message.prepare_payload();
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto [failed, sent] =
        co_await bhttp::async_write(link_.stream, message, completion);
    if (failed)
    {
        link_.keep_alive = false;
        co_return fail(result_code::caller_gone, failed.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> exchange::begin_stream(response head)
{
    answered_ = true;
    bhttp::response<bhttp::empty_body> message;
    message.version(11);
    copy_head(head, message);
    message.keep_alive(keep_alive());
    message.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto [failed, sent] = co_await bhttp::async_write_header(
        link_.stream, serializer, completion);
    if (failed)
    {
        link_.keep_alive = false;
        co_return fail(result_code::caller_gone, failed.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> exchange::write(std::string_view part)
{
    if (part.empty())
    {
        co_return boost::outcome_v2::success();
    }
    link_.stream.expires_after(link_.owner.options.write_timeout);
    const auto chunk =
        bhttp::make_chunk(asio::const_buffer(part.data(), part.size()));
    const auto [failed, sent] =
        co_await asio::async_write(link_.stream, chunk, completion);
    if (failed)
    {
        link_.keep_alive = false;
        co_return fail(result_code::caller_gone, failed.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> exchange::end_stream()
{
    const auto last = bhttp::make_chunk_last();
    const auto [failed, sent] =
        co_await asio::async_write(link_.stream, last, completion);
    if (failed)
    {
        link_.keep_alive = false;
        co_return fail(result_code::caller_gone, failed.message());
    }
    co_return boost::outcome_v2::success();
}

void exchange::on_caller_gone(std::function<void()> callback)
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

asio::awaitable<bool> server::state::serve_one(exchange::connection& link)
{
    bhttp::request_parser<bhttp::string_body> parser;
    parser.body_limit(options.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    link.stream.expires_after(options.idle_timeout);
    const auto [failed, received] = co_await bhttp::async_read(
        link.stream, link.buffer, parser, completion);
    const bool too_large = failed == bhttp::error::body_limit ||
                           failed == bhttp::error::header_limit;
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
        const auto code = too_large ? result_code::body_too_large
                                    : result_code::malformed_http;
        (void)co_await current.send(rejection(code, too_large ? 413 : 400));
        co_return false;
    }
    ++active;
    link.in_exchange = true;
    link.stream.expires_never();
    std::exception_ptr raised;
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
    --active;
    co_return !link.closes_after_answer();
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

std::size_t server::active() const noexcept
{
    return state_->active;
}

std::uint16_t server::port() const noexcept
{
    boost::system::error_code failed;
    return state_->acceptor.local_endpoint(failed).port();
}

} // namespace wagtailseam::http
