// What every stand-in shares: a listening address flag and a run loop.
#ifndef WAGTAILSEAM_STAND_INS_CONTROL_FLAGS_HPP
#define WAGTAILSEAM_STAND_INS_CONTROL_FLAGS_HPP

#include "http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace wagtailseam
{
namespace asio = boost::asio;
}

namespace wagtailseam::stand_ins
{

/// Serves HTTP at the address of flag --listen until SIGTERM.
/// @return the process's exit code
int serve(
    boost::asio::io_context& context, const std::string& name,
    http::handler handle);

/// Answers a JSON text.
asio::awaitable<void> send_json(
    http::exchange& exchange, std::string text, unsigned status = 200);

} // namespace wagtailseam::stand_ins

#endif
