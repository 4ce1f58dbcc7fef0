// Statuses that no response has, and interim responses (RFC 9110, 15).
#include "http/framing.hpp"
#include "raw_server_fixture.hpp"

#include <fmt/format.h>

namespace wagtailseam::http
{
namespace
{

constexpr unsigned status_end = 1000;

/// A response that a reader must not find within a broken one.
const std::string inner_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";

bool is_final(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// 101 is no answer to a request that asks for no other protocol.
bool is_interim(unsigned status)
{
    return status >= 100 && status <= 199 && status != 101;
}

bool may_have_body(unsigned status)
{
    return status != 204 && status != 304;
}

class response_status_fixture : public raw_server_fixture
{
protected:
    /// Receives a response with the status, the fields and an inner response
    /// behind its header.
    result<response> receive(unsigned status, const std::string& fields)
    {
        server_.serve_text(
            fmt::format("HTTP/1.1 {:03} Text\r\n{}\r\n", status, fields) +
            inner_response);
        return fetch();
    }
};

TEST(status_kind, is_interim_or_final_for_statuses_of_responses_only)
{
    for (unsigned status = 0; status < status_end; ++status)
    {
        const auto kind = kind_of_status(status);
        EXPECT_EQ(kind == status_kind::interim, is_interim(status)) << status;
        EXPECT_EQ(kind == status_kind::final, is_final(status)) << status;
    }
}

/// Guards against MIXED: a status outside of 100 to 599 was taken for the one
/// of an interim response, and its body for the final response.
TEST_F(response_status_fixture, response_with_a_body_has_a_final_status)
{
    const auto length =
        fmt::format("Content-Length: {}\r\n", inner_response.size());
    for (unsigned status = 0; status < status_end; ++status)
    {
        const auto received = receive(status, length);
        ASSERT_EQ(received.has_value(), is_final(status)) << status;
        if (received)
        {
            EXPECT_EQ(received.value().status, status);
            EXPECT_EQ(
                received.value().body,
                may_have_body(status) ? inner_response : "");
        }
    }
}

TEST_F(response_status_fixture, interim_response_precedes_the_final_one)
{
    for (unsigned status = 0; status < 200; ++status)
    {
        const auto received = receive(status, "");
        ASSERT_EQ(received.has_value(), is_interim(status)) << status;
        if (received)
        {
            EXPECT_EQ(received.value().status, 200U);
            EXPECT_EQ(received.value().body, "inner");
        }
    }
}

TEST_F(response_status_fixture, interim_response_has_no_chunks)
{
    for (const unsigned status : {100U, 102U, 103U, 199U})
    {
        EXPECT_FALSE(
            receive(status, "Transfer-Encoding: chunked\r\n").has_value());
        EXPECT_TRUE(receive(status, "Content-Length: 0\r\n").has_value());
    }
}

/// Guards against a wait for the rest of a response that is broken already.
TEST_F(response_status_fixture, unusable_status_line_fails_at_once)
{
    for (const std::string line :
         {"HTTP/1.1 000 Text\r\n", "HTTP/1.1 101 Text\r\n",
          "HTTP/1.1 600 Text\r\n", "HTTP/1.1 20 Text\r\n",
          "HTTP/1.1 2000 Text\r\n", "HTTP/1.1 -20 Text\r\n",
          "HTTP/2.0 200 Text\r\n", "no response at all\r\n"})
    {
        server_.serve_text(line);
        const auto begin = monotonic_clock::now();
        EXPECT_FALSE(fetch().has_value()) << line;
        EXPECT_LT(monotonic_clock::now() - begin, std::chrono::seconds(4))
            << line;
    }
}

} // namespace
} // namespace wagtailseam::http
