// A fleet of gateways in virtual time and one request that crashes upstreams,
// whose callers respect Retry-After: the pattern of load is many returns to all
// gateways at the moment at which a pause ends.
#include "core/random_source.hpp"
#include "core/test/property.hpp"
#include "lossy_network.hpp"
#include "quarantine/request_quarantine.hpp"
#include "quarantine/trial_claim.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds contact_time{3};
constexpr std::size_t known_runs = 3;
constexpr std::size_t allowed_arrivals = 3;
constexpr milliseconds step_time{50};

struct trial_fleet_options
{
    std::uint64_t seed = 0;
    std::size_t gateways = 1;
    std::size_t upstreams = 1;
    std::size_t callers = 1;
    /// Time from the first arrival at an upstream to its crash.
    duration run_time = milliseconds(100);
    /// Time from a crash of an upstream to its restart.
    duration restart_time = seconds(1);
    /// Callers return within this time after a run that ended.
    duration max_return_time{};
    duration max_clock_offset{};
    double restart_rate = 0;
    /// Share of the time without the store, in which no trial can be claimed.
    double outage_share = 0;
};

class trial_fleet
{
public:
    explicit trial_fleet(const trial_fleet_options& options)
        : options_(options), random_(options.seed), gateways_(options.gateways),
          upstreams_(options.upstreams), caller_returns_(options.callers, now_)
    {
        for (auto& each : gateways_)
        {
            each.clock_offset = random_duration(2 * options.max_clock_offset) -
                                options.max_clock_offset;
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            now_ += step_time;
            deliver();
            crash_upstreams();
            if (random_.unit() < options_.restart_rate)
            {
                restart(gateways_[random_.below(gateways_.size())]);
            }
            for (auto& returns_at : caller_returns_)
            {
                if (returns_at <= now_)
                {
                    returns_at = now_ + send();
                }
            }
            if (step % 10 == 0)
            {
                repeat_records();
            }
        }
    }

    /// Returns the arrivals later than the contact time after the third run
    /// that ended, from gateways that ran for that time.
    [[nodiscard]] std::size_t late_arrivals() const
    {
        if (ended_runs_.size() < known_runs)
        {
            return 0;
        }
        const auto known_at = ended_runs_[known_runs - 1] + contact_time;
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(),
            [&](const arrival& later)
            { return later.in_touch && later.time > known_at; }));
    }
    [[nodiscard]] std::size_t ended_runs() const { return ended_runs_.size(); }

