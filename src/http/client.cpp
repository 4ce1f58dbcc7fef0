// Beast connections behind the client's interface.
#include "http/client.hpp"

#include "http/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
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

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t read_buffer_bytes = std::size_t{4} * 1024;
/// Longer bodies are written while the answer is read: a server may answer
/// before it has read them, and a small window would block both sides.
constexpr std::size_t concurrent_write_bytes = std::size_t{8} * 1024;
/// Late answers to earlier requests that are dropped on one connection.
constexpr int max_dropped_answers = 2;
/// Part of a server's announced idle time for which a connection is kept.
constexpr double keep_alive_share = 0.7;

using tcp_user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// No request is being written.
    bool written = true;
    /// When it was kept, and how long it may be.
    mono_time idle_since;
    duration max_idle_time{};
};

/// A kept connection with bytes to read or an end was closed by its server.
bool is_usable(connection& kept)
{
    if (monotonic_clock::now() - kept.idle_since > kept.max_idle_time)
    {
        return false;
    }
    char byte = 0;
    boost::system::error_code failed;
    auto& socket = kept.stream.socket();
    socket.non_blocking(true, failed);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

bhttp::request<bhttp::string_body> to_message(const address& to, request asked)
{
    bhttp::request<bhttp::string_body> message;
    message.version(11);
    message.method_string(asked.method);
    message.target(asked.target);
    for (const auto& [name, value] : asked.headers)
    {
        message.insert(name, value);
    }
    if (message.find(bhttp::field::host) == message.end())
    {
        message.set(bhttp::field::host, to.value());
    }
    message.body() = std::move(asked.body);
    message.prepare_payload();
    return message;
}

using message = bhttp::request<bhttp::string_body>;

/// Writes a request while its answer may already be read.
asio::awaitable<void> write_beside(
    std::shared_ptr<connection> link, std::shared_ptr<message> sent)
{
    const auto [failed, size] =
        co_await bhttp::async_write(link->stream, *sent, completion);
    // The reader sees the failure too.
    link->written = !failed;
}

/// Writes a request, a long one beside the reading of its answer.
asio::awaitable<boost::system::error_code> send(
    std::shared_ptr<connection> link, std::shared_ptr<message> sent)
{
    if (sent->body().size() > concurrent_write_bytes)
    {
        link->written = false;
        asio::co_spawn(
            link->stream.get_executor(), write_beside(link, sent),
            asio::detached);
        co_return boost::system::error_code{};
    }
    const auto [failed, size] =
        co_await bhttp::async_write(link->stream, *sent, completion);
    co_return failed;
}

/// Returns how long the server keeps an idle connection, at most `most`.
duration announced_idle_time(const response& head, duration most)
{
    constexpr std::string_view label = "timeout=";
    const auto field = head.header("Keep-Alive");
    const auto at = field.find(label);
    if (at == std::string_view::npos)
    {
        return most;
    }
    const auto digits = field.substr(at + label.size());
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    const std::chrono::duration<double> kept(seconds * keep_alive_share);
    return std::min(most, std::chrono::duration_cast<duration>(kept));
}

} // namespace

void cancellation_handle::cancel() noexcept
{
    cancelled_ = true;
    if (close_)
    {
        close_();
    }
}

struct client::state
{
    state(const asio::any_io_executor& run_on, const client_options& asked)
        : executor(run_on), options(asked)
    {
    }

    asio::any_io_executor executor;
    client_options options;
    std::unordered_map<address, std::vector<std::shared_ptr<connection>>> idle;

    std::shared_ptr<connection> take_idle(const address& to);
    void keep(
        const address& to, std::shared_ptr<connection> used,
        const response& head);
    asio::awaitable<result<std::shared_ptr<connection>>> connect(
        address to, const open_options& how);
};

std::shared_ptr<connection> client::state::take_idle(const address& to)
{
    const auto found = idle.find(to);
    while (found != idle.end() && !found->second.empty())
    {
        auto candidate = std::move(found->second.back());
        found->second.pop_back();
        if (is_usable(*candidate))
        {
            return candidate;
        }
    }
    return nullptr;
}

void client::state::keep(
    const address& to, std::shared_ptr<connection> used, const response& head)
{
    auto& kept = idle[to];
    std::erase_if(kept, [](const auto& other) { return !is_usable(*other); });
    if (kept.size() < options.max_idle_connections)
    {
        used->stream.expires_never();
        used->idle_since = monotonic_clock::now();
        used->max_idle_time = announced_idle_time(head, options.max_idle_time);
        kept.push_back(std::move(used));
    }
}

