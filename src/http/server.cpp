// Implementation of the HTTP server with Boost.Beast.
#include "http/server.hpp"

#include "http/endpoint.hpp"
#include "http/framing.hpp"

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

#include <algorithm>
#include <map>

namespace wagtailseam::http
{
namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
/// Delay before the next accept after a failure or at the connection limit.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Time after which a caller that was refused for lack of memory may return.
constexpr const char* refusal_retry_after_s = "1";
/// Multiple of the largest body for which the budget has room at least: a
/// chunked body may have allocated twice its size, and is copied when it is
/// sent to an upstream.
constexpr std::size_t min_budget_bodies = 6;
/// Memory of a parsed header field beside its text.
constexpr std::size_t header_field_bytes = 64;

/// A body in a string that grows as bytes arrive. Beast's string_body allocates
/// the whole length that a caller announces.
struct growing_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(bhttp::header<is_request, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(
            const boost::optional<std::uint64_t>& length,
            boost::system::error_code& error)
        {
            error = {};
            announced_ = length.value_or(0);
        }

        template <class Buffers>
        std::size_t put(
            const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            const auto size = beast::buffer_bytes(buffers);
            grow_to(body_.size() + size);
            for (const auto buffer : beast::buffers_range_ref(buffers))
            {
                body_.append(
                    static_cast<const char*>(buffer.data()), buffer.size());
            }
            return size;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        void grow_to(std::size_t needed)
        {
            if (needed <= body_.capacity())
            {
                return;
            }
            const auto doubled = std::max(needed, 2 * body_.capacity());
            // std::string::reserve() may allocate twice the capacity.
            std::string grown;
            grown.reserve(
                announced_ >= needed ? std::min(doubled, announced_) : doubled);
            grown.append(body_);
            body_.swap(grown);
        }

        value_type& body_;
        /// 0 if the body is chunked.
        std::size_t announced_ = 0;
    };
};

using request_parser = bhttp::request_parser<growing_body>;

/// Moves the header out of a parser that may insert trailers afterwards.
request take_header(request_parser& parser)
{
    auto& message = parser.get();
    request taken;
    taken.method = std::string(message.method_string());
    taken.target = std::string(message.target());
    for (const auto& field : message)
    {
        taken.headers.emplace_back(field.name_string(), field.value());
    }
    message.clear();
    return taken;
}

template <class Message>
void copy_header(const response& from, Message& to)
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

/// Returns whether bytes that arrived are no request, and not only a part of
/// one.
bool is_malformed(const boost::system::error_code& error)
{
    return error &&
           error.category() ==
               bhttp::make_error_code(bhttp::error::bad_method).category() &&
           error != bhttp::error::end_of_stream &&
           error != bhttp::error::partial_message;
}

response error_response(result_code code, unsigned status)
{
    response message;
    message.status = status;
    message.body =
        "{\"error\":{\"code\":" + std::to_string(static_cast<int>(code)) +
        ",\"name\":\"" + std::string(name(code)) + "\",\"message\":\"" +
        std::string(description(code)) + "\"}}";
    return message;
}

} // namespace

std::string_view name(eviction_reason reason) noexcept
{
    return reason == eviction_reason::body_memory ? "body_memory"
                                                  : "connection_limit";
}

struct server::state : std::enable_shared_from_this<server::state>
{
    state(
        const asio::any_io_executor& executor,
        const server_options& initial_options, handler request_handler)
        : options(initial_options), handle(std::move(request_handler)),
          acceptor(executor), retry_timer(executor),
          bodies(initial_options.body_budget)
    {
        set_limits(initial_options.limits);
    }

    server_options options;
    handler handle;
    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    bool stopping = false;
    bool keep_alive_disabled = false;
    body_budget bodies;
    std::uint64_t accepted_connections = 0;
    /// All open connections. stop_accepting() closes those without a request.
    std::map<connection_id, exchange::connection*> connections;

