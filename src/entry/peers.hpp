// What the slices of an entry share: keys, clients, metrics.
#ifndef WAGTAILSEAM_ENTRY_PEERS_HPP
#define WAGTAILSEAM_ENTRY_PEERS_HPP

#include "core/random_source.hpp"
#include "entry/explain_ring.hpp"
#include "entry/settings.hpp"
#include "entry/upstream_directory.hpp"
#include "http/client.hpp"
#include "identity/process_keys.hpp"
#include "peer/peer.hpp"
#include "retry/retry_budget.hpp"
#include "spread/distributor.hpp"
#include "table_service/client.hpp"
#include "telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>

namespace wagtailseam::entry
{

namespace asio = boost::asio;

/// Owned by the entry's app; outlives every request.
struct peers
{
    peers(
        asio::io_context& run_on, entry_settings wanted,
        identity::process_keys accepted);

    asio::io_context& context;
    entry_settings settings;
    identity::process_keys keys;
    telemetry::metrics metrics;
    peer::traffic traffic;
    http::client client;
    peer::control_client control;
    table_service::client platform;
    upstream_directory upstreams;
    explain_ring explained;
    random_source random;
    /// One for each pool: a configured model or service.
    std::map<std::string, retry::retry_budget> retry_budgets;
    /// The configuration in force; null until there is one.
    std::shared_ptr<const configuration::configuration> config;
    config_number config_in_force;
    /// Learns of accepted configurations; set by the app.
    std::unique_ptr<spread::distributor> spread;
    bool draining = false;

    /// Whether requests may be taken under the configuration in force.
    [[nodiscard]] bool configured() const;

    /// Adds a decision for /explain and the log.
    void explain(const request_id& request, std::string text);
};

} // namespace wagtailseam::entry

#endif
