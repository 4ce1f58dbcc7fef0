// Generated histories of calls and faults: no promise about filings breaks.
#include "filing/test/history_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <map>
#include <string>

namespace wagtailseam::filing::test
{
namespace
{

/// Calls are half of the actions; faults share the rest.
rc::Gen<action_kind> any_kind()
{
    return rc::gen::weightedElement<action_kind>({
        {9, action_kind::call},
        {1, action_kind::crash_entry},
        {1, action_kind::crash_sidecar},
        {1, action_kind::crash_upstream},
        {2, action_kind::pause_entry},
        {1, action_kind::pause_sidecar},
        {1, action_kind::drain_sidecar},
        {4, action_kind::table_fault},
        {4, action_kind::network_fault},
    });
}

rc::Gen<action> any_action()
{
    using rc::gen::inRange;
    using rc::gen::set;
    return rc::gen::build<action>(
        set(&action::kind, any_kind()),
        set(&action::at_ms, inRange<std::uint32_t>(0, 2000)),
        set(&action::length_ms, inRange<std::uint32_t>(0, 6000)),
        set(&action::who, inRange<std::uint8_t>(0, 6)),
        set(&action::key, inRange<std::uint8_t>(0, 3)),
        set(&action::flavour, inRange<std::uint8_t>(0, 8)));
}

rc::Gen<history> any_history()
{
    constexpr int largest = 18;
    return rc::gen::build<history>(
        rc::gen::set(&history::seed, rc::gen::arbitrary<std::uint64_t>()),
        rc::gen::set(
            &history::actions,
            rc::gen::resize(
                largest,
                rc::gen::container<std::vector<action>>(any_action()))));
}

/// How often the histories played so far reached each answer and note.
std::map<std::string, std::uint64_t>& reached()
{
    static std::map<std::string, std::uint64_t> counts;
    return counts;
}

RC_GTEST_PROP(filing_histories, any_faults_break_no_promise, ())
{
    const history played = *any_history();
    history_world world(played);
    const auto broken = world.play();
    for (const std::string& promise : broken)
    {
        RC_LOG() << promise << "\n";
    }
    for (const auto& [what, times] : world.seen())
    {
        reached()[what] += times;
    }
    RC_ASSERT(broken.empty());
}

/// Reads what the property above reached, so it runs after it: histories that
/// avoid the hard cases would prove nothing.
TEST(filing_histories, any_faults_reach_every_hard_case)
{
    constexpr std::uint64_t enough_answers = 100'000;
    if (reached()["ok"] < enough_answers)
    {
        GTEST_SKIP() << "too few histories; ctest's filing_histories has more";
    }
    for (const auto& [what, times] : reached())
    {
        std::cout << what << "=" << times << " ";
    }
    std::cout << "\n";
    for (const char* const what :
         {"claim_read_back", "claim_given_up", "claim_taken_over",
          "stored_outcome_served", "outcome_adopted", "record_retried",
          "idempotency_conflict", "filing_in_progress", "outcome_unknown"})
    {
        EXPECT_GT(reached()[what], 0U) << what;
    }
}

} // namespace
} // namespace wagtailseam::filing::test
