// Tests the memory of completed requests.
#include "quarantine/recent_completions.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::quarantine
{
namespace
{

using std::chrono::seconds;

request_fingerprint request(const std::string& text)
{
    return request_fingerprint(sha256(text));
}

const mono_time start = mono_time(seconds(1000));

TEST(recent_completions, completed_request_is_known_for_its_lifetime)
{
    recent_completions completions({.lifetime = seconds(60)});
    completions.insert(request("a"), start);
    EXPECT_TRUE(completions.contains(request("a"), start + seconds(60)));
    EXPECT_FALSE(completions.contains(request("a"), start + seconds(61)));
    EXPECT_FALSE(completions.contains(request("b"), start));
}

TEST(recent_completions, later_request_of_the_same_slot_replaces_the_earlier)
{
    recent_completions completions({.slots = 1});
    completions.insert(request("a"), start);
    completions.insert(request("b"), start);
    EXPECT_FALSE(completions.contains(request("a"), start));
    EXPECT_TRUE(completions.contains(request("b"), start));
}

} // namespace
} // namespace wagtailseam::quarantine
