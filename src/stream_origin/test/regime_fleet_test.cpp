// Several gateways share the row of one service's regime. They read it and the
// list of upstreams late or not at all, restart, and write under the condition
// that the row has not changed. The store may return from an older copy.
#include "core/random_source.hpp"
#include "core/test/property.hpp"
#include "stream_origin/version_regime.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace wagtailseam::stream_origin
{
namespace
{

using serving::software_version;

constexpr std::chrono::milliseconds step_time{200};
constexpr std::uint64_t steps = 900;
/// Callers resume a stream within 15 s.
constexpr std::uint64_t resumption_steps = 75;
/// An upstream that left the list runs on for at most 10 s.
constexpr std::uint64_t max_leaving_steps = 50;
constexpr std::size_t gateway_count = 3;

/// A copy from which the store returns is at most 6 s old.
constexpr std::uint64_t max_copy_steps = 30;
/// Upstreams are listed again within 2 s of the store's return.
constexpr std::uint64_t max_return_steps = 10;

store_time store_time_of(std::uint64_t step)
{
    return step_time * static_cast<std::int64_t>(step + 1);
}

mono_time time_of(std::uint64_t step)
{
    return mono_time{} + step_time * static_cast<std::int64_t>(step + 1);
}

struct listed_process
{
    software_version version;
    std::uint64_t number = 0;
};

/// The list of upstreams, each of which is a new process when it returns.
class process_list
{
public:
    void change(
        const std::set<software_version>& versions, std::uint64_t step,
        random_source& random)
    {
        for (const auto& process : listed_)
        {
            if (!versions.contains(process.version))
            {
                ends_[process.number] = step + random.below(max_leaving_steps);
            }
        }
        std::erase_if(
            listed_, [&](const auto& process)
            { return !versions.contains(process.version); });
        for (const auto& version : versions)
        {
            const bool is_listed = std::any_of(
                listed_.begin(), listed_.end(),
                [&](const auto& process)
                { return process.version == version; });
            if (!is_listed)
            {
                listed_.push_back({version, ends_.size()});
                ends_.emplace_back();
            }
        }
    }

    /// Returns the processes that the store lists.
    [[nodiscard]] const std::vector<listed_process>& listed(
        std::uint64_t step) const
    {
        return step < listed_again_at_ ? copy_ : listed_;
    }
    /// Lists the processes of a copy of the store until all that run have
    /// written their entries again.
    void return_from(
        std::vector<listed_process> copy, std::uint64_t listed_again_at)
    {
        copy_ = std::move(copy);
        listed_again_at_ = listed_again_at;
    }
    [[nodiscard]] bool runs(
        const listed_process& process, std::uint64_t step) const
    {
        const auto& end = ends_[process.number];
        return !end || step < *end;
    }

private:
    std::vector<listed_process> listed_;
    std::vector<listed_process> copy_;
    std::uint64_t listed_again_at_ = 0;
    /// By the number of the process; unset while it is listed.
    std::vector<std::optional<std::uint64_t>> ends_;
};

struct regime_row
{
    version_regime regime = absent_regime{};
    std::uint64_t version = 0;
    /// Era for which it was written.
    store_era era;
};

/// The row, in a store that returns from copies.
struct regime_store
{
    regime_row row;
    store_era era{1};

    [[nodiscard]] version_regime read(std::uint64_t step) const
    {
        return std::holds_alternative<absent_regime>(row.regime)
                   ? row.regime
                   : regime_in_era(
                         {.regime = row.regime, .era = row.era}, era,
                         time_of(step));
    }
};

struct begun_stream
{
    software_version version;
    std::uint64_t step = 0;
    bool is_recorded = false;
};

class simulated_gateway
{
public:
    void run_step(
        regime_store& store, const process_list& list, std::uint64_t step,
        random_source& random)
    {
        change_state(step, random);
        if (reaches_row_ && era_ != store.era && random.below(3) == 0)
        {
            learn_era(store.era);
        }
        if (reads_list_ && random.below(list_interval_) == 0)
        {
            list_ = list.listed(step);
            list_read_at_ = time_of(step);
        }
        if (list_read_at_)
        {
            std::set<software_version> versions;
            for (const auto& process : list_)
            {
                versions.insert(process.version);
            }
            tracker_.set_listed(std::move(versions), *list_read_at_);
        }
        finish_calls(store, step);
        if (reaches_row_)
        {
            begin_calls(store, step, random);
        }
    }

    /// Returns the stream that it begins, if any.
    std::optional<begun_stream> begin_stream(
        const process_list& list, std::uint64_t step, random_source& random)
    {
        const auto only = tracker_.begins_at();
        const bool serves = std::any_of(
            list_.begin(), list_.end(),
            [&](const auto& process) { return process.version == only; });
        std::vector<software_version> possible;
        for (const auto& process : list_)
        {
            if (list.runs(process, step) &&
                (!serves || process.version == only))
            {
                possible.push_back(process.version);
            }
        }
        if (possible.empty())
        {
            return std::nullopt;
        }
        const auto& version = possible[random.below(possible.size())];
        return begun_stream{version, step, tracker_.needs_record(version)};
    }

private:
    /// A call whose response arrives later.
    struct pending_call
    {
        std::uint64_t ends = 0;
        /// The regime as it was read; unset: a write.
        std::optional<version_regime> read;
        std::optional<version_regime> wanted;
        /// Version of the row that was read, or that a write expects.
        std::uint64_t version = 0;
        /// Era in which a read was executed, or a write was sent.
        store_era era;
    };

    void learn_era(store_era era)
    {
        era_ = era;
        tracker_.set_regime(unknown_regime{});
    }

    void change_state(std::uint64_t step, random_source& random)
    {
        if (random.below(400) == 0)
        {
            *this = simulated_gateway();
        }
        if (random.below(60) == 0)
        {
            reads_list_ = random.below(3) != 0;
            reaches_row_ = random.below(3) != 0;
            list_interval_ = 1 + random.below(30);
        }
        (void)step;
    }

    void begin_calls(
        const regime_store& store, std::uint64_t step, random_source& random)
    {
        const auto now = time_of(step);
        const bool may_read = tracker_.due_write(now) || tracker_.needs_read();
        if (calls_.empty() && (may_read || random.below(50) == 0))
        {
            calls_.push_back(
                {.ends = step + random.below(5),
                 .read = store.read(step),
                 .version = store.row.version,
                 .era = store.era});
        }
    }

    void finish_calls(regime_store& store, std::uint64_t step)
    {
        auto& row = store.row;
        while (!calls_.empty() && calls_.front().ends <= step)
        {
            const auto call = calls_.front();
            calls_.pop_front();
            if (call.read && call.era >= era_)
            {
                if (call.era != era_)
                {
                    learn_era(call.era);
                }
                tracker_.set_regime(*call.read);
                if (const auto wanted =
                        tracker_.due_write(time_of(step), store_time_of(step)))
                {
                    calls_.push_back(
                        {.ends = step + 1,
                         .wanted = wanted,
                         .version = call.version,
                         .era = era_});
                }
            }
            else if (!call.read && call.version == row.version)
            {
                row = {*call.wanted, row.version + 1, call.era};
                if (call.era == store.era)
                {
                    tracker_.set_regime(row.regime);
                }
                else
                {
                    learn_era(store.era);
                }
            }
        }
    }

    regime_tracker tracker_;
    std::vector<listed_process> list_;
    std::optional<mono_time> list_read_at_;
    bool reads_list_ = true;
    bool reaches_row_ = true;
    std::uint64_t list_interval_ = 1;
    std::deque<pending_call> calls_;
    /// The newest era that it knows.
    store_era era_;
};

const std::vector<std::set<software_version>> lists{
    {software_version{"1"}},
    {software_version{"2"}},
    {software_version{"1"}, software_version{"2"}}};

/// Guards against a resumption at another version than the one that began the
/// stream, because the regime says that only one may have begun it.
TEST(regime_fleet, single_regime_covers_every_stream_without_a_record)
{
    std::uint64_t changes_to_single = 0;
    std::uint64_t unrecorded = 0;
    check_property(
        400,
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            const auto change_interval = 20 + random.below(400);
            regime_store store;
            const auto& row = store.row;
            process_list list;
            list.change(lists[random.below(2)], 0, random);
            std::vector<simulated_gateway> gateways(gateway_count);
            std::deque<begun_stream> streams;
            for (std::uint64_t step = 0; step < steps; ++step)
            {
                if (random.below(change_interval) == 0)
                {
                    list.change(lists[random.below(3)], step, random);
                }
                const auto row_version = row.version;
                for (auto& gateway : gateways)
                {
                    gateway.run_step(store, list, step, random);
                    const auto stream =
                        gateway.begin_stream(list, step, random);
                    if (stream && !stream->is_recorded)
                    {
                        streams.push_back(*stream);
                        ++unrecorded;
                    }
                }
                while (!streams.empty() &&
                       streams.front().step + resumption_steps < step)
                {
                    streams.pop_front();
                }
                const auto* const single =
                    std::get_if<single_version>(&row.regime);
                if (single == nullptr)
                {
                    continue;
                }
                changes_to_single += row.version != row_version ? 1 : 0;
                for (const auto& stream : streams)
                {
                    RC_ASSERT(stream.version == single->version);
                }
            }
        });
    EXPECT_GT(changes_to_single, 400U);
    EXPECT_GT(unrecorded, 10'000U);
}

/// Guards against a resumption at another version than the one that began the
/// stream, because the row is of the time before a release: the store returned
/// from a copy, and all gateways that knew the stream have ended.
TEST(regime_fleet, row_of_an_older_copy_covers_no_stream)
{
    std::uint64_t certain_after_return = 0;
    std::uint64_t lost_records = 0;
    check_property(
        400,
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            const auto change_interval = 20 + random.below(400);
            regime_store store;
            process_list list;
            list.change(lists[random.below(2)], 0, random);
            std::vector<simulated_gateway> gateways(gateway_count);
            std::deque<begun_stream> streams;
            // One for each of the last steps.
            std::deque<std::pair<regime_row, std::vector<listed_process>>>
                copies;
            for (std::uint64_t step = 0; step < steps; ++step)
            {
                if (random.below(change_interval) == 0)
                {
                    list.change(lists[random.below(3)], step, random);
                }
                // The first copies lack the row.
                const auto return_interval = step < max_copy_steps ? 20U : 200U;
                if (!copies.empty() && random.below(return_interval) == 0)
                {
                    const auto age = 1 + random.below(copies.size());
                    const auto& [row, listed] = copies[copies.size() - age];
                    store.row = row;
                    store.era = store_era{store.era.value() + 1};
                    list.return_from(
                        listed, step + random.below(max_return_steps));
                    // Gateways that live on write their records again.
                    const bool all_end = random.below(2) == 0;
                    for (auto& stream : streams)
                    {
                        const bool is_lost = all_end && stream.is_recorded &&
                                             stream.step + age >= step;
                        stream.is_recorded = stream.is_recorded && !is_lost;
                        lost_records += is_lost ? 1U : 0U;
                    }
                    if (all_end)
                    {
                        gateways.assign(gateway_count, simulated_gateway());
                    }
                }
                for (auto& gateway : gateways)
                {
                    gateway.run_step(store, list, step, random);
                    if (const auto stream =
                            gateway.begin_stream(list, step, random))
                    {
                        streams.push_back(*stream);
                    }
                }
                copies.emplace_back(store.row, list.listed(step));
                if (copies.size() > max_copy_steps)
                {
                    copies.pop_front();
                }
                while (!streams.empty() &&
                       streams.front().step + resumption_steps < step)
                {
                    streams.pop_front();
                }
                const auto certain =
                    certain_version(store.read(step), store_time_of(step));
                if (!certain)
                {
                    continue;
                }
                certain_after_return += store.era > store_era{1} ? 1U : 0U;
                for (const auto& stream : streams)
                {
                    RC_ASSERT(stream.is_recorded || stream.version == *certain);
                }
            }
        });
    EXPECT_GT(certain_after_return, 10'000U);
    EXPECT_GT(lost_records, 1'000U);
}

} // namespace
} // namespace wagtailseam::stream_origin
