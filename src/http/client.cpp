// Beast connections behind the client's interface.
#include "http/client.hpp"

#include "http/endpoint.hpp"

#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
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
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

struct connection
{
    explicit connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

/// A kept connection with bytes to read or an end was closed by its server.
bool is_usable(connection& kept)
{
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
    message.set(bhttp::field::host, to.value());
    for (const auto& [name, value] : asked.headers)
    {
        message.set(name, value);
    }
    message.body() = std::move(asked.body);
    message.prepare_payload();
    return message;
}

} // namespace

struct client::state
{
    state(const asio::any_io_executor& run_on, const client_options& asked)
        : executor(run_on), options(asked)
    {
    }

    asio::any_io_executor executor;
    client_options options;
    std::unordered_map<address, std::vector<std::unique_ptr<connection>>> idle;

    std::unique_ptr<connection> take_idle(const address& to);
    void keep(const address& to, std::unique_ptr<connection> used);
    asio::awaitable<result<std::unique_ptr<connection>>> connect(address to);
};

std::unique_ptr<connection> client::state::take_idle(const address& to)
{
    auto& kept = idle[to];
    while (!kept.empty())
    {
        auto candidate = std::move(kept.back());
        kept.pop_back();
        if (is_usable(*candidate))
        {
            return candidate;
        }
    }
    return nullptr;
}

void client::state::keep(const address& to, std::unique_ptr<connection> used)
{
    auto& kept = idle[to];
    if (kept.size() < options.max_idle)
    {
        used->stream.expires_never();
        kept.push_back(std::move(used));
    }
}

asio::awaitable<result<std::unique_ptr<connection>>> client::state::connect(
    address to)
{
    auto kept = take_idle(to);
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
    auto made = std::make_unique<connection>(executor);
    made->stream.expires_after(options.connect_timeout);
    const auto [failed] =
        co_await made->stream.async_connect(endpoint.value(), completion);
    if (failed)
    {
        co_return fail(result_code::upstream_unreachable, failed.message());
    }
    boost::system::error_code ignored;
    made->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return std::move(made);
}

struct response_stream::state
{
    std::weak_ptr<client::state> owner;
    address to;
    std::unique_ptr<connection> link;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
    response head;
    std::array<char, read_buffer_bytes> bytes{};

    void read_head();
    void finish();
};

void response_stream::state::read_head()
{
    const auto& message = parser->get();
    head.status = message.result_int();
    head.content_type = std::string(message[bhttp::field::content_type]);
    for (const auto& field : message)
    {
        head.headers.emplace_back(field.name_string(), field.value());
    }
}

/// Gives the connection back once the body is read to its end.
void response_stream::state::finish()
{
    const auto pool = owner.lock();
    if (pool && parser->get().keep_alive() && link->buffer.size() == 0)
    {
        pool->keep(to, std::move(link));
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
    auto connected = co_await state_->connect(to);
    if (!connected)
    {
        co_return boost::outcome_v2::failure(connected.error());
    }
    auto opened = std::make_unique<response_stream::state>();
    opened->owner = state_;
    opened->to = to;
    opened->link = std::move(connected).value();
    auto& link = *opened->link;
    const auto message = to_message(to, std::move(asked));
    link.stream.expires_after(timeout);
    if (before_write)
    {
        before_write();
    }
    const auto [write_failed, sent] =
        co_await bhttp::async_write(link.stream, message, completion);
    if (write_failed)
    {
        co_return fail(result_code::stream_broken, write_failed.message());
    }
    opened->parser.emplace();
    opened->parser->body_limit(state_->options.max_body_bytes);
    const auto [read_failed, received] = co_await bhttp::async_read_header(
        link.stream, link.buffer, *opened->parser, completion);
    if (read_failed)
    {
        co_return fail(result_code::stream_broken, read_failed.message());
    }
    opened->read_head();
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
