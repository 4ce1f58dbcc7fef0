// Lookup of an engine that restarts under another id at the same address.
#include "agent/local_engine.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::agent
{
namespace
{

const http::address engine_address{"10.0.0.1:80"};

std::map<upstream_id, serving::upstream> make_list(
    const std::vector<std::pair<std::string, std::uint64_t>>& instances)
{
    std::map<upstream_id, serving::upstream> listed;
    for (const auto& [id, started] : instances)
    {
        listed.emplace(
            upstream_id{id}, serving::upstream{
                                 .id = upstream_id{id},
                                 .address = engine_address,
                                 .started_ms = started});
    }
    return listed;
}

TEST(find_local_engine, restarted_engine_is_not_matched_with_previous_instance)
{
    // Otherwise its status would carry the id of the previous instance, and
    // gateways would send requests to it without knowing its load.
    const auto listed = make_list({{"a-new", 200}, {"z-old", 100}});
    EXPECT_EQ(
        find_local_engine(listed, engine_address, 200), upstream_id{"a-new"});
    EXPECT_EQ(
        find_local_engine(listed, engine_address, 100), upstream_id{"z-old"});
}

TEST(find_local_engine, unlisted_instance_has_no_id)
{
    EXPECT_EQ(
        find_local_engine(make_list({{"old", 100}}), engine_address, 200),
        upstream_id{});
}

TEST(find_local_engine, missing_start_time_selects_latest_entry)
{
    EXPECT_EQ(
        find_local_engine(make_list({{"a", 2}, {"b", 1}}), engine_address, 0),
        upstream_id{"a"});
}

TEST(find_local_engine, entry_at_other_address_is_ignored)
{
    EXPECT_EQ(
        find_local_engine(
            make_list({{"a", 1}}), http::address{"10.0.0.2:80"}, 1),
        upstream_id{});
}

} // namespace
} // namespace wagtailseam::agent
