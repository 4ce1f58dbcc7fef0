// Tests the check whether a server listens on its port.
#include "http/listener_probe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace wagtailseam::http
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

class listener_probe_fixture : public testing::Test
{
protected:
    bool probe(const address& server)
    {
        bool closed = false;
        asio::co_spawn(
            context_, is_port_closed(server, std::chrono::seconds(1)),
            [&](std::exception_ptr, bool result) { closed = result; });
        context_.restart();
        context_.run();
        return closed;
    }

    asio::io_context context_{1};
};

TEST_F(listener_probe_fixture, listening_port_is_not_closed)
{
    const tcp::acceptor acceptor(
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    EXPECT_FALSE(probe(address{
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}));
}

TEST_F(listener_probe_fixture, port_without_a_listener_is_closed)
{
    EXPECT_TRUE(probe(address{"127.0.0.1:1"}));
}

TEST_F(listener_probe_fixture, malformed_address_is_not_reported_as_closed)
{
    EXPECT_FALSE(probe(address{"nowhere"}));
}

} // namespace
} // namespace wagtailseam::http
