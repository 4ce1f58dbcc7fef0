// Implementation of the HTTP client with Boost.Beast.
#include "http/client.hpp"

#include "http/endpoint.hpp"
#include "http/framing.hpp"
#include "http/pooled_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_map>

namespace wagtailseam::http
{
namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using connection = pooled_connection;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// Larger bodies are written while the response is read. Otherwise, a
/// server that responds before it has read the body would deadlock with the
/// client as soon as the socket buffers are full.
constexpr std::size_t min_concurrent_write_bytes = std::size_t{8} * 1024;
/// Limit of late responses to earlier requests that one request discards.
constexpr int max_discarded_responses = 2;
/// Limit of interim (1xx) responses before a final one.
constexpr int max_interim_responses = 8;
using tcp_user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

using beast_request = bhttp::request<bhttp::string_body>;

/// @errors malformed_message: no HTTP message can represent the request, such
///         as a TRACE request with a body
result<std::shared_ptr<beast_request>> to_beast_message(
    const address& server, request source)
{
    try
    {
        auto message = std::make_shared<beast_request>();
        message->version(11);
        message->method_string(source.method);
        message->target(source.target);
        for (const auto& [name, value] : source.headers)
        {
            message->insert(name, value);
        }
        if (message->find(bhttp::field::host) == message->end())
        {
            message->set(bhttp::field::host, server.value());
        }
        message->body() = std::move(source.body);
        message->prepare_payload();
        return message;
    }
    catch (const std::exception& exception)
    {
        return fail(result_code::malformed_message, exception.what());
    }
}

/// Writes a request while the caller reads the response.
asio::awaitable<void> write_concurrently(
    std::shared_ptr<connection> conn, std::shared_ptr<beast_request> message)
{
    const auto [error, size] =
        co_await bhttp::async_write(conn->stream, *message, completion);
    conn->write_complete = !error;
    conn->failed = conn->failed || error;
}

/// Writes a request. Returns without waiting for the write of a large body.
asio::awaitable<boost::system::error_code> send(
    std::shared_ptr<connection> conn, std::shared_ptr<beast_request> message)
{
    if (message->body().size() > min_concurrent_write_bytes)
    {
        conn->write_complete = false;
        asio::co_spawn(
            conn->stream.get_executor(), write_concurrently(conn, message),
            asio::detached);
        co_return boost::system::error_code{};
    }
    const auto [error, size] =
        co_await bhttp::async_write(conn->stream, *message, completion);
    co_return error;
}

} // namespace

void cancellation_handle::cancel() noexcept
{
    cancelled_ = true;
    if (const auto conn = connection_.lock())
    {
        conn->stream.close();
    }
}

bool cancellation_handle::has_unread_input() const
{
    const auto conn = connection_.lock();
    return conn && http::has_unread_input(*conn);
}

struct client::state : std::enable_shared_from_this<client::state>
{
    state(
        const asio::any_io_executor& io_executor,
        const client_options& initial_options)
        : executor(io_executor), options(initial_options)
    {
    }

    asio::any_io_executor executor;
    client_options options;
    std::unordered_map<address, std::vector<std::shared_ptr<connection>>>
        idle_connections;

    /// Removes a reusable connection from the pool; null if there is none.
    /// @param correlation value of the request to send; empty if there is none
    std::shared_ptr<connection> acquire_idle(
        const address& server, std::string_view correlation);
    /// Returns a connection to the pool unless the pool is full.
    void release(
        const address& server, std::shared_ptr<connection> conn,
        const response& header);
    /// Closes a pooled connection when its server closes it or sends bytes,
    /// which belong to no request and may not end.
    void close_when_readable(
        const address& server, const std::shared_ptr<connection>& idle);
    /// Returns a pooled connection or establishes a new one.
    asio::awaitable<result<std::shared_ptr<connection>>> connect(
        address server, std::string correlation,
        const open_options& request_options);
};

std::shared_ptr<connection> client::state::acquire_idle(
    const address& server, std::string_view correlation)
{
    const auto found = idle_connections.find(server);
    if (found == idle_connections.end())
    {
        return nullptr;
    }
    auto& idle = found->second;
    for (;;)
    {
        // On a connection that had a request with this value, a repeated
        // response to that request would look like the response to this one.
        const auto newest = std::find_if(
            idle.rbegin(), idle.rend(),
            [&](const auto& candidate) {
                return correlation.empty() ||
                       !candidate->sent.contains(correlation);
            });
        if (newest == idle.rend())
        {
            return nullptr;
        }
        auto candidate = std::move(*newest);
        idle.erase(std::next(newest).base());
        candidate->is_pooled = false;
        boost::system::error_code ignored;
        candidate->stream.socket().cancel(ignored);
        if (is_usable(*candidate))
        {
            candidate->is_reused = true;
            return candidate;
        }
    }
}

