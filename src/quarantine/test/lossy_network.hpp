// Crash reports on their way between the gateways of a simulated fleet.
#ifndef WAGTAILSEAM_QUARANTINE_TEST_LOSSY_NETWORK_HPP
#define WAGTAILSEAM_QUARANTINE_TEST_LOSSY_NETWORK_HPP

#include "core/random_source.hpp"
#include "quarantine/crash_report.hpp"

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace wagtailseam::quarantine
{

/// Reports are delivered in the next step, or lost.
class lossy_network
{
public:
    lossy_network(std::size_t gateways, random_source& random)
        : gateways_(gateways), random_(random)
    {
    }

    void send_to_all(
        std::size_t sender, const std::vector<crash_report>& reports)
    {
        constexpr double delivered_share = 0.8;
        for (std::size_t receiver = 0; receiver < gateways_; ++receiver)
        {
            for (const auto& report : reports)
            {
                if (receiver != sender && random_.unit() < delivered_share)
                {
                    messages_.emplace_back(receiver, report);
                }
            }
        }
    }

    void send_to_one(const crash_report& report)
    {
        messages_.emplace_back(random_.below(gateways_), report);
    }

    /// Returns the reports with their receivers and removes them.
    [[nodiscard]] std::deque<std::pair<std::size_t, crash_report>> take()
    {
        return std::exchange(messages_, {});
    }

private:
    std::size_t gateways_;
    random_source& random_;
    std::deque<std::pair<std::size_t, crash_report>> messages_;
};

} // namespace wagtailseam::quarantine

#endif
