// The configuration that processes run under, as typed values, and its
// canonical bytes.
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

/// How much a workspace cares for each of the two costs; both within [0, 1]
/// and not both 0.
struct objective_weights
{
    double first_token = 0;
    double recomputed_share = 0;

    friend bool operator==(const objective_weights&, const objective_weights&) =
        default;
};

/// A customer of the deployment.
struct workspace_settings
{
    workspace_id id;
    /// SHA-256 digests of the bearer keys accepted; two during a change of
    /// keys. A digest belongs to one workspace only.
    std::vector<digest> caller_keys;
    /// The part of the capacity that this workspace gets while capacity is
    /// short, in (0, 1]; all shares together are at most 1.
    double share = 0;
    objective_weights objective;
    std::vector<model_id> models;
    /// Ids of the services that this workspace may call.
    std::vector<std::string> services;
};

/// A fine-tuned addition to a model.
struct adapter_settings
{
    adapter_id id;
    weight_version version;
};

/// A model and the version that engines serve.
struct model_settings
{
    model_id id;
    weight_version version;
    /// Tokens in one piece of the engines' prefix cache.
    token_count cache_piece_size{1024};
    std::vector<adapter_settings> adapters;
};

/// One kind of request to a plain service.
struct service_request_settings
{
    std::string name;
    /// Whether running it twice is the same as running it once. Anything else
    /// is a filing and needs the caller's idempotency key.
    bool idempotent = false;
};

/// A plain service and its requests.
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

/// An upstream and the sidecar that speaks for it.
struct upstream_settings
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    data_centre_id data_centre;
    /// IP:port of the sidecar.
    std::string sidecar;
    /// Whether the upstream itself refuses an order with an old fencing
    /// number; if not, its sidecar does.
    bool checks_fencing = false;
    /// Engines only.
    std::vector<model_id> models;
    /// Services only; empty otherwise.
    std::string service;
    cell_id cell;
};

/// Names of the keys that processes sign messages with; the keys themselves
/// stand in each process's settings.
struct process_key_settings
{
    std::string sign_with;
    /// Always holds sign_with.
    std::vector<std::string> accept;
};

struct spread_settings
{
    /// Mean time between two reads of the head by one entry.
    duration poll_interval{};
};

struct membership_settings
{
    duration heartbeat_interval{};
    /// Heartbeats missed before an upstream is suspected.
    std::uint32_t silent_heartbeats = 0;
    std::uint32_t cells = 0;
};

struct lease_settings
{
    duration length{};
    duration renew_interval{};
    /// How long before its end a holder stops acting.
    duration margin{};
};

/// Everything that an operator's answers decide. Lists are in order of ids.
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

/// Returns the workspace that a caller's bearer key belongs to, null when the
/// key is not known. Complexity: linear in all caller keys.
[[nodiscard]] const workspace_settings* find_workspace_by_key(
    const configuration& config, std::string_view bearer_key);

/// Returns a service's request, null when it is not configured.
[[nodiscard]] const service_request_settings* find_request(
    const configuration& config, std::string_view service,
    std::string_view request);

/// Returns the schema of a configuration document.
[[nodiscard]] const settings::schema& configuration_schema();

/// Reads a configuration from its bytes.
/// @return config_invalid with all faults in the detail.
[[nodiscard]] result<configuration> parse_configuration(std::string_view bytes);

/// Returns the text of a kind, as the documents write it.
[[nodiscard]] std::string_view name(upstream_kind kind) noexcept;

/// Returns the kind of a text. @pre text is engine, service or store.
[[nodiscard]] upstream_kind parse_upstream_kind(std::string_view text) noexcept;

} // namespace wagtailseam::configuration

#endif
