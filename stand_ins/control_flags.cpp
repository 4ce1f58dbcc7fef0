// Run loop of the stand-ins.
#include "control_flags.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, listen, "", "Where to listen, IP:port.");

namespace wagtailseam::stand_ins
{

int serve(
    boost::asio::io_context& context, const std::string& name,
    http::handler handle)
{
    const std::string listen = absl::GetFlag(FLAGS_listen);
    if (listen.empty())
    {
        std::cerr << name << ": --listen IP:port is needed\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const http::server server(
        context.get_executor(), {.listen = http::address{listen}},
        std::move(handle));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](auto, int) { std::quick_exit(0); });
    context.run();
    return 0;
}

asio::awaitable<void> send_json(
    http::exchange& exchange, std::string text, unsigned status)
{
    http::response answer;
    answer.status = status;
    answer.body = std::move(text);
    (void)co_await exchange.send(std::move(answer));
}

} // namespace wagtailseam::stand_ins