asio::awaitable<result<std::shared_ptr<connection>>> client::state::connect(
    address to, const open_options& how)
{
    auto kept = how.force_new_connection ? nullptr : take_idle(to);
    if (kept)
    {
        co_return std::move(kept);
    }
    const auto endpoint = parse_endpoint(to);
    if (!endpoint)
    {
        co_return fail(
            result_code::upstream_unreachable, endpoint.error().detail);
    }
    auto made = std::make_shared<connection>(executor);
    const bool own = how.connect_timeout > duration::zero();
    made->stream.expires_after(
        own ? how.connect_timeout : options.connect_timeout);
    const auto [failed] =
        co_await made->stream.async_connect(endpoint.value(), completion);
    if (failed)
    {
        co_return fail(result_code::upstream_unreachable, failed.message());
    }
    boost::system::error_code ignored;
    auto& socket = made->stream.socket();
    socket.set_option(tcp::no_delay(true), ignored);
    if (options.tcp_user_timeout > duration::zero())
    {
        const auto limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                options.tcp_user_timeout);
        socket.set_option(
            tcp_user_timeout_option(static_cast<int>(limit.count())), ignored);
    }
    co_return std::move(made);
}

struct response_stream::state
{
    std::weak_ptr<client::state> owner;
    address to;
    std::shared_ptr<connection> link;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
    response head;
    std::array<char, read_buffer_bytes> bytes{};
    bool head_only = false;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    /// A request that is still being written ends with its stream.
    ~state()
    {
        if (link && !link->written)
        {
            link->stream.close();
        }
    }

    asio::awaitable<boost::system::error_code> receive_head(
        std::size_t max_body_bytes);
    asio::awaitable<boost::system::error_code> drop_body();
    asio::awaitable<result<void>> receive_answer(
        std::string correlation_header, std::string expected,
        std::size_t max_body_bytes);
    void read_head();
    void finish();
};

/// Reads the head of the next answer that is not an interim one.
asio::awaitable<boost::system::error_code> response_stream::state::receive_head(
    std::size_t max_body_bytes)
{
    constexpr unsigned first_final_status = 200;
    do
    {
        parser.emplace();
        parser->body_limit(max_body_bytes);
        parser->skip(head_only);
        const auto [failed, size] = co_await bhttp::async_read_header(
            link->stream, link->buffer, *parser, completion);
        if (failed)
        {
            co_return failed;
        }
    } while (parser->get().result_int() < first_final_status);
    read_head();
    co_return boost::system::error_code{};
}

asio::awaitable<boost::system::error_code> response_stream::state::drop_body()
{
    while (!parser->is_done())
    {
        parser->get().body().data = bytes.data();
        parser->get().body().size = bytes.size();
        const auto [failed, size] = co_await bhttp::async_read_some(
            link->stream, link->buffer, *parser, completion);
        if (failed && failed != bhttp::error::need_buffer)
        {
            co_return failed;
        }
    }
    co_return boost::system::error_code{};
}

/// Reads the head of the answer to this request, past late ones to earlier
/// requests.
asio::awaitable<result<void>> response_stream::state::receive_answer(
    std::string correlation_header, std::string expected,
    std::size_t max_body_bytes)
{
    for (int dropped = 0; dropped <= max_dropped_answers; ++dropped)
    {
        const auto failed = co_await receive_head(max_body_bytes);
        if (failed)
        {
            co_return fail(result_code::stream_broken, failed.message());
        }
        const auto echo = head.header(correlation_header);
        if (expected.empty() || echo.empty() || echo == expected)
        {
            co_return boost::outcome_v2::success();
        }
        const auto broken = co_await drop_body();
        if (broken)
        {
            co_return fail(result_code::stream_broken, broken.message());
        }
    }
    co_return fail(
        result_code::stream_broken, "only answers to earlier requests came");
}

void response_stream::state::read_head()
{
    const auto& message = parser->get();
    head.status = message.result_int();
    head.content_type = std::string(message[bhttp::field::content_type]);
    head.headers.clear();
    for (const auto& field : message)
    {
        head.headers.emplace_back(field.name_string(), field.value());
    }
    head.content_length.reset();
    if (const auto length = parser->content_length())
    {
        head.content_length = *length;
    }
}

