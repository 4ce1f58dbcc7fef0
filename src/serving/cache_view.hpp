// What a process believes of the contents of the cache stores, from their
// change feeds, which are late and have gaps.
#ifndef WAGTAILSEAM_SERVING_CACHE_VIEW_HPP
#define WAGTAILSEAM_SERVING_CACHE_VIEW_HPP

#include "core/clock.hpp"
#include "serving/cache_plan.hpp"
#include "serving/call.hpp"
#include "serving/configuration.hpp"
#include "serving/fetch_throttle.hpp"
#include "serving/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailseam::serving
{

/// A part under its salt, as a store keeps it.
struct part_key
{
    cache_salt salt;
    part_id part;

    friend bool operator==(const part_key&, const part_key&) = default;
    friend auto operator<=>(const part_key&, const part_key&) = default;
};

/// A part was completed in a store, or freed.
struct cache_change
{
    part_key key;
    /// Tokens held from now on; zero when it was freed.
    token_count tokens;
    /// The store counts its changes, in each of its lives.
    std::uint64_t number = 0;
};

/// A store's answer to a poll for changes, as heard from it or passed on.
struct cache_changes
{
    store_epoch epoch;
    /// The poll asked for changes beyond this number.
    std::uint64_t after = 0;
    /// Where the next poll continues.
    std::uint64_t next_cursor = 0;
    /// Some changes are no longer told.
    bool gap = false;
    /// The upstreams' clock when it answered, in ms.
    std::optional<std::int64_t> clock_ms;
    std::vector<cache_change> changes;
};

/// All that a store holds whole, and what it holds in part.
struct cache_content
{
    store_epoch epoch;
    std::uint64_t next_cursor = 0;
    std::vector<cache_change> complete;
    /// Being written, or broken off.
    std::vector<part_key> incomplete;
};

/// What is to be read from a store itself after changes were taken.
enum class resync_action : std::uint8_t
{
    none,
    /// Changes are missing before those taken: poll from poll_cursor() on.
    poll_changes,
    /// The store tells the missing changes no longer: read the whole content.
    read_content,
};

struct cache_view_options
{
    /// A store that has not answered a poll for this time is not fetched
    /// from: it may have restarted empty, and then a part under the same name
    /// may be half written. Covers one poll and its way.
    duration trust = std::chrono::milliseconds(1600);
    /// A fetch that takes longer than this part of the latency target is
    /// thrown away: it holds the engine's memory all the while, and the prompt
    /// can still be read in time.
    double fetch_part_of_target = 0.55;
    /// A transfer between data centres takes as many times as long.
    double far_factor = 2.0;
    /// How many times as much a store in the engine's data centre counts as
    /// the home of a part.
    double near_home_factor = 4.0;
    /// Uses of a part by this process, in a window, from which on it is kept
    /// in the fastest stores: the slow ones' links would be full of it.
    std::uint32_t hot_uses = 6;
    duration hot_window = std::chrono::seconds(8);
    /// A part that this process sent to be kept is not sent again for this
    /// time, in which the store reports it or it was lost.
    duration save_pause = std::chrono::seconds(2);
};

/// Belief about all stores. Not thread-safe.
class cache_view
{
public:
    explicit cache_view(const cache_view_options& options = {});

    /// Takes the stores of a configuration; what is known of those that stay
    /// is kept.
    void set_stores(const std::vector<cache_store>& stores);

    /// Takes the answer to a poll, in any order and more than once. Another
    /// epoch or a gap drops all that was known.
    resync_action apply(
        const service_id& store, const cache_changes& answer, mono_time now);
    /// Takes a whole content.
    void apply(
        const service_id& store, const cache_content& answer, mono_time now);
    /// The connection to a store broke: it may have restarted. Nothing is
    /// fetched from it until it is heard again in the same epoch.
    void mark_unreachable(const service_id& store);

    /// Returns where the next poll of a store continues.
    [[nodiscard]] std::uint64_t poll_cursor(const service_id& store) const;

    /// Plans the fetches and saves of a prompt whose engine turns to it after
    /// the wait; a fetch does not begin before. Parts after one that no store
    /// holds are not fetched: an upstream cannot use them. The last part, that
    /// of the request itself, is neither fetched nor kept.
    [[nodiscard]] cache_plan plan(
        const prompt_metadata& wanted, const cache_salt& salt,
        const data_centre_id& near, duration latency_target,
        duration expected_wait, mono_time now);

    /// Notes the first byte of a planned prompt; see fetch_throttle.
    void record_first_byte(
        const std::optional<http::address>& fetched_from,
        duration beyond_expected, duration latency_target, mono_time now)
    {
        throttle_.record_first_byte(
            fetched_from, beyond_expected, latency_target, now);
    }

    [[nodiscard]] std::size_t part_count() const noexcept;

private:
    struct store_state
    {
        cache_store store;
        /// Nothing before the first answer, and while changes are missing
        /// from an epoch's beginning.
        std::optional<store_epoch> epoch;
        std::uint64_t next_cursor = 0;
        /// When its last answer left it, at the latest.
        mono_time heard;
        /// The greatest lead of its clock over this process's that was seen,
        /// in ms: that of the answer with the shortest way.
        std::optional<std::int64_t> clock_lead_ms;
        std::map<part_key, token_count> held;
        /// Sum over held.
        token_count used;

        void forget_content()
        {
            held.clear();
            used = token_count{};
        }
    };
    struct part_uses
    {
        mono_time window_began;
        std::uint32_t count = 0;
        bool hot = false;
    };

    [[nodiscard]] bool trusted(const store_state& of, mono_time now) const;
    [[nodiscard]] const store_state* holder(
        const part_key& part, token_count tokens, const data_centre_id& near,
        mono_time now) const;
    [[nodiscard]] const store_state* home(
        const part_key& part, token_count tokens, const data_centre_id& near,
        bool fastest_only, mono_time now) const;
    [[nodiscard]] double effective_rate(
        const store_state& of, const data_centre_id& near) const;
    [[nodiscard]] bool is_fastest(const store_state& of) const;
    [[nodiscard]] bool count_use(const part_id& part, mono_time now);
    [[nodiscard]] std::optional<http::address> keeper_for(
        const part_key& part, token_count tokens, const data_centre_id& near,
        const store_state* held_at, bool hot, mono_time now);
    void remember_save(const part_key& part, mono_time now);
    void note_heard(
        store_state& of, const cache_changes& answer, mono_time now);
    static void set_held(
        store_state& of, const part_key& part, token_count tokens);

    cache_view_options options_;
    fetch_throttle throttle_;
    std::vector<store_state> stores_;
    /// The upstreams' clock less this process's, in ms.
    std::optional<std::int64_t> clock_offset_ms_;
    /// Uses of the parts seen lately; old entries are dropped.
    std::map<part_id, part_uses> uses_;
    /// When this process last had a part saved; old entries are dropped.
    std::map<part_key, mono_time> saved_;
};

/// Returns the salt of a prompt: of the weights that make the cache, and of
/// the workspace when it shares with no other.
[[nodiscard]] cache_salt make_cache_salt(
    const model_id& model, weight_version version, const workspace& of);

/// Returns the model of a salt, nothing for a foreign one.
[[nodiscard]] std::optional<model_id> model_from_salt(const cache_salt& salt);

/// Returns the weights' version of a salt, nothing for a foreign one.
[[nodiscard]] std::optional<weight_version> version_from_salt(
    const cache_salt& salt);

} // namespace wagtailseam::serving

#endif
