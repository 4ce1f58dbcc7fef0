// An engine that restarts under another id at the same address.
#include "agent/local_engine.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::agent
{
namespace
{

const http::address here{"10.0.0.1:80"};

std::map<upstream_id, serving::upstream> list_of(
    const std::vector<std::pair<std::string, std::uint64_t>>& lives)
{
    std::map<upstream_id, serving::upstream> listed;
    for (const auto& [id, started] : lives)
    {
        listed.emplace(
            upstream_id{id},
            serving::upstream{
                .id = upstream_id{id}, .address = here, .started_ms = started});
    }
    return listed;
}

TEST(find_local_engine, restarted_engine_is_not_taken_for_its_earlier_life)
{
    // Its words would otherwise go out under an id that nobody uses, and the
    // gateways would fill it blindly.
    const auto listed = list_of({{"a-new", 200}, {"z-old", 100}});
    EXPECT_EQ(find_local_engine(listed, here, 200), upstream_id{"a-new"});
    EXPECT_EQ(find_local_engine(listed, here, 100), upstream_id{"z-old"});
}

TEST(find_local_engine, life_that_is_not_listed_yet_has_no_id)
{
    EXPECT_EQ(
        find_local_engine(list_of({{"old", 100}}), here, 200), upstream_id{});
}

TEST(find_local_engine, engine_without_start_time_is_latest_entry)
{
    EXPECT_EQ(
        find_local_engine(list_of({{"a", 2}, {"b", 1}}), here, 0),
        upstream_id{"a"});
}

TEST(find_local_engine, entry_at_other_address_is_another_engine)
{
    EXPECT_EQ(
        find_local_engine(list_of({{"a", 1}}), http::address{"10.0.0.2:80"}, 1),
        upstream_id{});
}

} // namespace
} // namespace wagtailseam::agent
