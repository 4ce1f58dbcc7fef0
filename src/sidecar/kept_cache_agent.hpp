// The kept cache at an engine's sidecar: imports the pieces of a returning
// prompt before it runs, and exports new pieces after it ran.
#ifndef WAGTAILSEAM_SIDECAR_KEPT_CACHE_AGENT_HPP
#define WAGTAILSEAM_SIDECAR_KEPT_CACHE_AGENT_HPP

#include "core/random_source.hpp"
#include "http/client.hpp"
#include "identity/process_keys.hpp"
#include "kept_cache/importer.hpp"
#include "messages/wagtail.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace wagtailseam::sidecar
{

namespace asio = boost::asio;

/// Moves blocks between the engine and the stores that dispatches name. Lives
/// as long as the io_context. Not thread-safe.
class kept_cache_agent
{
public:
    kept_cache_agent(
        asio::io_context& context, http::client& client,
        const identity::process_keys& keys, telemetry::metrics& metrics,
        http::address engine);

    /// The engine runs these weights now.
    void version_changed(weight_version version);

    /// Brings the pieces that the dispatch names and the engine lacks. Returns
    /// when they are there, or when the import was cut or took too long; the
    /// engine computes what is missing.
    asio::awaitable<void> bring(const messages::dispatch& asked);

    /// Exports the pieces that the store lacks, in the background.
    void export_later(const messages::dispatch& asked);

private:
    struct waiter
    {
        explicit waiter(asio::io_context& context) : timer(context) {}
        asio::steady_timer timer;
        bool ended = false;
    };

    void feed(const kept_cache::import_event& what);
    void obey(const kept_cache::open_piece& command);
    void obey(const kept_cache::read_piece& command);
    void obey(const kept_cache::hand_to_engine& command);
    void obey(const kept_cache::drop_piece& command);
    void obey(const kept_cache::free_at_store& command);
    void obey(const kept_cache::import_ended& command);

    asio::awaitable<void> open(kept_cache::open_piece command);
    asio::awaitable<void> read(kept_cache::read_piece command);
    asio::awaitable<void> hand_over(kept_cache::hand_to_engine command);
    asio::awaitable<void> tell_store(http::address store, std::string target);
    asio::awaitable<void> export_pieces(messages::dispatch asked);
    asio::awaitable<result<http::response>> ask_store(
        http::address store, std::string target, std::string body);
    asio::awaitable<result<http::response>> ask_engine(
        std::string target, std::string body);

    asio::io_context& context_;
    http::client& client_;
    const identity::process_keys& keys_;
    telemetry::metrics& metrics_;
    http::address engine_;
    random_source nonces_;
    kept_cache::importer importer_{{}};
    std::uint64_t last_call_ = 0;
    std::map<kept_cache::call_id, std::shared_ptr<waiter>> waiters_;
    /// Bytes read but not yet taken by the engine, by flight; bounded by the
    /// importer's flights.
    std::map<kept_cache::flight_id, std::string> staged_;
    std::size_t exports_ = 0;
};

} // namespace wagtailseam::sidecar

#endif
