// What an entry knows of the upstreams: the platform's list, and its own
// experience with each. Chooses where a request goes.
#ifndef WAGTAILSEAM_SERVING_LOAD_BALANCER_HPP
#define WAGTAILSEAM_SERVING_LOAD_BALANCER_HPP

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "serving/upstream.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wagtailseam::serving
{

/// The connection was refused or not made in time; nothing was sent.
struct connect_failed
{
};

/// The upstream said that it did not run the request.
struct refused_busy
{
    /// When it wants to be asked again; zero: it did not say.
    duration retry_after{};
};

/// Another upstream has the address now.
struct misdirected
{
};

/// Its weights are others than expected.
struct weights_differ
{
    model_id model;
    /// What it runs, when it said so.
    std::optional<weight_version> running;
};

/// The whole answer came.
struct answered
{
};

/// It broke off, answered with a failure, or with bytes that are no answer.
struct response_failed
{
};

/// Nothing came in the time in which an answer was expected.
struct response_timed_out
{
};

/// Ended for reasons that say nothing about the upstream.
struct abandoned
{
};

using attempt_result = std::variant<
    connect_failed, refused_busy, misdirected, weights_differ, answered,
    response_failed, response_timed_out, abandoned>;

/// Names the kind of end for logs and counters.
[[nodiscard]] std::string_view name(const attempt_result& end) noexcept;

/// What an engine's agent says of its load.
struct engine_load
{
    /// Requests whose prompt is not read yet.
    std::uint32_t prompts_waiting = 0;
    /// Requests that make tokens.
    std::uint32_t running = 0;
    /// Takes no request until it has loaded weights.
    bool loading_weights = false;
    std::map<model_id, weight_version> weights;
    /// What other gateways have there, by their own word, which is some ten ms
    /// old. Nothing: the engine's report has to do, which is much older.
    std::optional<pending_prefill> prefill_of_other_gateways;
};

struct load_balancer_options
{
    /// Pause after a first failed connection; doubles with each further one.
    duration connect_pause = std::chrono::milliseconds(400);
    duration max_connect_pause = std::chrono::seconds(4);
    /// Pause after a refusal that names no time.
    duration busy_pause = std::chrono::milliseconds(120);
    /// Weight of one attempt in the share of failures.
    double failure_weight = 0.3;
    /// Time in which half of a failure share is forgiven.
    duration forgiveness = std::chrono::seconds(6);
    /// Preference, as waiting time, of an upstream of the own data centre.
    duration near_bonus = std::chrono::milliseconds(4);
    /// Preference of the home of a prompt's cached parts.
    duration home_bonus = std::chrono::milliseconds(45);
    /// Expected wait behind each request of this entry at an upstream without
    /// a word on its load.
    duration wait_per_request = std::chrono::milliseconds(12);
    /// Expected wait behind a prompt that is not read yet: a mean one takes
    /// some ten milliseconds, a long one without cache a hundred.
    duration wait_per_prompt = std::chrono::milliseconds(60);
    /// Differences of cost below this do not count where gateways tell each
    /// other what they have at an engine: what they send within the age of
    /// that word.
    duration spread = std::chrono::milliseconds(15);
    /// Slowing by each request that makes tokens.
    duration wait_per_run = std::chrono::milliseconds(2);
    /// A word on an engine's load counts for this time.
    duration load_trust = std::chrono::milliseconds(1000);
    /// Cost of a certain failure: an answer that comes late or never.
    duration failure_cost = std::chrono::milliseconds(3000);
    /// Cost of older weights: what such an answer loses.
    duration old_weights_cost = std::chrono::milliseconds(40);
};

/// What is looked for.
struct upstream_query
{
    service_id service;
    data_centre_id local_data_centre;
    /// Of the prompt's longest shared part; 0 for requests without one.
    std::uint64_t affinity_key = 0;
    /// With a model: upstreams that run these weights come first.
    std::optional<model_id> model;
    weight_version wanted_version;
    /// Older weights than wanted are not used at all.
    bool require_wanted_version = false;
    /// Engines before which as many prompts wait are not used: their tokens
    /// come too slowly for all. Nothing: no bound.
    std::optional<std::uint32_t> max_prompts_waiting;
    /// Not these again.
    std::set<upstream_id> excluded;
};

/// An upstream chosen for one attempt.
struct chosen_upstream
{
    upstream entry;
    /// Of the query's model, as far as known.
    std::optional<weight_version> running_version;
    /// Until its engine turns to the request.
    duration expected_wait{};
    /// What decided, for the log.
    duration cost{};
    std::uint32_t in_flight = 0;
    double failure_share = 0;
};

/// Every upstream that takes work has too many prompts waiting.
struct all_overloaded
{
};

/// No upstream takes work.
struct none_available
{
};

using choice = std::variant<chosen_upstream, all_overloaded, none_available>;

/// Not thread-safe. Memory and time: linear in the upstreams.
class load_balancer
{
public:
    explicit load_balancer(const load_balancer_options& options = {});

    /// Puts the whole list in place of what was listed; those not in it are
    /// used for the grace and then no more.
    void replace(
        const std::vector<upstream>& listed, duration grace, mono_time now);
    /// Takes a new or changed entry. Those of earlier lives at its address are
    /// not used any more.
    void upsert(const upstream& listed);
    /// The list no longer names it. It is used for the grace, since the list
    /// forgets live upstreams while the store is away.
    void remove(const upstream_id& id, duration grace, mono_time now);

    /// Takes the word of an engine's agent.
    void update_load(
        const upstream_id& id, const engine_load& load, mono_time now);

    /// Returns the upstream with the least expected cost.
    [[nodiscard]] choice choose(
        const upstream_query& wanted, random_source& random, mono_time now);

    /// Time until some upstream of the service may be tried again.
    [[nodiscard]] duration retry_after(
        const service_id& service, mono_time now) const;
    /// Whether the upstream leaves, or has left, so that it takes no new work.
    [[nodiscard]] bool is_leaving(const upstream_id& id, mono_time now) const;

    /// @param prefill_time time that the engine takes to read the prompt
    void begin_attempt(const upstream_id& id, duration prefill_time);
    /// The first byte of an attempt's answer came, or the attempt ended
    /// without one: its prompt, given with begin, is not unread any more.
    void finish_prefill(const upstream_id& id, duration prefill_time);
    /// Returns what this process has at an upstream.
    [[nodiscard]] pending_prefill own_pending_prefill(
        const upstream_id& id) const;
    /// Returns the upstreams at which this process has unread prompts.
    [[nodiscard]] std::vector<upstream_id> upstreams_with_own_prefill() const;
    /// Takes the end of an attempt that began.
    void end_attempt(
        const upstream_id& id, const attempt_result& how, mono_time now);
    /// Notes experience while the attempt goes on.
    void record_result(
        const upstream_id& id, const attempt_result& how, mono_time now);

    /// Returns the version that an upstream runs, as far as known.
    [[nodiscard]] std::optional<weight_version> running_version(
        const upstream_id& id, const model_id& model) const;

    [[nodiscard]] std::size_t size() const noexcept { return known_.size(); }

private:
    struct known_upstream
    {
        upstream entry;
        /// Not used from then on; set when the list does not name it.
        std::optional<mono_time> gone_at;
        std::uint32_t in_flight = 0;
        engine_load load;
        /// When its agent last spoke.
        std::optional<mono_time> load_heard;
        /// Sent by this entry after that.
        std::uint32_t sent_since = 0;
        pending_prefill own_pending_prefill;
        /// At `failures_at`; decays from then on. Within [0, 1].
        double failure_share = 0;
        mono_time failures_at;
        std::uint32_t connect_failures = 0;
        /// Not used before; at most one trial when it ends.
        std::optional<mono_time> paused_until;
    };

    /// Its address was theirs: they ended, whatever the list still says.
    void drop_earlier_lives(const upstream& listed);
    [[nodiscard]] static bool has_left(
        const known_upstream& of, mono_time now) noexcept;
    [[nodiscard]] bool usable(const known_upstream& of, mono_time now) const;
    /// Whether it may be chosen, whatever its load.
    [[nodiscard]] bool fits(
        const known_upstream& of, const upstream_query& wanted,
        mono_time now) const;
    [[nodiscard]] double failures(
        const known_upstream& of, mono_time now) const;
    [[nodiscard]] std::uint32_t prompts_waiting(
        const known_upstream& of, mono_time now) const;
    [[nodiscard]] bool load_known(
        const known_upstream& of, mono_time now) const;
    [[nodiscard]] duration expected_wait(
        const known_upstream& of, mono_time now) const;
    [[nodiscard]] duration cost(
        const known_upstream& of, const upstream_query& wanted,
        mono_time now) const;
    void add_experience(known_upstream& of, double failure, mono_time now);
    void pause(known_upstream& of, duration time, mono_time now);

    load_balancer_options options_;
    std::map<upstream_id, known_upstream> known_;
};

} // namespace wagtailseam::serving

#endif
