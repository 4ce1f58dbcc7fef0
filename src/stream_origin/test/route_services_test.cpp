// Tests which streams need a record while routes are split and moved, and which
// services may have begun a stream without one.
#include "stream_origin/route_services.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace wagtailseam::stream_origin
{
namespace
{

using std::chrono::seconds;

const serving::service_id first{"first"};
const serving::service_id second{"second"};
const serving::service_id third{"third"};

class route_services_fixture : public testing::Test
{
protected:
    static serving::route route_to(
        const service_set& services, const std::string& prefix = "/ask/",
        const std::string& host = "h")
    {
        serving::route route{
            .host = host,
            .path_prefix = prefix,
            .kind = serving::route_kind::streaming,
            .resumable = true};
        for (const auto& service : services)
        {
            route.services.push_back({service});
        }
        return route;
    }

    void apply(const service_set& services, seconds at = {})
    {
        apply_routes({route_to(services)}, at);
    }

    void apply_routes(
        const std::vector<serving::route>& routes, seconds at = {})
    {
        services_.set(routes, now_ + at);
    }

    [[nodiscard]] bool needs_record(
        const serving::service_id& begun_by, seconds at = {}) const
    {
        return services_.needs_record(deep_, begun_by, now_ + at);
    }

    [[nodiscard]] service_set candidates(seconds at = {}) const
    {
        return services_.candidates(deep_, now_ + at);
    }

    const stream_target deep_{.host = "h", .path = "/ask/deep/x"};
    route_services services_;
    const mono_time now_{seconds(1000)};
};

TEST_F(route_services_fixture, streams_of_the_only_service_need_no_record)
{
    apply({first});
    EXPECT_FALSE(needs_record(first));
    EXPECT_EQ(candidates(), service_set{first});
}

/// Guards against LOST: no stream of a split route was recorded, and none
/// without a record could be taken up.
TEST_F(route_services_fixture, streams_of_a_split_route_need_a_record)
{
    apply({first, second});
    EXPECT_TRUE(needs_record(first));
    EXPECT_TRUE(needs_record(second));
    EXPECT_EQ(candidates(), (service_set{first, second}));
}

TEST_F(route_services_fixture, stream_of_an_unknown_route_needs_a_record)
{
    EXPECT_TRUE(needs_record(first));
}

TEST_F(route_services_fixture, stream_from_before_a_split_began_at_one_service)
{
    apply({first});
    apply({first, second}, seconds(60));
    EXPECT_TRUE(needs_record(first, seconds(60)));
    EXPECT_EQ(candidates(seconds(60)), service_set{first});
    EXPECT_EQ(candidates(seconds(80)), (service_set{first, second}));
}

/// Other gateways may not have read the new configuration yet.
TEST_F(route_services_fixture, streams_after_a_move_need_a_record_for_a_while)
{
    apply({first});
    apply({second}, seconds(60));
    EXPECT_TRUE(needs_record(second, seconds(60)));
    EXPECT_TRUE(needs_record(second, seconds(79)));
    EXPECT_FALSE(needs_record(second, seconds(80)));
    EXPECT_EQ(candidates(seconds(60)), (service_set{first, second}));
    EXPECT_EQ(candidates(seconds(80)), service_set{second});
}

/// Guards against CONFIG and ORDER: streams from before a longer prefix had the
/// history of another route, so they were not recorded, and one without a
/// record was taken for a stream of the new service.
TEST_F(route_services_fixture, longer_prefix_changes_the_services_of_its_paths)
{
    apply({first});
    apply_routes({route_to({first}), route_to({second}, "/ask/deep/")});
    EXPECT_TRUE(needs_record(first));
    EXPECT_TRUE(needs_record(second));
    EXPECT_EQ(candidates(), (service_set{first, second}));
    const stream_target other{.host = "h", .path = "/ask/x"};
    EXPECT_FALSE(services_.needs_record(other, first, now_));
    EXPECT_EQ(services_.candidates(other, now_), service_set{first});
}

TEST_F(route_services_fixture, removed_longer_prefix_changes_the_services_too)
{
    apply_routes({route_to({second}, "/ask/deep/"), route_to({first})});
    EXPECT_FALSE(needs_record(second));
    apply({first}, seconds(60));
    EXPECT_TRUE(needs_record(first, seconds(60)));
    EXPECT_EQ(candidates(seconds(60)), (service_set{first, second}));
    EXPECT_FALSE(needs_record(first, seconds(80)));
}

TEST_F(route_services_fixture, services_that_are_back_were_changed_twice)
{
    apply({first});
    apply({second}, seconds(60));
    apply({first}, seconds(70));
    EXPECT_EQ(candidates(seconds(79)), (service_set{first, second}));
    EXPECT_TRUE(needs_record(first, seconds(89)));
    EXPECT_FALSE(needs_record(first, seconds(90)));
}

TEST_F(route_services_fixture, hosts_have_services_of_their_own)
{
    apply_routes({route_to({first}), route_to({second}, "/ask/", "other")});
    EXPECT_FALSE(needs_record(first));
    apply_routes(
        {route_to({first}), route_to({third}, "/ask/", "other")}, seconds(60));
    EXPECT_FALSE(needs_record(first, seconds(60)));
}

TEST_F(route_services_fixture, added_route_needs_no_record)
{
    apply_routes({route_to({second}, "/other/")});
    apply_routes({route_to({second}, "/other/"), route_to({first})});
    EXPECT_FALSE(needs_record(first));
}

TEST_F(route_services_fixture, service_without_a_share_is_none_of_the_route)
{
    auto route = route_to({first, second});
    route.services.back().weight = 0;
    EXPECT_EQ(services_of(route), service_set{first});
}

TEST_F(route_services_fixture, equal_configuration_changes_nothing)
{
    apply({first});
    apply({first}, seconds(60));
    EXPECT_FALSE(needs_record(first, seconds(60)));
}

TEST_F(route_services_fixture, removed_route_is_forgotten_after_a_while)
{
    apply({first});
    services_.set({}, now_ + seconds(60));
    EXPECT_TRUE(needs_record(first, seconds(60)));
    services_.set({}, now_ + seconds(90));
    apply({second}, seconds(90));
    EXPECT_FALSE(needs_record(second, seconds(90)));
}

} // namespace
} // namespace wagtailseam::stream_origin
