// Transactions for each filing with and without group commit, in virtual time.
#include "core/random_source.hpp"
#include "filing/claim_batcher.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

namespace wagtailseam::filing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Plays filings that arrive at random: a claim each, and a record of the
/// outcome 20 ms later. Returns transactions for each filing.
double transactions_per_filing(
    double filings_per_second, const claim_batcher_options& options)
{
    constexpr std::uint64_t filings = 4'000;
    claim_batcher batcher(options);
    random_source random(20261204);
    std::multimap<mono_time, bool> arrivals;
    mono_time now{};
    for (std::uint64_t i = 0; i < filings; ++i)
    {
        const double gap = -std::log(1 - random.unit()) / filings_per_second;
        now += duration(static_cast<duration::rep>(gap * 1e6));
        arrivals.emplace(now, true);
        arrivals.emplace(now + milliseconds(20), false);
    }
    std::uint64_t transactions = 0;
    std::uint64_t ticket = 0;
    mono_time timer = mono_time::max();
    const auto feed = [&](const batcher_event& event, mono_time at)
    {
        timer = mono_time::max();
        for (const auto& command : batcher.handle(event, at))
        {
            transactions += std::holds_alternative<send_transaction>(command);
            if (const auto* const set = std::get_if<set_batch_timer>(&command))
            {
                timer = set->at;
            }
        }
    };
    for (const auto& [at, urgent] : arrivals)
    {
        while (timer <= at)
        {
            feed(batch_timer_due{}, timer);
        }
        ++ticket;
        feed(
            write_wanted{
                write_ticket{ticket},
                {{"filing", std::to_string(ticket)}, {}, "v"},
                urgent},
            at);
    }
    while (timer != mono_time::max())
    {
        feed(batch_timer_due{}, timer);
    }
    return static_cast<double>(transactions) / static_cast<double>(filings);
}

TEST(claim_batcher_measure, batching_at_rising_rates_takes_fewer_transactions)
{
    const claim_batcher_options alone{
        .urgent_window = duration{0}, .lazy_window = duration{0}};
    double before = 2;
    for (const double rate : {1.0, 20.0, 200.0})
    {
        const double off = transactions_per_filing(rate, alone);
        const double on = transactions_per_filing(rate, {});
        std::cout << "filings_per_second=" << rate
                  << " transactions_per_filing_off=" << off << " on=" << on
                  << "\n";
        EXPECT_DOUBLE_EQ(off, 2.0);
        EXPECT_LT(on, before);
        before = on;
    }
}

} // namespace
} // namespace wagtailseam::filing