    void set_limits(const server_limits& limits);
    void stop();
    asio::awaitable<void> accept_loop();
    /// Accepts the connections that wait in the queue of the listening socket.
    void accept_queued();
    void start_session(tcp::socket socket);
    asio::awaitable<void> session(std::shared_ptr<exchange::connection> conn);
    /// Closes the receiving side unless a part of a request has arrived.
    static void close_if_idle(exchange::connection& conn);
    /// Serves one request. Returns whether the connection stays open.
    asio::awaitable<bool> serve_one(exchange::connection& conn);
    /// Refuses a request, or answers one that could not be read.
    asio::awaitable<void> send_receive_error(
        exchange::connection& conn, boost::system::error_code error);
    /// Accounts for the memory of the connection's request. Returns whether
    /// the budget has room for it.
    bool account(
        exchange::connection& conn, std::size_t bytes, bool is_complete);
    /// Closes the connection from which no bytes have arrived for longest.
    /// Returns whether there is one whose request is not being handled.
    bool evict_most_silent();
    [[nodiscard]] exchange::connection* find_most_silent() const;
    void evict(exchange::connection& conn, eviction_reason reason);
    /// Frees a body that will not be served, before its coroutine ends: until
    /// then others may read as much.
    static void discard_body(exchange::connection& conn);
    void report_eviction(
        const exchange::connection& conn, eviction_reason reason) const;
    /// Waits until bytes or the end of the connection can be read. Returns
    /// error::timeout if there is neither after the deadline. Bytes that have
    /// arrived when the process runs its handlers again are in time.
    asio::awaitable<boost::system::error_code> wait_readable(
        exchange::connection& conn, mono_time deadline);
    /// Waits for the first byte of a request.
    asio::awaitable<boost::system::error_code> wait_for_request(
        exchange::connection& conn);
    /// Reads until the condition holds.
    /// @param limit time for all of it
    asio::awaitable<boost::system::error_code> parse_until(
        exchange::connection& conn, request_parser& parser,
        bool (request_parser::*condition)() const, duration limit);
    /// Reads one request. Its body is left in the parser.
    /// @param message set to the request without its body
    asio::awaitable<boost::system::error_code> receive(
        exchange::connection& conn, request_parser& parser, request& message);
};

struct exchange::connection : std::enable_shared_from_this<connection>
{
    connection(tcp::socket socket, server::state& server, connection_id number)
        : id(number), stream(std::move(socket)),
          read_timer(stream.get_executor()), owner(server)
    {
    }

    const connection_id id;
    beast::tcp_stream stream;
    /// Ends a wait for bytes.
    asio::steady_timer read_timer;
    beast::flat_buffer buffer;
    server::state& owner;
    bool keep_alive = true;
    /// A part of a request has arrived, and the response has not ended.
    bool has_request = false;
    /// The request was received, and its handler has not ended.
    bool is_handled = false;
    /// Closed in favour of others; its coroutine has not ended yet.
    bool is_evicted = false;
    /// Accounted memory of the request.
    std::size_t accounted_bytes = 0;
    /// Memory of the parsed header.
    std::size_t header_bytes = 0;
    /// The body that is being received; null if there is none.
    std::string* body = nullptr;
    mono_time last_arrival = monotonic_clock::now();
    bool waits_for_bytes = false;
    /// Whether the timer ended the last wait.
    bool read_timed_out = false;
    /// This server has shut down the receiving side, so that its end says
    /// nothing about the caller.
    bool receive_shut_down = false;

    [[nodiscard]] bool closes_after_response() const noexcept
    {
        return !keep_alive || owner.stopping || owner.keep_alive_disabled;
    }
};

exchange::exchange(connection& conn, request message)
    : conn_(conn), request_(std::move(message)),
      is_head_request_(request_.method == "HEAD")
{
}

exchange::~exchange()
{
    if (disconnect_callback_)
    {
        *disconnect_callback_ = nullptr;
    }
}

bool exchange::keep_alive() const noexcept
{
    return !conn_.closes_after_response();
}

result<void> exchange::write_result(boost::system::error_code error) noexcept
{
    if (!error)
    {
        return boost::outcome_v2::success();
    }
    conn_.keep_alive = false;
    return fail(result_code::caller_gone, error.message());
}

asio::awaitable<result<void>> exchange::send(response message)
{
    if (!has_body(is_head_request_, message.status))
    {
        message.content_length = message.body.size();
        message.body.clear();
        co_return co_await begin_stream(std::move(message));
    }
    response_started_ = true;
    bhttp::response<bhttp::string_body> beast_message;
    beast_message.version(11);
    copy_header(message, beast_message);
    beast_message.body() = std::move(message.body);
    beast_message.keep_alive(keep_alive());
    beast_message.prepare_payload();
    conn_.stream.expires_after(conn_.owner.options.write_timeout);
    const auto [error, bytes_written] =
        co_await bhttp::async_write(conn_.stream, beast_message, completion);
    co_return write_result(error);
}

