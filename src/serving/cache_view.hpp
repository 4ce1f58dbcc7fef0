// Tracks the contents of the cache stores as reported by their change feeds,
// which are delayed and incomplete, and plans fetches and saves.
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

/// Key under which a store keeps a part.
struct part_key
{
    cache_salt salt;
    part_id part;

    friend bool operator==(const part_key&, const part_key&) = default;
    friend auto operator<=>(const part_key&, const part_key&) = default;
};

/// A store completed or freed a part.
struct cache_change
{
    part_key key;
    /// Tokens that the store holds after the change; zero if it freed the part.
    token_count tokens;
    /// Sequence number of the change within the store's epoch.
    std::uint64_t number = 0;
};

/// A part that a store holds completely.
struct held_part
{
    part_key key;
    token_count tokens;
    /// The model that computed the part, if the store reports one.
    std::optional<model_id> model;
};

/// A store's answer to a poll for changes, received directly or through an
/// agent.
struct cache_changes
{
    store_epoch epoch;
    /// The poll requested changes with a number greater than this.
    std::uint64_t after = 0;
    /// Value of `after` for the next poll.
    std::uint64_t next_cursor = 0;
    /// Whether the store no longer has some of the requested changes.
    bool gap = false;
    /// Time of the answer in ms of the upstreams' clock.
    std::optional<std::int64_t> clock_ms;
    std::vector<cache_change> changes;
};

/// Complete listing of a store's content.
struct cache_content
{
    store_epoch epoch;
    std::uint64_t next_cursor = 0;
    std::vector<held_part> complete;
    /// Parts whose write is in progress or was aborted.
    std::vector<part_key> incomplete;
};

/// What the caller must read from the store itself after apply().
enum class resync_action : std::uint8_t
{
    none,
    /// Changes before the applied ones are missing: poll from poll_cursor().
    poll_changes,
    /// The store no longer has the missing changes: read its whole content.
    read_content,
};

struct cache_view_options
{
    /// Nothing is fetched from a store whose last poll answer is older: it may
    /// have restarted empty, and then a part with the same key may be only
    /// half written. Covers one poll and its network delay.
    duration max_answer_age = std::chrono::milliseconds(1600);
    /// Share of the latency target after which the upstream discards a fetch:
    /// a fetch occupies engine memory, and the upstream can still run the
    /// prefill in time.
    double max_fetch_share_of_target = 0.55;
    /// Factor by which a transfer between data centres is slower.
    double remote_transfer_factor = 2.0;
    /// Factor on the rendezvous weight of a store in the engine's data centre.
    double local_store_weight_factor = 4.0;
    /// Uses of a part within hot_window, counted in this process, that make it
    /// hot. Hot parts are kept in the fastest stores, because they would
    /// saturate the links of the slow ones.
    std::uint32_t hot_use_threshold = 6;
    duration hot_window = std::chrono::seconds(8);
    /// This process does not save a part again within this time, by which the
    /// store has reported the part or the save has failed.
    duration save_retry_delay = std::chrono::seconds(2);
};

/// View of all cache stores. Not thread-safe.
class cache_view
{
public:
    explicit cache_view(const cache_view_options& options = {});

    /// Replaces the set of stores. The known content of stores that remain is
    /// retained.
    void set_stores(const std::vector<cache_store>& stores);

    /// Applies the answer to a poll. Answers may arrive reordered and
    /// duplicated. A new epoch or a gap discards the known content.
    resync_action apply(
        const service_id& store, const cache_changes& answer, mono_time now);
    /// Replaces the known content of a store.
    void apply(
        const service_id& store, const cache_content& answer, mono_time now);
    /// Suspends fetches from a store until it answers again in the same epoch.
    /// Called after its connection broke, because it may have restarted.
    void mark_unreachable(const service_id& store);

    /// Returns the change number from which the next poll of a store continues.
    [[nodiscard]] std::uint64_t poll_cursor(const service_id& store) const;