void client::state::release(
    const address& server, std::shared_ptr<connection> conn,
    const response& header)
{
    auto& pooled = idle_connections[server];
    std::erase_if(pooled, [](const auto& idle) { return !is_usable(*idle); });
    if (pooled.size() < options.max_idle_connections)
    {
        conn->stream.expires_never();
        conn->idle_since = monotonic_clock::now();
        conn->max_idle_time = reuse_period(header, options.max_idle_time);
        conn->is_pooled = true;
        close_when_readable(server, conn);
        pooled.push_back(std::move(conn));
    }
}

void client::state::close_when_readable(
    const address& server, const std::shared_ptr<connection>& idle)
{
    idle->stream.socket().async_wait(
        tcp::socket::wait_read,
        [weak_state = weak_from_this(), server,
         weak_idle =
             std::weak_ptr(idle)](const boost::system::error_code& error)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            const auto self = weak_state.lock();
            const auto readable = weak_idle.lock();
            if (self && readable && readable->is_pooled)
            {
                std::erase(self->idle_connections[server], readable);
            }
        });
}

asio::awaitable<result<std::shared_ptr<connection>>> client::state::connect(
    address server, std::string correlation,
    const open_options& request_options)
{
    auto pooled = request_options.force_new_connection
                      ? nullptr
                      : acquire_idle(server, correlation);
    if (pooled)
    {
        co_return std::move(pooled);
    }
    const auto endpoint = parse_endpoint(server);
    if (!endpoint)
    {
        co_return fail(
            result_code::upstream_unreachable, endpoint.error().detail);
    }
    auto conn = std::make_shared<connection>(executor);
    if (options.read_buffer_bytes > small_read_buffer_bytes)
    {
        // A buffer that grows by need takes a few hundred bytes at once.
        conn->buffer.reserve(
            std::min(options.read_buffer_bytes, max_buffered_bytes));
    }
    const bool overridden = request_options.connect_timeout > duration::zero();
    conn->stream.expires_after(
        overridden ? request_options.connect_timeout : options.connect_timeout);
    const auto [error] =
        co_await conn->stream.async_connect(endpoint.value(), completion);
    if (error)
    {
        co_return fail(result_code::upstream_unreachable, error.message());
    }
    conn->connected_at = monotonic_clock::now();
    boost::system::error_code ignored;
    auto& socket = conn->stream.socket();
    socket.set_option(tcp::no_delay(true), ignored);
    if (options.tcp_user_timeout > duration::zero())
    {
        const auto limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                options.tcp_user_timeout);
        socket.set_option(
            tcp_user_timeout_option(static_cast<int>(limit.count())), ignored);
    }
    co_return std::move(conn);
}

struct response_stream::state
{
    /// The pool that gets the connection back.
    std::weak_ptr<client::state> pool_owner;
    address server;
    std::shared_ptr<connection> conn;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
    response header;
    std::vector<char> read_buffer;
    mono_time connected_at;
    bool is_head_request = false;
    body_framing framing = body_framing::length;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    /// Closes the connection if the request is still being written.
    ~state()
    {
        if (conn && !conn->write_complete)
        {
            conn->stream.close();
        }
    }

    asio::awaitable<result<void>> read_header();
    asio::awaitable<result<void>> receive_header(
        const client_options& limits, mono_time deadline);
    asio::awaitable<boost::system::error_code> discard_body(mono_time deadline);
    asio::awaitable<result<void>> receive_response(
        std::string correlation_header, std::string expected,
        client_options limits, mono_time deadline);
    void store_header();
    void release_connection();
};

/// Reads one header into the parser, and checks what the parser does not as the
/// lines arrive.
asio::awaitable<result<void>> response_stream::state::read_header()
{
    while (!parser->is_header_done())
    {
        boost::system::error_code error;
        if (has_folded_line(conn->buffer))
        {
            co_return fail(
                result_code::stream_broken,
                "a header line begins with a blank");
        }
        if (conn->buffer.size() > 0)
        {
            conn->buffer.consume(parser->put(conn->buffer.data(), error));
            const auto status = parser->get().result_int();
            if (kind_of_status(status) == status_kind::unusable)
            {
                co_return fail(
                    result_code::stream_broken,
                    "a response cannot have the status " +
                        std::to_string(status));
            }
            if (error && error != bhttp::error::need_more)
            {
                co_return fail(result_code::stream_broken, error.message());
            }
            if (!error)
            {
                continue;
            }
        }
        const auto space = conn->buffer.prepare(
            beast::read_size(conn->buffer, max_buffered_bytes));
        const auto [read_error, size] =
            co_await conn->stream.async_read_some(space, completion);
        if (read_error)
        {
            co_return fail(result_code::stream_broken, read_error.message());
        }
        conn->buffer.commit(size);
    }
    co_return boost::outcome_v2::success();
}