private:
    struct gateway
    {
        request_quarantine quarantine;
        duration clock_offset{};
        wall_time started;
    };
    struct running_request
    {
        std::size_t gateway = 0;
        request_id id;
        std::vector<content_fingerprint> trial;
    };
    struct upstream
    {
        std::vector<running_request> runs;
        wall_time crashes_at;
        wall_time up_at;
    };
    struct arrival
    {
        wall_time time;
        bool in_touch = false;
    };

    [[nodiscard]] duration random_duration(duration limit)
    {
        return duration(static_cast<duration::rep>(
            static_cast<double>(limit.count()) * random_.unit()));
    }

    /// Sends the request through some gateway. @return the time after which its
    /// caller returns
    duration send()
    {
        const auto index = random_.below(gateways_.size());
        auto& from = gateways_[index];
        const auto now = now_ + from.clock_offset;
        const request_content content{request_, {}};
        running_request request{
            .gateway = index,
            .id = request_id(std::to_string(++requests_)),
            .trial = {}};
        auto status = from.quarantine.check(content, now);
        if (std::holds_alternative<suspect>(status))
        {
            if (!claim(now))
            {
                from.quarantine.defer_trial(request_, now);
            }
            status = from.quarantine.check(content, now);
        }
        if (const auto* const refusal = std::get_if<quarantined>(&status))
        {
            return std::clamp<duration>(
                refusal->until - now, step_time, seconds(5));
        }
        if (std::holds_alternative<suspect>(status))
        {
            request.trial = from.quarantine.begin_trial(content, now);
        }
        const auto target = std::find_if(
            upstreams_.begin(), upstreams_.end(),
            [&](const upstream& candidate) { return candidate.up_at <= now_; });
        if (target == upstreams_.end())
        {
            from.quarantine.end_trial(request.trial);
            return step_time;
        }
        if (target->runs.empty())
        {
            target->crashes_at = now_ + options_.run_time;
        }
        arrivals_.push_back(
            {.time = now_, .in_touch = now_ - from.started > contact_time});
        target->runs.push_back(std::move(request));
        return options_.run_time + step_time +
               random_duration(options_.max_return_time);
    }

    [[nodiscard]] bool claim(wall_time now)
    {
        const bool held = claim_ && is_held(*claim_, now);
        if (held || random_.unit() < options_.outage_share)
        {
            return false;
        }
        claim_ = {vm_id("g"), now + trial_claim_time};
        return true;
    }

    void crash_upstreams()
    {
        for (auto& each : upstreams_)
        {
            if (each.runs.empty() || each.crashes_at > now_)
            {
                continue;
            }
            each.up_at = now_ + options_.restart_time;
            const crash_id crash("c" + std::to_string(++crashes_));
            for (const auto& run : std::exchange(each.runs, {}))
            {
                ended_runs_.push_back(now_);
                auto& at = gateways_[run.gateway];
                at.quarantine.end_trial(run.trial);
                at.quarantine.record_crash(
                    {request_}, crash, now_ + at.clock_offset, run.id,
                    run.trial.empty() ? run_purpose::regular
                                      : run_purpose::trial);
                if (!run.trial.empty())
                {
                    claim_.reset();
                }
                network_.send_to_all(run.gateway, at.quarantine.take_unsent());
                write_rows(run.gateway);
            }
        }
    }

    void write_rows(std::size_t writer)
    {
        for (const auto& [content, record] :
             gateways_[writer].quarantine.take_unwritten())
        {
            rows_.insert_or_assign(writer, record);
        }
    }

    void repeat_records()
    {
        constexpr std::size_t records = 4;
        for (std::size_t sender = 0; sender < gateways_.size(); ++sender)
        {
            auto& quarantine = gateways_[sender].quarantine;
            network_.send_to_all(sender, quarantine.take_unsent());
            for (const auto& report : quarantine.next_repeated(records))
            {
                network_.send_to_one(report);
            }
            write_rows(sender);
            quarantine.remove_expired(now_ + gateways_[sender].clock_offset);
        }
    }

    void deliver()
    {
        for (const auto& [receiver, report] : network_.take())
        {
            auto& at = gateways_[receiver];
            at.quarantine.merge(report, now_ + at.clock_offset);
            write_rows(receiver);
        }
    }

    void restart(gateway& restarted)
    {
        restarted.quarantine = request_quarantine();
        restarted.started = now_;
        for (const auto& [writer, record] : rows_)
        {
            restarted.quarantine.merge(
                {request_, record}, now_ + restarted.clock_offset);
        }
    }

    trial_fleet_options options_;
    random_source random_;
    std::vector<gateway> gateways_;
    std::vector<upstream> upstreams_;
    wall_time now_ = wall_time(hours(1000));
    std::vector<wall_time> caller_returns_;
    lossy_network network_{options_.gateways, random_};
    /// By writing gateway.
    std::map<std::size_t, crash_record> rows_;
    std::optional<trial_claim> claim_;
    std::vector<arrival> arrivals_;
    std::vector<wall_time> ended_runs_;
    const content_fingerprint request_{sha256("crashing")};
    std::uint64_t requests_ = 0;
    std::uint64_t crashes_ = 0;
};

trial_fleet_options random_fleet()
{
    trial_fleet_options options{
        .seed = *rc::gen::inRange<std::uint64_t>(
            0, std::numeric_limits<std::uint64_t>::max()),
        .gateways = *rc::gen::inRange<std::size_t>(1, 12),
        .upstreams = *rc::gen::inRange<std::size_t>(1, 8),
        .callers = *rc::gen::inRange<std::size_t>(1, 30),
        .run_time = step_time * *rc::gen::inRange(1, 20),
        .restart_time = seconds(*rc::gen::inRange(1, 7)),
        .max_return_time = seconds(*rc::gen::inRange(0, 10))};
    return options;
}

constexpr int steps = 1600;

/// Guards against one trial by each gateway and against counting crashed
/// upstreams instead of ended runs.
TEST(trial_fleet, callers_that_return_together_reach_few_upstreams)
{
    check_property(
        1000,
        []
        {
            trial_fleet fleet(random_fleet());
            fleet.run(steps);
            RC_ASSERT(fleet.ended_runs() >= 1U);
            RC_ASSERT(fleet.late_arrivals() <= allowed_arrivals);
        });
}

TEST(trial_fleet, different_clocks_restarts_and_outages_keep_the_bound)
{
    check_property(
        1000,
        []
        {
            auto options = random_fleet();
            options.gateways = std::max<std::size_t>(options.gateways, 2);
            options.max_clock_offset = seconds(2);
            options.restart_rate = 0.01;
            options.outage_share = 0.5;
            trial_fleet fleet(options);
            fleet.run(steps);
            RC_ASSERT(fleet.late_arrivals() <= allowed_arrivals);
        });
}

} // namespace
} // namespace wagtailseam::quarantine