    /// Plans the fetches and saves of a prompt.
    ///
    /// No part after the first one missing from all stores is fetched, because
    /// an upstream can use only a contiguous prefix. The last part belongs to
    /// the request alone and is neither fetched nor saved.
    /// @param local_data_centre data centre of the chosen upstream
    /// @param expected_wait time until the engine starts on the prompt; fetches
    /// do not begin earlier
    /// @param allowed data centres whose stores may hold parts of the prompt
    [[nodiscard]] cache_plan plan(
        const prompt_metadata& prompt, const cache_salt& salt,
        const data_centre_id& local_data_centre, duration latency_target,
        duration expected_wait, mono_time now,
        const allowed_data_centres& allowed);

    /// Records the delay of a prompt's first byte; see
    /// fetch_throttle::record_first_byte.
    void record_first_byte(
        const std::optional<http::address>& fetched_from,
        duration beyond_expected, duration latency_target, mono_time now)
    {
        throttle_.record_first_byte(
            fetched_from, beyond_expected, latency_target, now);
    }

    /// Returns the number of known parts in all stores.
    [[nodiscard]] std::size_t part_count() const noexcept;

private:
    struct store_state
    {
        cache_store store;
        /// Unset before the first answer, and while changes since the
        /// beginning of the epoch are missing.
        std::optional<store_epoch> epoch;
        std::uint64_t next_cursor = 0;
        /// Latest time at which the store can have sent its last answer.
        mono_time last_answer;
        /// Greatest observed offset of its clock from this process's, in ms:
        /// that of the answer with the least delay.
        std::optional<std::int64_t> max_clock_offset_ms;
        std::map<part_key, token_count> held;
        /// @invariant sum over held
        token_count used;

        void clear_content()
        {
            held.clear();
            used = token_count{};
        }
    };
    struct part_uses
    {
        mono_time window_start;
        std::uint32_t count = 0;
        bool hot = false;
    };

    [[nodiscard]] bool is_current(
        const store_state& state, mono_time now) const;
    /// Returns the fastest current store that holds the part, null if none.
    [[nodiscard]] const store_state* find_holder(
        const part_key& part, token_count tokens,
        const data_centre_id& local_data_centre,
        const allowed_data_centres& allowed, mono_time now) const;
    /// Returns the store to which rendezvous hashing assigns the part, null if
    /// none has room.
    [[nodiscard]] const store_state* home_store(
        const part_key& part, token_count tokens,
        const data_centre_id& local_data_centre,
        const allowed_data_centres& allowed, bool fastest_only,
        mono_time now) const;
    [[nodiscard]] double effective_rate(
        const store_state& state,
        const data_centre_id& local_data_centre) const;
    /// Returns whether no store of the allowed data centres has a faster link.
    [[nodiscard]] bool is_fastest(
        const store_state& state, const allowed_data_centres& allowed) const;
    /// @return whether the part is hot
    [[nodiscard]] bool count_use(const part_id& part, mono_time now);
    [[nodiscard]] std::optional<http::address> choose_save_target(
        const part_key& part, token_count tokens,
        const data_centre_id& local_data_centre,
        const allowed_data_centres& allowed, const store_state* holder,
        bool hot, mono_time now);
    void record_save(const part_key& part, mono_time now);
    void record_answer(
        store_state& state, const cache_changes& answer, mono_time now);
    static void set_held_tokens(
        store_state& state, const part_key& part, token_count tokens);

    cache_view_options options_;
    fetch_throttle throttle_;
    std::vector<store_state> stores_;
    /// The upstreams' clock minus this process's, in ms.
    std::optional<std::int64_t> clock_offset_ms_;
    /// Recently used parts; old entries are evicted.
    std::map<part_id, part_uses> uses_;
    /// Time of this process's last save of a part; old entries are evicted.
    std::map<part_key, mono_time> saves_;
};

} // namespace wagtailseam::serving

#endif