asio::awaitable<result<void>> exchange::begin_stream(response header)
{
    response_started_ = true;
    bhttp::response<bhttp::empty_body> message;
    message.version(11);
    copy_header(header, message);
    message.keep_alive(keep_alive());
    has_body_ = has_body(is_head_request_, header.status);
    chunked_ = has_body_ && !header.content_length;
    if (chunked_)
    {
        message.chunked(true);
    }
    else if (header.content_length && (has_body_ || is_head_request_))
    {
        message.content_length(*header.content_length);
    }
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    conn_.stream.expires_after(conn_.owner.options.write_timeout);
    const auto [error, bytes_written] = co_await bhttp::async_write_header(
        conn_.stream, serializer, completion);
    co_return write_result(error);
}

asio::awaitable<result<void>> exchange::write(std::string_view part)
{
    if (part.empty() || !has_body_)
    {
        co_return boost::outcome_v2::success();
    }
    conn_.stream.expires_after(conn_.owner.options.write_timeout);
    const asio::const_buffer bytes(part.data(), part.size());
    if (!chunked_)
    {
        const auto [error, bytes_written] =
            co_await asio::async_write(conn_.stream, bytes, completion);
        co_return write_result(error);
    }
    const auto chunk = bhttp::make_chunk(bytes);
    const auto [error, bytes_written] =
        co_await asio::async_write(conn_.stream, chunk, completion);
    co_return write_result(error);
}

asio::awaitable<result<void>> exchange::end_stream()
{
    if (!chunked_)
    {
        co_return boost::outcome_v2::success();
    }
    conn_.stream.expires_after(conn_.owner.options.write_timeout);
    const auto last = bhttp::make_chunk_last();
    const auto [error, bytes_written] =
        co_await asio::async_write(conn_.stream, last, completion);
    co_return write_result(error);
}

void exchange::abort() noexcept
{
    conn_.keep_alive = false;
    conn_.stream.close();
}

namespace
{

enum class socket_content : std::uint8_t
{
    none,
    bytes,
    /// The end of the connection, or an error.
    end,
};

/// Returns what a read would find, as far as the kernel knows.
/// @pre the socket is in non-blocking mode
socket_content peek(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code error;
    const auto size = socket.receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (size > 0)
    {
        return socket_content::bytes;
    }
    return error == asio::error::would_block ? socket_content::none
                                             : socket_content::end;
}

/// Reads what has arrived into the buffer of the connection.
/// @errors would_block: nothing has arrived
boost::system::error_code read_available(exchange::connection& conn)
{
    constexpr std::size_t read_size = 4096;
    boost::system::error_code error;
    const auto size =
        conn.stream.socket().read_some(conn.buffer.prepare(read_size), error);
    conn.buffer.commit(size);
    if (size > 0)
    {
        conn.last_arrival = monotonic_clock::now();
    }
    return error;
}

/// Sends a refusal as far as the socket accepts it at once.
void try_refuse(tcp::socket& socket)
{
    static const std::string refusal =
        std::string("HTTP/1.1 503 Service Unavailable\r\nRetry-After: ") +
        refusal_retry_after_s +
        "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    boost::system::error_code ignored;
    socket.write_some(asio::buffer(refusal), ignored);
}

} // namespace

bool exchange::is_caller_connected()
{
    return conn_.receive_shut_down ||
           peek(conn_.stream.socket()) != socket_content::end;
}

void exchange::on_caller_disconnect(std::function<void()> callback)
{
    disconnect_callback_ =
        std::make_shared<std::function<void()>>(std::move(callback));
    auto& socket = conn_.stream.socket();
    socket.async_wait(
        tcp::socket::wait_read,
        [shared_callback = disconnect_callback_, &socket,
         &conn = conn_](boost::system::error_code error)
        {
            if (error || !*shared_callback || conn.receive_shut_down)
            {
                return;
            }
            if (peek(socket) == socket_content::end && *shared_callback)
            {
                const auto run = std::move(*shared_callback);
                *shared_callback = nullptr;
                run();
            }
        });
}

asio::awaitable<void> server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!stopping)
    {
        auto [error, socket] = co_await acceptor.async_accept(completion);
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        // An accept also fails for lack of descriptors.
        const bool is_full =
            error || connections.size() >= options.max_connections;
        if (is_full && (!evict_most_silent() || error))
        {
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(completion);
            continue;
        }
        start_session(std::move(socket));
    }
}

