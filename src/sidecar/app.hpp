// The process beside an upstream: takes dispatches from entries, answers
// control messages, and is the only one that talks to its upstream.
#ifndef WAGTAILSEAM_SIDECAR_APP_HPP
#define WAGTAILSEAM_SIDECAR_APP_HPP

#include "attempt/dispatch_admission.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "identity/process_keys.hpp"
#include "peer/peer.hpp"
#include "sidecar/attempt_record.hpp"
#include "sidecar/cell_member.hpp"
#include "sidecar/kept_cache_agent.hpp"
#include "sidecar/settings.hpp"
#include "sidecar/store_service.hpp"
#include "sidecar/upstream_monitor.hpp"
#include "spread/distributor.hpp"
#include "table_service/client.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace wagtailseam::sidecar
{

/// Runs until stopped. Not thread-safe: one io_context.
class app
{
public:
    app(asio::io_context& context, sidecar_settings settings,
        identity::process_keys keys);
    ~app();
    app(const app&) = delete;
    app& operator=(const app&) = delete;

    /// Puts a configuration in force. Number 0 is the one to start with.
    void configure(
        config_number number, const configuration::configuration& accepted);

    /// Refuses new work, finishes what is in progress, then stops the
    /// io_context.
    void drain();

private:
    asio::awaitable<void> serve_data(http::exchange& exchange);
    asio::awaitable<void> expire_pins();
    /// Whether the upstream can take work; a store is its own upstream.
    [[nodiscard]] bool ready() const noexcept;
    asio::awaitable<void> serve_admin(http::exchange& exchange);
    asio::awaitable<void> serve_dispatch(http::exchange& exchange);
    asio::awaitable<void> serve_resume(http::exchange& exchange);
    asio::awaitable<void> refuse(
        http::exchange& exchange, result_code code, std::string detail);
    asio::awaitable<void> stream_frames(
        http::exchange& exchange, std::shared_ptr<attempt_record> record,
        std::uint64_t from);
    asio::awaitable<void> run(
        messages::dispatch asked, std::shared_ptr<attempt_record> record);
    asio::awaitable<void> cancel_when_orphaned(
        std::shared_ptr<attempt_record> record);
    asio::awaitable<void> finish_drain();

    asio::awaitable<messages::control_reply> answer_control(
        messages::control_request asked);
    messages::tombstone_reply answer_tombstone(
        const messages::tombstone_request& asked);
    messages::cancel_reply answer_cancel(const messages::cancel_request& asked);

    [[nodiscard]] std::shared_ptr<attempt_record> find(
        const attempt::attempt_id& id) const;
    std::shared_ptr<attempt_record> begin(const messages::dispatch& asked);
    asio::awaitable<void> report_self();
    void count_refusal(result_code code, const attempt::attempt_id& id);
    [[nodiscard]] attempt::sidecar_time now() const;
    [[nodiscard]] std::string status_json() const;

    asio::io_context& context_;
    sidecar_settings settings_;
    identity::process_keys keys_;
    telemetry::metrics metrics_;
    peer::traffic traffic_;
    http::client client_;
    table_service::client platform_;
    peer::control_client control_client_;
    attempt::dispatch_admission gate_;
    upstream_monitor monitor_;
    kept_cache_agent kept_cache_;
    /// Null but in the role of a store.
    std::unique_ptr<store_service> store_;
    /// Attempts that began and whose frames are still kept.
    std::map<attempt::attempt_id, std::shared_ptr<attempt_record>> records_;
    spread::distributor spread_;
    cell_member cell_;
    http::server data_server_;
    http::server admin_server_;
    peer::control_server control_server_;
};

} // namespace wagtailseam::sidecar

#endif
