// Header fields with names that are none, and folded lines (RFC 9112, 5.1 and
// 5.2), on both sides.
#include "http/framing.hpp"
#include "http/server.hpp"
#include "raw_server_fixture.hpp"

#include <boost/asio/read.hpp>

#include <fmt/format.h>
#include <limits>

namespace wagtailseam::http
{
namespace
{

using std::chrono::milliseconds;

bool is_token_character(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(character) !=
               std::string_view::npos;
}

/// Returns lines whose name holds a character that no name has.
std::vector<std::string> lines_with_bad_names()
{
    std::vector<std::string> lines;
    for (int code = 0; code <= std::numeric_limits<unsigned char>::max();
         ++code)
    {
        const auto character = static_cast<char>(code);
        // A colon ends the name.
        if (is_token_character(character) || character == ':')
        {
            continue;
        }
        const std::string inserted(1, character);
        for (const std::string& name :
             {inserted + "Field", "Fi" + inserted + "eld", "Field" + inserted})
        {
            lines.push_back(name + ": 1\r\n");
            lines.push_back(name + ": chunked\r\n");
        }
        for (const std::string framing :
             {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"})
        {
            auto hidden = framing;
            hidden.insert(hidden.find(':'), inserted);
            lines.push_back(hidden);
        }
    }
    lines.emplace_back(": 1\r\n");
    lines.emplace_back("Field\r\n");
    return lines;
}

const std::vector<std::string> folded_lines{
    "Stamp: proof\r\n joined\r\n",
    "Stamp: proof\r\n\tjoined\r\n",
    "Stamp: proof\r\n \r\n",
    "Stamp:\r\n proof\r\n",
    "Stamp: proof\r\n joined\r\n again\r\n",
    "Stamp: proof\r\n Content-Length: 4\r\n",
    "Stamp: proof\r\n Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chun\r\n ked\r\n",
    "Content-Length: \r\n 4\r\n"};

class header_lines_fixture : public raw_server_fixture
{
protected:
    /// Sends a request to a server, and returns what it sends.
    /// @param is_slow whether each byte arrives alone
    std::string send_to_server(const std::string& text, bool is_slow = false)
    {
        received_.clear();
        server receiver(
            context_.get_executor(), {.listen = address{"127.0.0.1:0"}},
            [this](exchange& served) -> asio::awaitable<void>
            {
                received_.push_back(served.received_request());
                response empty;
                (void)co_await served.send(std::move(empty));
            });
        tcp::socket caller(context_);
        caller.connect({asio::ip::address_v4::loopback(), receiver.port()});
        caller.set_option(tcp::no_delay(true));
        std::string answer;
        const auto exchange_bytes = [&]() -> asio::awaitable<void>
        {
            const std::size_t step = is_slow ? 1 : text.size();
            // A write behind a refusal would reset the connection.
            bool is_refused = false;
            for (std::size_t sent = 0; sent < text.size() && !is_refused;
                 sent += step)
            {
                const auto part = text.substr(sent, step);
                co_await raw_server::write(caller, part);
                co_await raw_server::pause(milliseconds(1));
                is_refused = received_.empty() && caller.available() > 0;
            }
            boost::system::error_code ignored;
            caller.shutdown(tcp::socket::shutdown_send, ignored);
            std::array<char, 4096> bytes{};
            const auto [error, size] = co_await asio::async_read(
                caller, asio::buffer(bytes), raw_server::completion);
            answer.assign(bytes.data(), size);
            context_.stop();
        };
        asio::co_spawn(context_, exchange_bytes(), asio::detached);
        context_.restart();
        context_.run_for(std::chrono::seconds(5));
        return answer;
    }

    /// Receives a response with the lines in its header.
    result<response> receive(const std::string& lines, bool is_slow = false)
    {
        const auto text = "HTTP/1.1 200 OK\r\n" + lines + "\r\n";
        server_.serve(
            [=](tcp::socket& socket) -> asio::awaitable<void>
            {
                co_await raw_server::read_some(socket);
                const std::size_t step = is_slow ? 1 : text.size();
                for (std::size_t sent = 0; sent < text.size(); sent += step)
                {
                    const auto part = text.substr(sent, step);
                    co_await raw_server::write(socket, part);
                    co_await asio::post(asio::use_awaitable);
                }
            });
        return fetch();
    }

    static std::string make_text(const std::string& lines)
    {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n0\r\n\r\n";
    }

    std::vector<request> received_;
};

TEST_F(header_lines_fixture, response_with_a_name_that_is_none_is_broken)
{
    for (const auto& line : lines_with_bad_names())
    {
        for (const auto& lines :
             {line, "A: 1\r\n" + line, line + "Content-Length: 0\r\n",
              "Content-Length: 0\r\n" + line})
        {
            EXPECT_FALSE(receive(lines).has_value()) << lines;
        }
    }
}

TEST_F(header_lines_fixture, request_with_a_name_that_is_none_is_refused)
{
    for (const auto& line : lines_with_bad_names())
    {
        const auto answer = send_to_server(make_text(line));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << line << answer;
        EXPECT_TRUE(received_.empty()) << line;
    }
}

/// Guards against MIXED: a folded line joined the value before it, and hid a
/// length or a transfer coding.
TEST_F(header_lines_fixture, response_with_a_folded_line_is_broken)
{
    for (const auto& folded : folded_lines)
    {
        for (const auto& lines :
             {folded, "A: 1\r\n" + folded, folded + "Content-Length: 0\r\n",
              "Content-Length: 0\r\n" + folded})
        {
            EXPECT_FALSE(receive(lines).has_value()) << lines;
            EXPECT_FALSE(receive(lines, true).has_value()) << lines;
        }
    }
}

TEST_F(header_lines_fixture, request_with_a_folded_line_is_refused)
{
    for (const auto& folded : folded_lines)
    {
        for (const bool is_slow : {false, true})
        {
            const auto answer = send_to_server(make_text(folded), is_slow);
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << folded << answer;
            EXPECT_TRUE(received_.empty()) << folded;
        }
    }
}

TEST_F(header_lines_fixture, body_and_next_message_are_no_header_lines)
{
    const std::string body = "a\r\n b\r\n\tc";
    const auto length = fmt::format("Content-Length: {}\r\n", body.size());
    const auto message =
        fmt::format("POST / HTTP/1.1\r\nHost: h\r\n{}\r\n{}", length, body);
    for (const bool is_slow : {false, true})
    {
        const auto received =
            receive(fmt::format("{}\r\n{}", length, body), is_slow);
        ASSERT_TRUE(received.has_value()) << received.error().detail;
        EXPECT_EQ(received.value().body, body);
        send_to_server(message + message, is_slow);
        ASSERT_EQ(received_.size(), 2U);
        EXPECT_EQ(received_.back().body, body);
    }
}

/// Guards against trailers of a request that join its header.
TEST_F(header_lines_fixture, trailers_of_a_request_are_no_header_fields)
{
    const std::string header = "POST / HTTP/1.1\r\nHost: h\r\nA: 1\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string trailers :
         {"A: 2\r\nB: 3\r\n", "Authorization: key\r\n",
          "Field: 1\r\n joined\r\n", "B: 1\r\n Content-Length: 4\r\n"})
    {
        for (const bool is_slow : {false, true})
        {
            send_to_server(
                fmt::format("{}4\r\ntext\r\n0\r\n{}\r\n", header, trailers),
                is_slow);
            ASSERT_EQ(received_.size(), 1U) << trailers;
            EXPECT_EQ(received_.front().body, "text");
            EXPECT_EQ(
                received_.front().headers,
                (header_list{
                    {"Host", "h"},
                    {"A", "1"},
                    {"Transfer-Encoding", "chunked"}}))
                << trailers;
        }
    }
}

TEST_F(header_lines_fixture, trailers_of_a_response_are_no_header_fields)
{
    for (const std::string trailers :
         {"A: 2\r\nB: 3\r\n", "Field: 1\r\n joined\r\n",
          "B: 1\r\n Content-Length: 4\r\n"})
    {
        const auto received = receive(
            "A: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n" +
            trailers);
        ASSERT_TRUE(received.has_value()) << received.error().detail;
        EXPECT_EQ(received.value().body, "text");
        EXPECT_EQ(
            received.value().headers,
            (header_list{{"A", "1"}, {"Transfer-Encoding", "chunked"}}));
    }
}

} // namespace
} // namespace wagtailseam::http