void server::state::accept_queued()
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error && connections.size() < options.max_connections)
    {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error)
        {
            start_session(std::move(socket));
        }
    }
}

void server::state::start_session(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto conn = std::make_shared<exchange::connection>(
        std::move(socket), *this, connection_id{++accepted_connections});
    connections.emplace(conn->id, conn.get());
    if (stopping)
    {
        close_if_idle(*conn);
    }
    asio::co_spawn(acceptor.get_executor(), session(conn), asio::detached);
}

void server::state::close_if_idle(exchange::connection& conn)
{
    auto& socket = conn.stream.socket();
    conn.has_request =
        conn.has_request || peek(socket) == socket_content::bytes;
    if (!conn.has_request)
    {
        boost::system::error_code ignored;
        conn.receive_shut_down = true;
        socket.shutdown(tcp::socket::shutdown_receive, ignored);
    }
}

asio::awaitable<void> server::state::session(
    std::shared_ptr<exchange::connection> conn)
{
    const auto self = shared_from_this();
    while (co_await serve_one(*conn))
    {
    }
    connections.erase(conn->id);
    boost::system::error_code ignored;
    conn->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

void server::state::discard_body(exchange::connection& conn)
{
    if (conn.body != nullptr)
    {
        std::string().swap(*conn.body);
    }
}

exchange::connection* server::state::find_most_silent() const
{
    exchange::connection* most_silent = nullptr;
    for (const auto& [id, conn] : connections)
    {
        if (!conn->is_handled && !conn->is_evicted &&
            (most_silent == nullptr ||
             conn->last_arrival < most_silent->last_arrival))
        {
            most_silent = conn;
        }
    }
    return most_silent;
}

bool server::state::evict_most_silent()
{
    for (std::size_t tries = connections.size(); tries > 0; --tries)
    {
        auto* const conn = find_most_silent();
        if (conn == nullptr)
        {
            return false;
        }
        if (conn->has_request ||
            peek(conn->stream.socket()) != socket_content::bytes)
        {
            evict(*conn, eviction_reason::connection_limit);
            return true;
        }
        // Its next request has arrived and will be read.
        conn->last_arrival = monotonic_clock::now();
    }
    return false;
}

void server::state::evict(exchange::connection& conn, eviction_reason reason)
{
    auto& socket = conn.stream.socket();
    conn.is_evicted = true;
    if (conn.has_request)
    {
        try_refuse(socket);
    }
    report_eviction(conn, reason);
    discard_body(conn);
    boost::system::error_code ignored;
    socket.cancel(ignored);
}

void server::state::report_eviction(
    const exchange::connection& conn, eviction_reason reason) const
{
    if (options.on_eviction)
    {
        options.on_eviction(
            {.reason = reason,
             .request_bytes = conn.accounted_bytes,
             .silence = monotonic_clock::now() - conn.last_arrival});
    }
}

bool server::state::account(
    exchange::connection& conn, std::size_t bytes, bool is_complete)
{
    conn.accounted_bytes = bytes;
    const auto answer = is_complete ? bodies.complete(conn.id, bytes)
                                    : bodies.reserve(conn.id, bytes);
    for (const auto& id : answer.evicted)
    {
        evict(*connections.at(id), eviction_reason::body_memory);
    }
    if (!answer.granted)
    {
        report_eviction(conn, eviction_reason::body_memory);
        discard_body(conn);
    }
    return answer.granted;
}

asio::awaitable<boost::system::error_code> server::state::wait_readable(
    exchange::connection& conn, mono_time deadline)
{
    auto& socket = conn.stream.socket();
    conn.waits_for_bytes = true;
    conn.read_timed_out = false;
    conn.read_timer.expires_after(deadline - monotonic_clock::now());
    conn.read_timer.async_wait(
        [weak_conn =
             conn.weak_from_this()](boost::system::error_code timer_error)
        {
            const auto waiting = weak_conn.lock();
            // A handler that was queued when its wait ended is not cancelled
            // and runs within the next wait, whose timer expires later.
            if (timer_error || !waiting || !waiting->waits_for_bytes ||
                waiting->read_timer.expiry() >
                    asio::steady_timer::clock_type::now() ||
                peek(waiting->stream.socket()) != socket_content::none)
            {
                return;
            }
            waiting->read_timed_out = true;
            boost::system::error_code ignored;
            waiting->stream.socket().cancel(ignored);
        });
    const auto [error] =
        co_await socket.async_wait(tcp::socket::wait_read, completion);
    conn.waits_for_bytes = false;
    conn.read_timer.cancel();
    if (error && conn.read_timed_out)
    {
        // Bytes may have arrived since the handler of the timer ran, while
        // other handlers kept this coroutine waiting.
        if (peek(socket) == socket_content::bytes)
        {
            co_return boost::system::error_code{};
        }
        co_return beast::error::timeout;
    }
    co_return error;
}

asio::awaitable<boost::system::error_code> server::state::wait_for_request(
    exchange::connection& conn)
{
    const auto idle_since = monotonic_clock::now();
    duration limit{};
    boost::system::error_code error;
    do
    {
        limit = options.limits.idle_timeout;
        error = co_await wait_readable(
            conn, idle_since + limit + options.late_arrival_allowance);
        // A longer limit may have come into force.
    } while (error == beast::error::timeout &&
             options.limits.idle_timeout > limit);
    if (error == beast::error::timeout && options.on_idle_closure)
    {
        boost::system::error_code ignored;
        options.on_idle_closure(
            {.idle = monotonic_clock::now() - idle_since,
             .limit = limit,
             .unread_bytes = conn.stream.socket().available(ignored)});
    }
    co_return error;
}

asio::awaitable<boost::system::error_code> server::state::parse_until(
    exchange::connection& conn, request_parser& parser,
    bool (request_parser::*condition)() const, duration limit)
{
    const auto deadline =
        monotonic_clock::now() + limit + options.late_arrival_allowance;
    while (!(parser.*condition)())
    {
        // An evicted body has been discarded.
        if (conn.is_evicted)
        {
            co_return asio::error::operation_aborted;
        }
        boost::system::error_code error;
        if (!parser.is_header_done() && has_folded_line(conn.buffer))
        {
            co_return bhttp::error::bad_field;
        }
        if (conn.buffer.size() > 0)
        {
            conn.buffer.consume(parser.put(conn.buffer.data(), error));
        }
        if (error && error != bhttp::error::need_more)
        {
            co_return error;
        }
        if (error && conn.buffer.size() > options.limits.max_header_bytes)
        {
            // The parser waits for the end of a chunk's header or of the
            // trailers, whose size it does not limit.
            co_return bhttp::error::header_limit;
        }
        const auto bytes = parser.get().body().capacity() +
                           conn.buffer.capacity() + conn.header_bytes;
        if (bytes > conn.accounted_bytes && !account(conn, bytes, false))
        {
            co_return asio::error::no_buffer_space;
        }
        if ((parser.*condition)() || (!error && conn.buffer.size() > 0))
        {
            continue;
        }
        const auto read_error = read_available(conn);
        if (read_error == asio::error::eof && parser.got_some())
        {
            parser.put_eof(error);
            co_return error;
        }
        if (read_error && read_error != asio::error::would_block)
        {
            co_return read_error;
        }
        if (read_error)
        {
            const auto wait_error = co_await wait_readable(conn, deadline);
            if (wait_error)
            {
                co_return wait_error;
            }
        }
    }
    co_return boost::system::error_code{};
}

asio::awaitable<boost::system::error_code> server::state::receive(
    exchange::connection& conn, request_parser& parser, request& message)
{
    if (conn.buffer.size() == 0)
    {
        const auto error = co_await wait_for_request(conn);
        if (error)
        {
            co_return error;
        }
    }
    // Bytes arrived before an eviction took effect; the request is served.
    conn.is_evicted = false;
    conn.has_request = true;
    // The limits may have changed while the connection was idle.
    const server_limits limits = options.limits;
    parser.body_limit(limits.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    const auto header_error = co_await parse_until(
        conn, parser, &request_parser::is_header_done, limits.header_timeout);
    for (const auto& field : parser.get())
    {
        conn.header_bytes += header_field_bytes + field.name_string().size() +
                             field.value().size();
    }
    // Beast takes a message with another coding for one without a body, and the
    // body for the next request.
    if (!header_error && !is_readable_framing(parser.get().base()))
    {
        co_return bhttp::error::bad_transfer_encoding;
    }
    if (header_error)
    {
        co_return header_error;
    }
    // Trailers are no header fields (RFC 9110, 6.5.1).
    message = take_header(parser);
    if (parser.is_done())
    {
        co_return boost::system::error_code{};
    }
    const auto expectation = message.header("Expect");
    if (beast::iequals(
            {expectation.data(), expectation.size()}, "100-continue"))
    {
        constexpr std::string_view interim_response =
            "HTTP/1.1 100 Continue\r\n\r\n";
        conn.stream.expires_after(options.write_timeout);
        const auto [error, bytes_written] = co_await asio::async_write(
            conn.stream, asio::buffer(interim_response), completion);
        if (error)
        {
            co_return error;
        }
    }
    parser.eager(true);
    co_return co_await parse_until(
        conn, parser, &request_parser::is_done, limits.idle_timeout);
}

asio::awaitable<void> server::state::send_receive_error(
    exchange::connection& conn, boost::system::error_code error)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned payload_too_large = 413;
    constexpr unsigned header_fields_too_large = 431;
    constexpr unsigned service_unavailable = 503;
    response message;
    if (error == asio::error::no_buffer_space)
    {
        message = error_response(result_code::queue_full, service_unavailable);
        message.headers.emplace_back("Retry-After", refusal_retry_after_s);
    }
    else if (error == bhttp::error::body_limit)
    {
        message =
            error_response(result_code::body_too_large, payload_too_large);
    }
    else if (error == bhttp::error::header_limit)
    {
        message = error_response(
            result_code::body_too_large, header_fields_too_large);
    }
    else
    {
        message = error_response(result_code::malformed_http, bad_request);
    }
    conn.keep_alive = false;
    exchange failed(conn, request{});
    (void)co_await failed.send(std::move(message));
}

asio::awaitable<bool> server::state::serve_one(exchange::connection& conn)
{
    struct body_memory
    {
        body_memory(exchange::connection& receiver, std::string& body)
            : conn(receiver)
        {
            conn.body = &body;
        }
        body_memory(const body_memory&) = delete;
        body_memory& operator=(const body_memory&) = delete;
        ~body_memory()
        {
            conn.owner.bodies.release(conn.id);
            conn.accounted_bytes = 0;
            conn.header_bytes = 0;
            conn.body = nullptr;
        }
        exchange::connection& conn;
    };
    request_parser parser;
    const body_memory memory(conn, parser.get().body());
    request received;
    auto error = co_await receive(conn, parser, received);
    // The body is copied when it is sent to an upstream.
    if (!error &&
        !account(conn, conn.accounted_bytes + parser.get().body().size(), true))
    {
        error = asio::error::no_buffer_space;
    }
    if (is_malformed(error) || error == asio::error::no_buffer_space)
    {
        co_await send_receive_error(conn, error);
    }
    if (error)
    {
        co_return false;
    }
    conn.body = nullptr;
    conn.keep_alive = parser.keep_alive();
    received.body = std::move(parser.get().body());
    exchange current_exchange(conn, std::move(received));
    conn.stream.expires_never();
    conn.is_handled = true;
    try
    {
        co_await handle(current_exchange);
    }
    catch (const std::exception& exception)
    {
        spdlog::error("event=handler_failed detail=\"{}\"", exception.what());
        conn.keep_alive = false;
    }
    conn.is_handled = false;
    conn.has_request = false;
    conn.last_arrival = monotonic_clock::now();
    co_return !conn.closes_after_response();
}

server::server(
    const asio::any_io_executor& executor, const server_options& options,
    handler request_handler)
    : state_(std::make_shared<state>(
          executor, options, std::move(request_handler)))
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
    state_->stop();
}

void server::state::stop()
{
    stopping = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    retry_timer.cancel();
    for (const auto& [id, conn] : connections)
    {
        close_if_idle(*conn);
    }
}

void server::stop_accepting()
{
    state_->accept_queued();
    state_->stop();
}

void server::state::set_limits(const server_limits& limits)
{
    options.limits = limits;
    bodies.ensure_capacity(min_budget_bodies * limits.max_body_bytes);
}

void server::set_limits(const server_limits& limits)
{
    state_->set_limits(limits);
}

void server::disable_keep_alive()
{
    state_->keep_alive_disabled = true;
}

std::size_t server::active_exchanges() const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        state_->connections.begin(), state_->connections.end(),
        [](const auto& entry) { return entry.second->has_request; }));
}

std::uint16_t server::port() const noexcept
{
    boost::system::error_code error;
    return state_->acceptor.local_endpoint(error).port();
}

} // namespace wagtailseam::http