/// Reads the next response header, skipping interim (1xx) responses.
asio::awaitable<result<void>> response_stream::state::receive_header(
    const client_options& limits, mono_time deadline)
{
    for (int interim_responses = 0; interim_responses <= max_interim_responses;
         ++interim_responses)
    {
        // Available data is read without waiting, so that the timeout of the
        // connection does not apply.
        if (monotonic_clock::now() >= deadline)
        {
            co_return fail(
                result_code::stream_broken, "timeout before the response");
        }
        parser.emplace();
        parser->header_limit(
            static_cast<std::uint32_t>(limits.max_header_bytes));
        parser->body_limit(limits.max_body_bytes);
        parser->skip(is_head_request);
        const auto read = co_await read_header();
        if (!read)
        {
            co_return boost::outcome_v2::failure(read.error());
        }
        const auto& message = parser->get();
        const bool is_interim =
            kind_of_status(message.result_int()) == status_kind::interim;
        if (!is_readable_framing(message.base()))
        {
            co_return fail(
                result_code::stream_broken, "unreadable transfer coding");
        }
        if (!is_interim)
        {
            store_header();
            co_return boost::outcome_v2::success();
        }
        // Its body would be read as the next response.
        if (parser->chunked() || parser->content_length().value_or(0) > 0)
        {
            co_return fail(
                result_code::stream_broken,
                "an interim response with status " +
                    std::to_string(message.result_int()) + " has a body");
        }
    }
    co_return fail(
        result_code::stream_broken,
        "over " + std::to_string(max_interim_responses) + " interim responses");
}

asio::awaitable<boost::system::error_code> response_stream::state::discard_body(
    mono_time deadline)
{
    while (!parser->is_done())
    {
        if (monotonic_clock::now() >= deadline)
        {
            co_return beast::error::timeout;
        }
        parser->get().body().data = read_buffer.data();
        parser->get().body().size = read_buffer.size();
        const auto [error, size] = co_await bhttp::async_read_some(
            conn->stream, conn->buffer, *parser, completion);
        if (error && error != bhttp::error::need_buffer)
        {
            co_return error;
        }
    }
    co_return boost::system::error_code{};
}

/// Reads the response header for this request and discards late or repeated
/// responses to earlier requests.
asio::awaitable<result<void>> response_stream::state::receive_response(
    std::string correlation_header, std::string expected, client_options limits,
    mono_time deadline)
{
    for (int discarded = 0; discarded <= max_discarded_responses; ++discarded)
    {
        const auto received_header = co_await receive_header(limits, deadline);
        if (!received_header)
        {
            co_return boost::outcome_v2::failure(received_header.error());
        }
        const auto received = header.header(correlation_header);
        // Without a value, only the first response on a connection is known to
        // belong to this request.
        const bool is_own = received.empty()
                                ? !conn->is_reused && discarded == 0
                                : received == expected;
        if (expected.empty() || is_own)
        {
            co_return boost::outcome_v2::success();
        }
        const auto body_error = co_await discard_body(deadline);
        if (body_error)
        {
            co_return fail(result_code::stream_broken, body_error.message());
        }
    }
    co_return fail(
        result_code::stream_broken,
        "server sent only responses to earlier requests");
}

void response_stream::state::store_header()
{
    const auto& message = parser->get();
    header.status = message.result_int();
    header.content_type = std::string(message[bhttp::field::content_type]);
    header.headers.clear();
    for (const auto& field : message)
    {
        header.headers.emplace_back(field.name_string(), field.value());
    }
    framing = parser->need_eof()  ? body_framing::until_close
              : message.chunked() ? body_framing::chunked
                                  : body_framing::length;
    header.content_length.reset();
    if (const auto length = parser->content_length())
    {
        header.content_length = *length;
    }
}

/// Returns the connection to the pool after the body was read completely, or
/// closes it if it cannot be reused.
void response_stream::state::release_connection()
{
    const auto pool = pool_owner.lock();
    if (pool && conn->write_complete && parser->get().keep_alive() &&
        conn->buffer.size() == 0)
    {
        pool->release(server, std::move(conn), header);
    }
    else if (!conn->write_complete)
    {
        conn->stream.close();
    }
    conn.reset();
}

response_stream::response_stream(std::unique_ptr<state> initial_state)
    : state_(std::move(initial_state))
{
}
response_stream::~response_stream() = default;
response_stream::response_stream(response_stream&& other) noexcept = default;
response_stream& response_stream::operator=(response_stream&& other) noexcept =
    default;

