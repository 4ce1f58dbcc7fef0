// Several gateways share the row of one service's regime. They read it and the
// list of upstreams late or not at all, restart, and write under the condition
// that the row has not changed.
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

    [[nodiscard]] const std::vector<listed_process>& listed() const
    {
        return listed_;
    }
    [[nodiscard]] bool runs(
        const listed_process& process, std::uint64_t step) const
    {
        const auto& end = ends_[process.number];
        return !end || step < *end;
    }

private:
    std::vector<listed_process> listed_;
    /// By the number of the process; unset while it is listed.
    std::vector<std::optional<std::uint64_t>> ends_;
};

struct regime_row
{
    version_regime regime = absent_regime{};
    std::uint64_t version = 0;
};

struct unrecorded_stream
{
    software_version version;
    std::uint64_t step = 0;
};

class simulated_gateway
{
public:
    void run_step(
        regime_row& row, const process_list& list, std::uint64_t step,
        random_source& random)
    {
        change_state(step, random);
        if (reads_list_ && random.below(list_interval_) == 0)
        {
            list_ = list.listed();
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
        finish_calls(row, step);
        if (reaches_row_)
        {
            begin_calls(row, step, random);
        }
    }

    /// Returns the stream that it begins unless that is recorded.
    std::optional<unrecorded_stream> begin_stream(
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
        return tracker_.needs_record(version)
                   ? std::nullopt
                   : std::optional(unrecorded_stream{version, step});
    }

private:
    /// A call whose response arrives later.
    struct pending_call
    {
        std::uint64_t ends = 0;
        /// The row as it was read; unset: a write.
        std::optional<regime_row> read;
        std::optional<version_regime> wanted;
        std::uint64_t expected = 0;
    };

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
        const regime_row& row, std::uint64_t step, random_source& random)
    {
        const auto now = time_of(step);
        const bool may_read = tracker_.due_write(now) || tracker_.needs_read();
        if (calls_.empty() && (may_read || random.below(50) == 0))
        {
            calls_.push_back({.ends = step + random.below(5), .read = row});
        }
    }

    void finish_calls(regime_row& row, std::uint64_t step)
    {
        while (!calls_.empty() && calls_.front().ends <= step)
        {
            const auto call = calls_.front();
            calls_.pop_front();
            if (call.read)
            {
                tracker_.set_regime(call.read->regime);
                if (const auto wanted = tracker_.due_write(time_of(step)))
                {
                    calls_.push_back(
                        {.ends = step + 1,
                         .wanted = wanted,
                         .expected = call.read->version});
                }
            }
            else if (call.expected == row.version)
            {
                row = {*call.wanted, row.version + 1};
                tracker_.set_regime(row.regime);
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
};

/// Guards against a resumption at another version than the one that began the
/// stream, because the regime says that only one may have begun it.
TEST(regime_fleet, single_regime_covers_every_stream_without_a_record)
{
    const std::vector<std::set<software_version>> lists{
        {software_version{"1"}},
        {software_version{"2"}},
        {software_version{"1"}, software_version{"2"}}};
    std::uint64_t changes_to_single = 0;
    std::uint64_t unrecorded = 0;
    check_property(
        400,
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            const auto change_interval = 20 + random.below(400);
            regime_row row;
            process_list list;
            list.change(lists[random.below(2)], 0, random);
            std::vector<simulated_gateway> gateways(gateway_count);
            std::deque<unrecorded_stream> streams;
            for (std::uint64_t step = 0; step < steps; ++step)
            {
                if (random.below(change_interval) == 0)
                {
                    list.change(lists[random.below(3)], step, random);
                }
                const auto row_version = row.version;
                for (auto& gateway : gateways)
                {
                    gateway.run_step(row, list, step, random);
                    if (const auto stream =
                            gateway.begin_stream(list, step, random))
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

} // namespace
} // namespace wagtailseam::stream_origin