/// Gives the connection back once the body is read to its end.
void response_stream::state::finish()
{
    const auto pool = owner.lock();
    if (pool && link->written && parser->get().keep_alive() &&
        link->buffer.size() == 0)
    {
        pool->keep(to, std::move(link), head);
    }
    else if (!link->written)
    {
        link->stream.close();
    }
    link.reset();
}

response_stream::response_stream(std::unique_ptr<state> opened)
    : state_(std::move(opened))
{
}
response_stream::~response_stream() = default;
response_stream::response_stream(response_stream&& other) noexcept = default;
response_stream& response_stream::operator=(response_stream&& other) noexcept =
    default;

const response& response_stream::head() const noexcept
{
    return state_->head;
}

asio::awaitable<result<std::string_view>> response_stream::read(
    duration timeout)
{
    state& current = *state_;
    while (current.link && !current.parser->is_done())
    {
        auto& body = current.parser->get().body();
        body.data = current.bytes.data();
        body.size = current.bytes.size();
        current.link->stream.expires_after(timeout);
        auto [failed, received] = co_await bhttp::async_read_some(
            current.link->stream, current.link->buffer, *current.parser,
            completion);
        if (failed == bhttp::error::need_buffer)
        {
            failed = {};
        }
        if (failed)
        {
            co_return fail(result_code::stream_broken, failed.message());
        }
        const std::size_t size = current.bytes.size() - body.size;
        if (size > 0)
        {
            co_return std::string_view(current.bytes.data(), size);
        }
    }
    if (!current.link)
    {
        co_return fail(result_code::stream_broken, "stream is closed");
    }
    current.finish();
    co_return std::string_view();
}

void response_stream::close() noexcept
{
    if (state_ && state_->link)
    {
        state_->link->stream.cancel();
        state_->link->stream.close();
    }
}

client::client(
    const asio::any_io_executor& executor, const client_options& options)
    : state_(std::make_shared<state>(executor, options))
{
}

client::~client() = default;

asio::awaitable<result<response_stream>> client::open(
    address to, request asked, duration timeout,
    std::function<void()> before_write)
{
    return open(
        std::move(to), std::move(asked),
        open_options{
            .timeout = timeout, .before_write = std::move(before_write)});
}

asio::awaitable<result<response_stream>> client::open(
    address to, request asked, open_options how)
{
    auto connected = co_await state_->connect(to, how);
    if (!connected)
    {
        co_return boost::outcome_v2::failure(connected.error());
    }
    if (how.cancellation && how.cancellation->cancelled())
    {
        co_return fail(result_code::upstream_unreachable, "cancelled");
    }
    auto opened = std::make_unique<response_stream::state>();
    opened->owner = state_;
    opened->to = to;
    opened->link = std::move(connected).value();
    opened->head_only = asked.method == "HEAD";
    const auto link = opened->link;
    if (how.cancellation)
    {
        how.cancellation->close_ = [weak = std::weak_ptr(link)]
        {
            if (const auto live = weak.lock())
            {
                live->stream.close();
            }
        };
    }
    const std::string expected(asked.header(how.correlation_header));
    const auto sent =
        std::make_shared<message>(to_message(to, std::move(asked)));
    link->stream.expires_after(how.timeout);
    if (how.before_write)
    {
        how.before_write();
    }
    const auto failed = co_await send(link, sent);
    if (failed)
    {
        co_return fail(result_code::stream_broken, failed.message());
    }
    const auto answered = co_await opened->receive_answer(
        how.correlation_header, expected, state_->options.max_body_bytes);
    if (!answered)
    {
        co_return boost::outcome_v2::failure(answered.error());
    }
    co_return response_stream(std::move(opened));
}

asio::awaitable<result<response>> client::fetch(
    address to, request asked, duration timeout)
{
    auto opened = co_await open(std::move(to), std::move(asked), timeout);
    if (!opened)
    {
        co_return boost::outcome_v2::failure(opened.error());
    }
    response_stream stream = std::move(opened).value();
    response answer = stream.head();
    for (;;)
    {
        const auto part = co_await stream.read(timeout);
        if (!part)
        {
            co_return boost::outcome_v2::failure(part.error());
        }
        if (part.value().empty())
        {
            co_return answer;
        }
        answer.body += part.value();
    }
}

} // namespace wagtailseam::http
