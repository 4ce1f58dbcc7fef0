// Gateways that exchange records over a lossy network, and a request that
// crashes each upstream at once.
#include "core/random_source.hpp"
#include "core/test/property.hpp"
#include "lossy_network.hpp"
#include "quarantine/request_quarantine.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Several gateways that exchange records over a lossy network, one request
/// that crashes each upstream, and one that completes unless an upstream
/// crashes under it.
class fleet_simulation
{
public:
    fleet_simulation(std::uint64_t seed, std::size_t gateways)
        : random_(seed), gateways_(gateways), restarted_at_(gateways)
    {
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            now_ += milliseconds(100);
            deliver();
            if (random_.unit() < 0.3)
            {
                send_crashing_request();
            }
            if (random_.unit() < 0.03)
            {
                restart(random_.below(gateways_.size()));
            }
            if (step % 5 == 0)
            {
                repeat_records();
            }
        }
    }

    /// Returns the arrivals later than contact_time after the third crash, from
    /// gateways that had not been restarted within that time.
    [[nodiscard]] std::size_t late_arrivals() const
    {
        if (arrivals_.size() < 3)
        {
            return 0;
        }
        const auto third = arrivals_[2].time;
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin() + 3, arrivals_.end(),
            [&](const arrival& later)
            { return later.in_touch && later.time > third + contact_time; }));
    }
    [[nodiscard]] std::size_t arrivals() const { return arrivals_.size(); }

private:
    static constexpr seconds contact_time{3};

    /// The request reached an upstream, which crashed.
    struct arrival
    {
        wall_time time;
        bool in_touch = false;
    };
    void send_crashing_request()
    {
        const auto index = random_.below(gateways_.size());
        auto& gateway = gateways_[index];
        const auto status = gateway.check({crashing_, {}}, now_);
        if (std::holds_alternative<quarantined>(status))
        {
            return;
        }
        const bool is_trial = std::holds_alternative<suspect>(status);
        arrivals_.push_back(
            {.time = now_,
             .in_touch = now_ - restarted_at_[index] > contact_time});
        gateway.record_crash(
            {crashing_}, crash_id(std::to_string(arrivals_.size())), now_,
            std::nullopt, is_trial ? run_purpose::trial : run_purpose::regular);
        network_.send_to_all(index, gateway.take_unsent());
        for (const auto& [request, record] : gateway.take_unwritten())
        {
            rows_.insert_or_assign(std::pair(request, index), record);
        }
    }

    void repeat_records()
    {
        for (std::size_t sender = 0; sender < gateways_.size(); ++sender)
        {
            network_.send_to_all(sender, gateways_[sender].take_unsent());
            for (const auto& report : gateways_[sender].next_repeated(4))
            {
                network_.send_to_one(report);
            }
        }
    }

    void deliver()
    {
        for (const auto& [receiver, report] : network_.take())
        {
            gateways_[receiver].merge(report, now_);
        }
    }

    void restart(std::size_t gateway)
    {
        gateways_[gateway] = request_quarantine{};
        restarted_at_[gateway] = now_;
        for (const auto& [key, record] : rows_)
        {
            gateways_[gateway].merge({key.first, record}, now_);
        }
    }

    random_source random_;
    std::vector<request_quarantine> gateways_;
    lossy_network network_{gateways_.size(), random_};
    /// By writing gateway.
    std::map<std::pair<content_fingerprint, std::size_t>, crash_record> rows_;
    std::vector<wall_time> restarted_at_;
    std::vector<arrival> arrivals_;
    const content_fingerprint crashing_{sha256("crashing")};
    wall_time now_ = wall_time(hours(1000));
};

TEST(
    request_quarantine_fleet,
    crashing_request_is_refused_everywhere_within_three_seconds)
{
    check_property(
        5000,
        []
        {
            const auto seed = *rc::gen::inRange<std::uint64_t>(
                0, std::numeric_limits<std::uint64_t>::max());
            const auto gateways = *rc::gen::inRange<std::size_t>(1, 12);
            fleet_simulation fleet(seed, gateways);
            fleet.run(300);
            RC_ASSERT(fleet.arrivals() >= 3U);
            RC_ASSERT(fleet.late_arrivals() <= 3U);
        });
}

} // namespace
} // namespace wagtailseam::quarantine
