// Typed configuration shared by all processes, and the parser of its document.
#ifndef WAGTAILSEAM_CONFIGURATION_CONFIGURATION_HPP
#define WAGTAILSEAM_CONFIGURATION_CONFIGURATION_HPP

#include "core/clock.hpp"
#include "core/digest.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "settings/schema.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::configuration
{

/// Weights of the two terms of a workspace's routing objective; each within
/// [0, 1], not both 0.
struct objective_weights
{
    /// Weight of the time to first token.
    double first_token = 0;
    /// Weight of the share of prompt tokens that is computed again.
    double recomputed_share = 0;

    friend bool operator==(const objective_weights&, const objective_weights&) =
        default;
};

/// Settings of one customer of the deployment.
struct workspace_settings
{
    workspace_id id;
    /// SHA-256 digests of the accepted bearer keys; two during key rotation.
    /// A digest belongs to one workspace only.
    std::vector<digest> caller_keys;
    /// Share of the capacity that this workspace gets under overload, in
    /// (0, 1]. The shares of all workspaces add up to at most 1.
    double share = 0;
    objective_weights objective;
    std::vector<model_id> models;
    /// Ids of the services that this workspace may call.
    std::vector<std::string> services;
};

/// A fine-tuned adapter of a model.
struct adapter_settings
{
    adapter_id id;
    weight_version version;
};

/// A model and the weight version that engines serve.
struct model_settings
{
    model_id id;
    weight_version version;
    /// Tokens in one piece of the engines' prefix cache.
    token_count cache_piece_size{1024};
    std::vector<adapter_settings> adapters;
};

/// A request type of a service.
struct service_request_settings
{
    std::string name;
    /// Whether a repeated execution has no further effect. A request that is
    /// not idempotent is a filing and requires an idempotency key.
    bool idempotent = false;
};

/// A service that is not an engine, and its request types.
struct service_settings
{
    std::string id;
    std::vector<service_request_settings> requests;
};

enum class upstream_kind : std::uint8_t
{
    engine,
    service,
    store,
};

/// An upstream and the sidecar in front of it.
struct upstream_settings
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    data_centre_id data_centre;
    /// IP:port of the sidecar.
    std::string sidecar;
    /// Whether the upstream itself rejects orders with a stale fencing number;
    /// otherwise its sidecar does.
    bool checks_fencing = false;
    /// Models that an engine serves; empty for other kinds.
    std::vector<model_id> models;
    /// Id of the service; empty for other kinds.
    std::string service;
    cell_id cell;
};

/// Names of the keys that authenticate messages between processes. The keys
/// themselves are in the settings of each process.
struct process_key_settings
{
    std::string sign_with;
    /// Always contains sign_with.
    std::vector<std::string> accept;
};

struct spread_settings
{
    /// Mean time between two reads of the head row by one entry.
    duration poll_interval{};
};

struct membership_settings
{
    duration heartbeat_interval{};
    /// Missed heartbeats after which an upstream is suspected to have failed.
    std::uint32_t silent_heartbeats = 0;
    std::uint32_t cells = 0;
};

struct lease_settings
{
    duration length{};
    duration renew_interval{};
    /// Time before the expiry of a lease at which its holder stops acting.
    duration margin{};
};

/// The settings derived from an operator's answers to the questionnaire. Lists
/// are sorted by id.
struct configuration
{
    std::string deployment;
    std::vector<data_centre_id> data_centres;
    std::vector<workspace_settings> workspaces;
    std::vector<model_settings> models;
    std::vector<service_settings> services;
    std::vector<upstream_settings> upstreams;
    process_key_settings process_keys;
    spread_settings spread;
    membership_settings membership;
    lease_settings lease;
};

/// Returns the workspace of a bearer key, or null when the key is unknown.
/// Complexity: linear in the total number of caller keys.
[[nodiscard]] const workspace_settings* find_workspace_by_key(
    const configuration& config, std::string_view bearer_key);

/// Returns the settings of a service request, or null when it is not
/// configured.
[[nodiscard]] const service_request_settings* find_request(
    const configuration& config, std::string_view service,
    std::string_view request);

/// Returns the schema of a configuration document.
[[nodiscard]] const settings::schema& configuration_schema();

/// Parses a configuration document.
/// @errors config_invalid: the detail lists all faults.
[[nodiscard]] result<configuration> parse_configuration(std::string_view bytes);

/// Returns the name of an upstream kind in the document.
[[nodiscard]] std::string_view name(upstream_kind kind) noexcept;

/// Parses an upstream kind. @pre text is engine, service or store.
[[nodiscard]] upstream_kind parse_upstream_kind(std::string_view text) noexcept;

} // namespace wagtailseam::configuration

#endif
