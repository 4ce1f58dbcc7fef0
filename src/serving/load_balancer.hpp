// Chooses an upstream for each request from the platform's list, the engines'
// load and the results of earlier attempts.
#ifndef WAGTAILSEAM_SERVING_LOAD_BALANCER_HPP
#define WAGTAILSEAM_SERVING_LOAD_BALANCER_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "serving/configuration.hpp"
#include "serving/memory_estimate.hpp"
#include "serving/running_processes.hpp"
#include "serving/upstream.hpp"
#include "upstream_speed/speed_estimate.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::serving
{

/// The connection was refused or timed out; nothing was sent.
struct connect_failed
{
};

/// The upstream reported that it did not run the request.
struct refused_busy
{
};

/// The address now belongs to another upstream.
struct misdirected
{
};

/// The upstream does not run the expected weight version.
struct weights_differ
{
    model_id model;
    /// The version that it runs, if it reported one.
    std::optional<weight_version> running;
};

/// The complete answer was received.
struct answered
{
};

/// The upstream aborted the answer, reported an error or sent a malformed
/// answer.
struct response_failed
{
};

/// No byte arrived within the expected time.
struct response_timed_out
{
};

/// The attempt ended for a reason unrelated to the upstream.
struct abandoned
{
};

using attempt_result = std::variant<
    connect_failed, refused_busy, misdirected, weights_differ, answered,
    response_failed, response_timed_out, abandoned>;

/// Returns the name of the result in logs and metrics.
[[nodiscard]] std::string_view name(const attempt_result& result) noexcept;

/// Load of an engine as its agent reports it.
struct engine_load
{
    /// Requests whose prefill has not finished.
    std::uint32_t prompts_waiting = 0;
    /// Requests that generate tokens.
    std::uint32_t running = 0;
    engine_memory memory;
    /// Whether it is loading weights and accepts no requests.
    bool loading_weights = false;
    std::map<model_id, weight_version> weights;
    /// Work that other gateways reported for the engine, some 10 ms old. If
    /// unset, the much older report of the engine itself is used.
    std::optional<pending_prefill> prefill_of_other_gateways;
    /// As all gateways measured it when the report was made; nullopt if
    /// unknown.
    std::optional<upstream_speed::measured_speed> speed;
};

struct load_balancer_options
{
    /// Pause after the first failed connection; doubles with each further one.
    duration connect_pause = std::chrono::milliseconds(400);
    duration max_connect_pause = std::chrono::seconds(4);
    /// Pause after a refusal, beside the one that the upstream asks for.
    duration busy_pause = std::chrono::milliseconds(120);
    /// Weight of one attempt in the moving average of failures.
    double failure_smoothing = 0.3;
    /// Half-life of the share of failures.
    duration failure_half_life = std::chrono::seconds(6);
    /// Cost reduction for an upstream in the local data centre.
    duration local_bonus = std::chrono::milliseconds(4);
    /// Cost reduction for the upstream to which the affinity key of the prompt
    /// maps, because that one probably caches the prompt's parts.
    duration affinity_bonus = std::chrono::milliseconds(45);
    /// Expected wait per request of this process at an upstream of unknown
    /// load.
    duration wait_per_request = std::chrono::milliseconds(12);
    /// Expected wait per pending prefill: a mean one takes about 10 ms, a long
    /// one without cached parts about 100 ms.
    duration wait_per_prompt = std::chrono::milliseconds(60);
    /// Cost differences below this are ignored if the gateways exchange their
    /// pending prefills: they lie within the work sent since the last exchange.
    duration cost_tolerance = std::chrono::milliseconds(15);
    /// Upper bound of the usual time to the first byte, a multiple of which a
    /// slower upstream takes longer.
    duration max_service_time = std::chrono::milliseconds(60);
    /// Delay caused by each request that generates tokens.
    duration wait_per_run = std::chrono::milliseconds(2);
    /// Maximum age of a load report.
    duration max_load_age = std::chrono::milliseconds(1000);
    /// Cost of an upstream that always fails, that is, of an answer that is
    /// late or never comes.
    duration failure_cost = std::chrono::milliseconds(3000);
    /// Cost of older weights, for the lower value of such an answer.
    duration old_weights_cost = std::chrono::milliseconds(40);
    /// Upstreams beyond this number are not measured.
    std::size_t max_measured = 8192;
    /// Number of departed processes that are remembered.
    std::size_t max_departed = 1024;
};

struct upstream_query
{
    service_id service;
    data_centre_id local_data_centre;
    /// Hash of the prompt's longest shared part; 0 for requests without one.
    std::uint64_t affinity_key = 0;
    /// If set, upstreams that run the wanted version of this model are
    /// preferred.
    std::optional<model_id> model;
    weight_version wanted_version;
    /// Excludes upstreams with older weights than this.
    std::optional<weight_version> min_version;
    /// Excludes engines that start on the request later than this. Unset: no
    /// limit.
    std::optional<duration> max_wait;
    /// Tokens for which an engine needs memory.
    token_count tokens;
    /// Excludes upstreams of other data centres.
    allowed_data_centres data_centres;
    /// Excludes upstreams of other software versions.
    std::optional<software_version> software;
    /// Excludes upstreams whose listed process is known to have been replaced;
    /// may be null.
    const running_processes* processes = nullptr;
    /// Upstreams that earlier attempts of the request tried.
    std::set<upstream_id> excluded;
    /// Upstreams that, as they stated, take no requests of this gateway now.
    std::set<upstream_process> restricted;
};

/// What a request demands of an engine.
struct prompt_load
{
    /// Estimated duration of its prefill.
    duration prefill_time{};
    /// Tokens for which it needs memory.
    token_count tokens;
};

/// An upstream chosen for one attempt.
struct chosen_upstream
{
    upstream entry;
    /// Weight version of the query's model, if known.
    std::optional<weight_version> running_version;
    /// Time until its engine starts on the request.
    duration expected_wait{};
    /// How many times slower it is than the median of its service; already part
    /// of the expected wait.
    double slowness = 1;
    /// The basis of the choice, for the log.
    duration cost{};
    std::uint32_t in_flight = 0;
    double failure_share = 0;
};

/// Every available upstream has too long a queue.
struct all_overloaded
{
    /// Time until the shortest queue is within the limit.
    duration excess_wait{};
    /// Number of upstreams that have no memory for the request.
    std::size_t without_memory = 0;
};

/// Every upstream is restricted or unavailable.
struct all_restricted
{
    /// Those that would have been eligible without their restriction.
    std::set<upstream_process> upstreams;
};

/// No upstream is available.
struct none_available
{
};

using choice = std::variant<
    chosen_upstream, all_overloaded, all_restricted, none_available>;

/// Why an upstream of the service cannot be chosen.
enum class exclusion : std::uint8_t
{
    none,
    leaving,
    loading_weights,
    /// Connections failed, or it refused a request.
    paused,
    already_tried,
    evacuated,
    /// In a region that the request may not be processed in.
    other_region,
    other_software,
    replaced_process,
    older_weights,
    /// It stated that it takes no requests of this gateway now, or it is cold.
    restricted,
    no_memory,
    queue_too_long,
};

/// Returns the name of the reason in logs and reports.
[[nodiscard]] std::string_view name(exclusion reason) noexcept;

/// What the choice of an upstream depends on.
struct assessed_upstream
{
    upstream entry;
    exclusion excluded = exclusion::none;
    duration expected_wait{};
    double slowness = 1;
    /// Without the random part; the lowest is chosen.
    duration cost{};
    /// Whether the prompt's parts are probably in its cache.
    bool preferred = false;
    std::uint32_t in_flight = 0;
    double failure_share = 0;
    /// Age of the last load report; nullopt without one.
    std::optional<duration> load_age;
};

/// Not thread-safe. Memory and time: linear in the number of upstreams.
class load_balancer
{
public:
    explicit load_balancer(const load_balancer_options& options = {});

    /// Sets the services that the configuration names. Entries of other
    /// services count for nothing. Before the first call all entries count.
    void set_services(std::set<service_id> services);

    /// Sets the data centres whose upstreams get no new attempts.
    void set_evacuated(std::set<data_centre_id> evacuated)
    {
        evacuated_ = std::move(evacuated);
    }
    [[nodiscard]] const std::set<data_centre_id>& evacuated() const noexcept
    {
        return evacuated_;
    }

    /// Replaces the list. Upstreams missing from it are used for the grace
    /// period only.
    /// @return the entries of processes that have ended, as in upsert()
    std::vector<upstream> replace(
        const std::vector<upstream>& listed, duration grace, mono_time now);
    /// Adds or updates an entry. Upstreams that started earlier at its address
    /// are not used while it is listed.
    /// @return the entries of processes that have ended according to the list,
    ///         because a later one is listed at their address or under their id
    std::vector<upstream> upsert(const upstream& listed);
    /// Removes an entry after the grace period, because the list loses live
    /// upstreams while the platform's row store is down.
    /// @return the entry if it was listed until now
    std::optional<upstream> remove(
        const upstream_id& id, duration grace, mono_time now);

    /// Records that a removed entry was not only missing because the row store
    /// was down.
    void confirm_departure(const upstream_id& id);
    /// Erases the entries of processes whose departure was confirmed. A list
    /// that was restored from an older copy may contain them again.
    void remove_departed(std::vector<upstream>& listed) const;

    /// Records that an earlier process still answers at an upstream's address,
    /// so that the later entries at the address name no upstream.
    void record_running(const upstream_process& process);

    /// Returns whether exactly this process is listed.
    [[nodiscard]] bool lists(const upstream_process& process) const;
    /// Returns whether a later process than this one is listed under its id.
    [[nodiscard]] bool lists_successor(const upstream_process& process) const;
    /// Returns the software versions of a service's upstreams that are listed,
    /// also of those that drain.
    [[nodiscard]] std::set<software_version> software_versions(
        const service_id& service, mono_time now) const;
    /// Returns whether an upstream of a software version is listed and does not
    /// leave.
    [[nodiscard]] bool serves_version(
        const service_id& service, const software_version& version,
        mono_time now) const;

    /// Applies a load report of an engine's agent.
    void update_load(
        const upstream_id& id, const engine_load& load, mono_time now);

    /// Returns the upstream with the lowest expected cost.
    [[nodiscard]] choice choose(
        const upstream_query& query, random_source& random,
        mono_time now) const;

    /// Assesses all upstreams of the query's service as choose() does, in the
    /// order of their ids.
    [[nodiscard]] std::vector<assessed_upstream> assess(
        const upstream_query& query, mono_time now) const;

    /// Returns the time until an upstream of the service in one of the data
    /// centres may be tried again.
    [[nodiscard]] duration retry_after(
        const service_id& service, const allowed_data_centres& allowed,
        mono_time now) const;
    /// Returns whether the upstream is draining, removed or unknown, so that it
    /// gets no new requests.
    [[nodiscard]] bool is_leaving(const upstream_id& id, mono_time now) const;

    /// Returns whether the upstream is in a data centre that is evacuated.
    [[nodiscard]] bool is_evacuated(const upstream_id& id) const;

    void begin_attempt(const upstream_id& id, const prompt_load& load);
    /// Called when the first byte of the answer arrived or the attempt ended
    /// without one.
    /// @param load the value that was passed to begin_attempt
    void finish_prefill(
        const upstream_id& id, const prompt_load& load, mono_time now);
    /// Records the time from a request to the first byte of its response.
    /// @param expected for an upstream of usual speed
    void record_first_byte(
        const upstream_id& id, duration observed, duration expected,
        mono_time now);
    /// Returns the sums of what was recorded for an upstream.
    [[nodiscard]] upstream_speed::measured_times measured_times(
        const upstream_id& id) const;
    /// Returns the upstreams that differ from the median of their service, with
    /// how many times slower they are.
    [[nodiscard]] std::map<upstream_id, double> uneven_upstreams(
        mono_time now) const;
    /// Returns the pending prefills of this process at an upstream.
    [[nodiscard]] pending_prefill own_pending_prefill(
        const upstream_id& id) const;
    /// Returns the upstreams with pending prefills of this process.
    [[nodiscard]] std::vector<upstream_id> upstreams_with_own_prefill() const;
    /// Records the end of an attempt that began.
    void end_attempt(
        const upstream_id& id, const attempt_result& result, mono_time now);
    /// Records a result while the attempt continues.
    void record_result(
        const upstream_id& id, const attempt_result& result, mono_time now);

    /// Returns the weight version that an upstream runs, if known.
    [[nodiscard]] std::optional<weight_version> running_version(
        const upstream_id& id, const model_id& model) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return upstreams_.size();
    }

private:
    struct upstream_state
    {
        upstream entry;
        /// End of its use; set if the list does not contain it.
        std::optional<mono_time> removed_at;
        /// Whether an upstream that started later is listed at its address.
        bool is_superseded = false;
        /// Whether an earlier process answers at its address.
        bool is_disproved = false;
        std::uint32_t in_flight = 0;
        engine_load load;
        /// Time of the last load report.
        std::optional<mono_time> load_updated;
        /// Requests that this process sent after that.
        std::uint32_t sent_since_load = 0;
        pending_prefill own_pending_prefill;
        memory_estimate memory;
        /// Share of failures at `failures_updated`; decays after that. Within
        /// [0, 1].
        double failure_share = 0;
        mono_time failures_updated;
        std::uint32_t connect_failures = 0;
        /// Not used before this time; after connection failures, one request
        /// then probes it.
        std::optional<mono_time> paused_until;
        upstream_speed::speed_estimate own_speed;
    };

    struct candidate
    {
        const upstream_state* state = nullptr;
        /// Without noise.
        duration cost{};
        duration expected_wait{};
        double slowness = 1;
        std::uint64_t affinity = 0;
        bool is_preferred = false;
    };
    struct candidate_list
    {
        std::vector<candidate> candidates;
        /// Shortest excess over the limit of the wait, among the upstreams that
        /// were left out for it.
        std::optional<duration> min_excess_wait;
        /// Number of upstreams that were left out for their memory.
        std::size_t without_memory = 0;
        /// Upstreams that were left out because they are restricted.
        all_restricted restricted;
    };

    [[nodiscard]] candidate_list list_candidates(
        const upstream_query& query, mono_time now) const;
    [[nodiscard]] candidate make_candidate(
        const upstream_state& state, const upstream_query& query,
        const upstream_speed::speed_scale& speeds, mono_time now) const;
    /// Returns why an upstream of the query's service cannot be chosen.
    [[nodiscard]] exclusion find_exclusion(
        const upstream_state& state, const upstream_query& query,
        mono_time now) const;
    /// Returns whether an entry may name an upstream that runs.
    [[nodiscard]] bool counts(const upstream_state& state) const;
    /// Finds out which upstreams at an address are superseded.
    /// @return the entries that were not superseded before
    std::vector<upstream> update_superseded(const http::address& address);
    /// Records that an upstream is no longer listed at an address.
    void forget_address(const upstream_id& id, const http::address& address);
    [[nodiscard]] static bool is_draining_or_removed(
        const upstream_state& state, mono_time now) noexcept;
    /// Returns why it cannot be chosen regardless of its load.
    [[nodiscard]] exclusion find_ineligibility(
        const upstream_state& state, const upstream_query& query,
        mono_time now) const;
    [[nodiscard]] double decayed_failure_share(
        const upstream_state& state, mono_time now) const;
    [[nodiscard]] std::uint32_t prompts_waiting(
        const upstream_state& state, mono_time now) const;
    [[nodiscard]] bool is_load_known(
        const upstream_state& state, mono_time now) const;
    [[nodiscard]] duration expected_wait(
        const upstream_state& state, mono_time now) const;
    /// Returns the speed of an upstream; nullopt if unknown.
    [[nodiscard]] std::optional<upstream_speed::measured_speed> known_speed(
        const upstream_state& state, mono_time now) const;
    /// Complexity: linear in the number of upstreams.
    [[nodiscard]] upstream_speed::speed_scale make_speed_scale(
        const service_id& service, mono_time now) const;
    /// Returns whether the engine has memory for the tokens.
    [[nodiscard]] bool has_memory(
        const upstream_state& state, token_count tokens, mono_time now) const;
    [[nodiscard]] duration cost(
        const upstream_state& state, const upstream_query& query,
        double slowness, mono_time now) const;
    /// Returns the time by which responses of a slower upstream begin later.
    [[nodiscard]] duration excess_time(
        const upstream_state& state, double slowness, mono_time now) const;
    /// @param failure 1 for a failure, 0 for a success
    void update_failure_share(
        upstream_state& state, double failure, mono_time now);
    void pause(upstream_state& state, duration time, mono_time now);

    load_balancer_options options_;
    std::map<upstream_id, upstream_state> upstreams_;
    /// @invariant contains each upstream under the address of its entry
    std::map<http::address, std::set<upstream_id>> upstreams_by_address_;
    std::set<data_centre_id> evacuated_;
    /// Sums since the start of this process, also of upstreams that are no
    /// longer listed. At most options_.max_measured entries.
    std::map<upstream_id, upstream_speed::measured_times> measured_;
    /// Unset before the first configuration.
    std::optional<std::set<service_id>> named_services_;
    /// Start times of processes whose departure was confirmed.
    /// @invariant at most options_.max_departed entries, those of
    ///            departure_order_
    std::map<upstream_id, std::uint64_t> departed_;
    std::deque<upstream_id> departure_order_;
};

} // namespace wagtailseam::serving

#endif
