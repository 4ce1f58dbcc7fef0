// Tests which streams need a record while routes are split and moved, and which
// services may have begun a stream without one.
#include "stream_origin/route_services.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::stream_origin
{
namespace
{

using std::chrono::seconds;

const serving::service_id first{"first"};
const serving::service_id second{"second"};
const serving::service_id third{"third"};

using service_set = std::set<serving::service_id>;

class route_services_fixture : public testing::Test
{
protected:
    static serving::route route_to(const service_set& services)
    {
        serving::route route{
            .host = "h",
            .path_prefix = "/ask/",
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
        services_.set({route_to(services)}, now_ + at);
    }

    [[nodiscard]] bool needs_record(
        const serving::service_id& begun_by, seconds at = {}) const
    {
        return services_.needs_record(
            key_of(route_to({first})), begun_by, now_ + at);
    }

    [[nodiscard]] service_set candidates(
        const service_set& current, seconds at = {}) const
    {
        return services_.candidates(route_to(current), now_ + at);
    }

    route_services services_;
    const mono_time now_{seconds(1000)};
};

TEST_F(route_services_fixture, streams_of_the_only_service_need_no_record)
{
    apply({first});
    EXPECT_FALSE(needs_record(first));
    EXPECT_EQ(candidates({first}), service_set{first});
}

/// Guards against LOST: no stream of a split route was recorded, and none
/// without a record could be taken up.
TEST_F(route_services_fixture, streams_of_a_split_route_need_a_record)
{
    apply({first, second});
    EXPECT_TRUE(needs_record(first));
    EXPECT_TRUE(needs_record(second));
    EXPECT_EQ(candidates({first, second}), (service_set{first, second}));
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
    EXPECT_EQ(candidates({first, second}, seconds(60)), service_set{first});
    EXPECT_EQ(
        candidates({first, second}, seconds(80)), (service_set{first, second}));
}

/// Other gateways may not have read the new configuration yet.
TEST_F(route_services_fixture, streams_after_a_move_need_a_record_for_a_while)
{
    apply({first});
    apply({second}, seconds(60));
    EXPECT_TRUE(needs_record(second, seconds(60)));
    EXPECT_TRUE(needs_record(second, seconds(79)));
    EXPECT_FALSE(needs_record(second, seconds(80)));
    EXPECT_EQ(candidates({second}, seconds(60)), (service_set{first, second}));
    EXPECT_EQ(candidates({second}, seconds(80)), service_set{second});
}

TEST_F(route_services_fixture, service_of_the_replaced_route_is_replaced)
{
    apply({first});
    apply({second}, seconds(60));
    const auto current = route_to({second});
    EXPECT_TRUE(services_.is_replaced(current, first, now_ + seconds(61)));
    EXPECT_FALSE(services_.is_replaced(current, second, now_ + seconds(61)));
    EXPECT_FALSE(services_.is_replaced(current, third, now_ + seconds(61)));
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
