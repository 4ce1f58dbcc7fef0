// The client against a server that plays a script byte by byte.
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace wagtailseam::http
{
namespace
{

using tcp = asio::ip::tcp;
using std::chrono::seconds;

/// Accepts connections and answers each request on one with the next text of
/// its script.
class client_fixture : public testing::Test
{
protected:
    client_fixture()
        : acceptor_(
              context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    [[nodiscard]] address server_address() const
    {
        return address{
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

    /// @param reads whether each request is read before its answer
    void serve(std::vector<std::string> answers, bool reads = true)
    {
        asio::co_spawn(
            context_, play(std::move(answers), reads), asio::detached);
    }

    asio::awaitable<void> play(std::vector<std::string> answers, bool reads)
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        ++accepted_;
        std::array<char, 65536> bytes{};
        for (const auto& answer : answers)
        {
            if (reads)
            {
                co_await socket.async_read_some(
                    asio::buffer(bytes), asio::use_awaitable);
            }
            co_await asio::async_write(
                socket, asio::buffer(answer), asio::use_awaitable);
        }
        // Keeps the connection open until the test ends.
        sockets_.push_back(std::move(socket));
    }

    [[nodiscard]] static request asked(const std::string& id)
    {
        request made;
        made.headers.emplace_back("Id", id);
        return made;
    }

    [[nodiscard]] static std::string answer(
        const std::string& id, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nId: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    asio::awaitable<std::string> body_of(request message, open_options how)
    {
        how.timeout = seconds(5);
        how.correlation_header = "Id";
        auto opened = co_await client_.open(
            server_address(), std::move(message), std::move(how));
        if (!opened)
        {
            co_return "error " + std::string(name(opened.error().code));
        }
        auto stream = std::move(opened).value();
        std::string body;
        for (;;)
        {
            const auto part = co_await stream.read(seconds(5));
            if (!part)
            {
                co_return "broken";
            }
            if (part.value().empty())
            {
                co_return body;
            }
            body += part.value();
        }
    }

    /// Asks twice, one after the other, and returns both bodies.
    asio::awaitable<std::string> two_bodies()
    {
        auto first = asked("1");
        auto second = asked("2");
        open_options how_first;
        open_options how_second;
        const auto one =
            co_await body_of(std::move(first), std::move(how_first));
        const auto two =
            co_await body_of(std::move(second), std::move(how_second));
        co_return one + " " + two;
    }

    /// Runs the coroutine and returns what it returns.
    template <class T>
    T run(asio::awaitable<T> coroutine)
    {
        std::optional<T> outcome;
        asio::co_spawn(
            context_, std::move(coroutine),
            [&](std::exception_ptr, T value)
            {
                outcome = std::move(value);
                context_.stop();
            });
        context_.restart();
        context_.run();
        return std::move(outcome).value();
    }

    asio::io_context context_{1};
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> sockets_;
    int accepted_ = 0;
    client client_{context_.get_executor()};
};

TEST_F(client_fixture, late_answer_to_earlier_request_is_dropped)
{
    serve({answer("1", "first"), answer("1", "again") + answer("2", "second")});
    EXPECT_EQ(run(two_bodies()), "first second");
    EXPECT_EQ(accepted_, 1);
}

TEST_F(client_fixture, bytes_after_an_answer_end_the_use_of_its_connection)
{
    serve({answer("1", "first") + "HTTP/1.1 200 OK\r\nId: 1\r\n"});
    serve({answer("2", "second")});
    EXPECT_EQ(run(two_bodies()), "first second");
    EXPECT_EQ(accepted_, 2);
}

TEST_F(client_fixture, fresh_connection_is_never_a_kept_one)
{
    serve({answer("1", "first")});
    serve({answer("2", "second")});
    auto both = [this]() -> asio::awaitable<std::string>
    {
        auto first = asked("1");
        auto second = asked("2");
        open_options how_first;
        open_options how_second{.force_new_connection = true};
        (void)co_await body_of(std::move(first), std::move(how_first));
        co_return co_await body_of(std::move(second), std::move(how_second));
    };
    EXPECT_EQ(run(both()), "second");
    EXPECT_EQ(accepted_, 2);
}

TEST_F(client_fixture, answer_before_a_long_body_is_read_arrives)
{
    serve({answer("1", "early")}, false);
    auto message = asked("1");
    message.method = "POST";
    // More than the sockets' buffers take while nobody reads.
    message.body.assign(std::size_t{64} * 1024 * 1024, 'x');
    open_options how;
    EXPECT_EQ(run(body_of(std::move(message), std::move(how))), "early");
}

TEST_F(client_fixture, interim_answer_is_passed_over)
{
    serve({"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "final")});
    EXPECT_EQ(run(body_of(asked("1"), {})), "final");
}

TEST_F(client_fixture, answer_cut_short_is_not_taken_for_a_whole_one)
{
    auto cut = [this]() -> asio::awaitable<void>
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        const std::string text =
            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf";
        co_await asio::async_write(
            socket, asio::buffer(text), asio::use_awaitable);
        std::array<char, 4096> bytes{};
        co_await socket.async_read_some(
            asio::buffer(bytes), asio::use_awaitable);
    };
    asio::co_spawn(context_, cut(), asio::detached);
    EXPECT_EQ(run(body_of(asked("1"), {})), "broken");
}

TEST_F(client_fixture, cancelled_call_ends_while_server_is_silent)
{
    serve({}, false);
    open_options how{.cancellation = std::make_shared<cancellation_handle>()};
    const auto control = how.cancellation;
    asio::steady_timer timer(context_, std::chrono::milliseconds(50));
    timer.async_wait([control](auto) { control->cancel(); });
    EXPECT_EQ(run(body_of(asked("1"), std::move(how))), "error stream_broken");
}

TEST_F(client_fixture, closed_port_is_unreachable_and_nothing_was_sent)
{
    acceptor_.listen();
    const auto port = acceptor_.local_endpoint().port();
    acceptor_.close();
    bool written = false;
    auto attempt = [&]() -> asio::awaitable<std::string>
    {
        auto message = asked("1");
        open_options how{
            .timeout = seconds(5), .before_write = [&] { written = true; }};
        auto opened = co_await client_.open(
            address{"127.0.0.1:" + std::to_string(port)}, std::move(message),
            std::move(how));
        co_return opened ? "opened" : std::string(name(opened.error().code));
    };
    EXPECT_EQ(run(attempt()), "upstream_unreachable");
    EXPECT_FALSE(written);
}

} // namespace
} // namespace wagtailseam::http
