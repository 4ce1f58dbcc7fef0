// The process that callers talk to.
#ifndef WAGTAILSEAM_ENTRY_APP_HPP
#define WAGTAILSEAM_ENTRY_APP_HPP

#include "caller_http/answer_format.hpp"
#include "caller_http/chat_request.hpp"
#include "entry/cell_watch.hpp"
#include "entry/filing_desk.hpp"
#include "entry/peers.hpp"
#include "entry/request_run.hpp"
#include "http/server.hpp"

namespace wagtailseam::entry
{

/// Runs until stopped. Not thread-safe: one io_context.
class app
{
public:
    app(asio::io_context& context, entry_settings settings,
        identity::process_keys keys);
    ~app();
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    /// Puts a configuration in force. @pre its number is not lower than that
    /// of the one in force
    void configure(config_number number, configuration::configuration accepted);

    /// Fails readiness, finishes what is in progress, then stops the
    /// io_context.
    void drain();

private:
    asio::awaitable<void> serve_caller(http::exchange& exchange);
    asio::awaitable<void> serve_chat(
        http::exchange& exchange, request_id id,
        configuration::workspace_settings workspace);
    asio::awaitable<void> serve_service(
        http::exchange& exchange, request_id id,
        configuration::workspace_settings workspace);
    asio::awaitable<void> serve_admin(http::exchange& exchange);
    asio::awaitable<messages::control_reply> answer_control(
        messages::control_request asked);
    asio::awaitable<void> answer_error(
        http::exchange& exchange, const request_id& id, error why);
    asio::awaitable<void> finish_drain();
    [[nodiscard]] result<configuration::workspace_settings> authenticate(
        const http::request& asked) const;
    [[nodiscard]] request_id next_request_id();
    [[nodiscard]] http::response admin_page(const http::request& asked);
    [[nodiscard]] std::string status_json() const;
    [[nodiscard]] std::string explain_json(const request_id& id) const;

    peers shared_;
    filing_desk filings_;
    cell_watch cells_;
    std::string id_prefix_;
    std::uint64_t requests_ = 0;
    http::server caller_server_;
    http::server admin_server_;
    peer::control_server control_server_;
};

} // namespace wagtailseam::entry

#endif
