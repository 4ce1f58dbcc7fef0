// Responses without a length whose connection ends before the server received
// the whole request, or by an error.
#include "raw_server_fixture.hpp"

namespace wagtailseam::http
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string head_without_length = "HTTP/1.1 200 OK\r\n\r\n";
const std::string head_with_length =
    "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n\r\n";
const std::string head_of_chunks =
    "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";

enum class ending : std::uint8_t
{
    reset,
    /// Close of a socket with unread bytes, which resets the connection.
    close,
    /// Only the sending side ends.
    half_close,
};

class unfinished_upload_fixture : public raw_server_fixture
{
protected:
    /// Serves connections by a response at the first bytes of the request.
    void respond_early(
        const std::string& text, ending end, milliseconds delay = {})
    {
        server_.serve(
            [=](tcp::socket& socket) -> asio::awaitable<void>
            {
                co_await raw_server::read_some(socket);
                co_await raw_server::write(socket, text);
                co_await raw_server::pause(delay);
                switch (end)
                {
                case ending::reset:
                    raw_server::reset(socket);
                    break;
                case ending::close:
                    socket.close();
                    break;
                case ending::half_close:
                    socket.shutdown(tcp::socket::shutdown_send);
                    co_await raw_server::pause(milliseconds(200));
                    break;
                }
            });
    }

    /// Reads the begin of a response to a short request, waits, and returns
    /// whether the rest is read without an error.
    asio::awaitable<bool> read_after_pause(
        const std::function<void(const cancellation_handle&)>& before_read)
    {
        const auto handle = std::make_shared<cancellation_handle>();
        open_options options{.timeout = seconds(5), .cancellation = handle};
        auto opened = co_await client_.open(
            server_.server_address(), make_request(), std::move(options));
        auto stream = std::move(opened).value();
        const auto begin = co_await stream.read(seconds(5));
        EXPECT_EQ(begin.value(), "part");
        co_await raw_server::pause(milliseconds(50));
        before_read(*handle);
        const auto rest = co_await stream.read(seconds(5));
        co_return rest.has_value();
    }
};

/// Guards against MIXED: the error of the connection was reported to the write
/// of the request, and the read after it saw an ordinary end.
TEST_F(unfinished_upload_fixture, body_that_ends_with_the_connection_is_broken)
{
    constexpr int repeats = 10;
    for (const std::size_t size : {9'000U, 900'000U, 6'000'000U})
    {
        for (const auto end :
             {ending::reset, ending::close, ending::half_close})
        {
            for (const auto delay : {milliseconds(0), milliseconds(20)})
            {
                respond_early(head_without_length + "part", end, delay);
                int whole = 0;
                for (int repeat = 0; repeat < repeats; ++repeat)
                {
                    whole += fetch(size).has_value() ? 1 : 0;
                }
                // A request that fits into the buffers of both sides has
                // arrived as a whole.
                const bool may_be_received =
                    end == ending::half_close && size < 1'000'000U;
                EXPECT_TRUE(whole == 0 || may_be_received)
                    << whole << " of " << repeats << " for " << size
                    << " bytes, ending " << static_cast<int>(end) << " after "
                    << delay.count() << " ms";
            }
        }
    }
}

TEST_F(unfinished_upload_fixture, end_before_the_request_arrived_is_broken)
{
    // The request lies in the buffers of this side.
    server_.set_receive_buffer(4096);
    respond_early(head_without_length + "part", ending::half_close);
    EXPECT_FALSE(fetch(900'000).has_value());
}

/// Guards against an error that another call takes from the socket.
TEST_F(unfinished_upload_fixture, error_seen_by_a_look_at_the_socket_is_kept)
{
    respond_early(
        head_without_length + "part", ending::reset, milliseconds(20));
    const auto look = [](const cancellation_handle& handle)
    { EXPECT_TRUE(handle.has_unread_input()); };
    EXPECT_FALSE(run(read_after_pause(look)));
}

/// Guards against an error that a read does not return after the end.
TEST_F(unfinished_upload_fixture, reset_behind_the_end_is_broken)
{
    server_.serve(
        [](tcp::socket& socket) -> asio::awaitable<void>
        {
            co_await raw_server::read_some(socket);
            co_await raw_server::write(socket, head_without_length + "part");
            co_await raw_server::pause(milliseconds(5));
            socket.shutdown(tcp::socket::shutdown_send);
            raw_server::reset(socket);
        });
    EXPECT_FALSE(run(read_after_pause([](const cancellation_handle&) {})));
}

TEST_F(unfinished_upload_fixture, read_after_a_failed_read_fails)
{
    respond_early(
        head_without_length + "part", ending::reset, milliseconds(20));
    const auto read_twice = [this]() -> asio::awaitable<bool>
    {
        auto opened = co_await client_.open(
            server_.server_address(), make_request(), seconds(5));
        auto stream = std::move(opened).value();
        (void)co_await stream.read(seconds(5));
        const auto failed = co_await stream.read(seconds(5));
        EXPECT_FALSE(failed.has_value());
        const auto again = co_await stream.read(seconds(5));
        co_return again.has_value();
    };
    EXPECT_FALSE(run(read_twice()));
}

TEST_F(unfinished_upload_fixture, body_behind_a_whole_request_is_whole)
{
    constexpr std::size_t size = 6'000'000;
    server_.serve(
        [](tcp::socket& socket) -> asio::awaitable<void>
        {
            std::array<char, 65536> bytes{};
            for (std::size_t received = 0; received < size;)
            {
                const auto [error, part] = co_await socket.async_read_some(
                    asio::buffer(bytes), raw_server::completion);
                received += part;
            }
            // The head of the request may still be unread.
            socket.non_blocking(true);
            co_await raw_server::pause(milliseconds(20));
            boost::system::error_code ignored;
            socket.read_some(asio::buffer(bytes), ignored);
            co_await raw_server::write(socket, head_without_length + "whole");
        });
    const auto received = fetch(size);
    ASSERT_TRUE(received.has_value()) << received.error().detail;
    EXPECT_EQ(received.value().body, "whole");
}

TEST_F(unfinished_upload_fixture, framed_response_is_whole_and_ends_its_use)
{
    constexpr std::size_t size = 6'000'000;
    options_.force_new_connection = false;
    for (const auto& text :
         {head_with_length + "full", head_of_chunks + "4\r\nfull\r\n0\r\n\r\n"})
    {
        const int accepted = server_.accepted_connections();
        respond_early(text, ending::half_close, milliseconds(20));
        for (int request_number = 1; request_number <= 2; ++request_number)
        {
            const auto received = fetch(size);
            ASSERT_TRUE(received.has_value()) << received.error().detail;
            EXPECT_EQ(received.value().body, "full");
            EXPECT_EQ(
                server_.accepted_connections(), accepted + request_number);
        }
    }
}

} // namespace
} // namespace wagtailseam::http