const response& response_stream::head() const noexcept
{
    return state_->header;
}

body_framing response_stream::framing() const noexcept
{
    return state_->framing;
}

mono_time response_stream::connected_at() const noexcept
{
    return state_->connected_at;
}

asio::awaitable<result<std::string_view>> response_stream::read(
    duration timeout)
{
    state& current = *state_;
    const auto deadline = monotonic_clock::now() + timeout;
    while (current.conn && !current.parser->is_done())
    {
        if (monotonic_clock::now() >= deadline)
        {
            close();
            co_return fail(
                result_code::stream_broken, "timeout within the body");
        }
        auto& body = current.parser->get().body();
        body.data = current.read_buffer.data();
        body.size = current.read_buffer.size();
        current.conn->stream.expires_after(timeout);
        auto [error, received] = co_await bhttp::async_read_some(
            current.conn->stream, current.conn->buffer, *current.parser,
            completion);
        if (error == bhttp::error::need_buffer)
        {
            error = {};
        }
        if (error)
        {
            close();
            co_return fail(result_code::stream_broken, error.message());
        }
        const std::size_t size = current.read_buffer.size() - body.size;
        if (size > 0)
        {
            co_return std::string_view(current.read_buffer.data(), size);
        }
    }
    if (!current.conn)
    {
        co_return fail(result_code::stream_broken, "response stream is closed");
    }
    if (current.framing == body_framing::until_close)
    {
        const auto end = check_end(*current.conn);
        if (!end)
        {
            close();
            current.conn.reset();
            co_return boost::outcome_v2::failure(end.error());
        }
    }
    current.release_connection();
    co_return std::string_view();
}

void response_stream::close() noexcept
{
    if (state_ && state_->conn)
    {
        state_->conn->stream.cancel();
        state_->conn->stream.close();
    }
}

client::client(
    const asio::any_io_executor& executor, const client_options& options)
    : state_(std::make_shared<state>(executor, options))
{
}

client::~client() = default;

asio::awaitable<result<response_stream>> client::open(
    address server, request message, duration timeout,
    std::function<void()> before_write)
{
    return open(
        std::move(server), std::move(message),
        open_options{
            .timeout = timeout, .before_write = std::move(before_write)});
}

asio::awaitable<result<response_stream>> client::open(
    address server, request message, open_options options)
{
    const std::string expected(message.header(options.correlation_header));
    const bool is_head_request = message.method == "HEAD";
    const auto beast_message = to_beast_message(server, std::move(message));
    if (!beast_message)
    {
        co_return boost::outcome_v2::failure(beast_message.error());
    }
    auto connected = co_await state_->connect(server, expected, options);
    if (!connected)
    {
        co_return boost::outcome_v2::failure(connected.error());
    }
    if (options.cancellation && options.cancellation->cancelled())
    {
        co_return fail(result_code::upstream_unreachable, "cancelled");
    }
    auto opened = std::make_unique<response_stream::state>();
    opened->pool_owner = state_;
    opened->server = server;
    opened->read_buffer.resize(state_->options.read_buffer_bytes);
    opened->conn = std::move(connected).value();
    opened->connected_at = opened->conn->connected_at;
    opened->is_head_request = is_head_request;
    const auto conn = opened->conn;
    if (options.cancellation)
    {
        options.cancellation->connection_ = conn;
    }
    if (!expected.empty())
    {
        conn->sent.add(expected);
    }
    const auto deadline = monotonic_clock::now() + options.timeout;
    conn->stream.expires_after(options.timeout);
    if (options.before_write)
    {
        options.before_write();
    }
    const auto error = co_await send(conn, beast_message.value());
    if (error)
    {
        co_return fail(result_code::stream_broken, error.message());
    }
    const auto received = co_await opened->receive_response(
        options.correlation_header, expected, state_->options, deadline);
    if (!received)
    {
        co_return boost::outcome_v2::failure(received.error());
    }
    co_return response_stream(std::move(opened));
}

asio::awaitable<result<response>> client::fetch(
    address server, request message, duration timeout,
    std::shared_ptr<cancellation_handle> cancellation)
{
    const auto deadline = monotonic_clock::now() + timeout;
    open_options options{
        .timeout = timeout, .cancellation = std::move(cancellation)};
    auto opened = co_await open(
        std::move(server), std::move(message), std::move(options));
    if (!opened)
    {
        co_return boost::outcome_v2::failure(opened.error());
    }
    co_return co_await read_to_end(
        std::move(opened).value(), deadline - monotonic_clock::now());
}

} // namespace wagtailseam::http
