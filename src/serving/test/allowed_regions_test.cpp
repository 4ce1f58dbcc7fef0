// Routes and workspaces whose requests only some regions may process.
#include "serving/cache_salt.hpp"
#include "serving/cache_view.hpp"
#include "serving/configuration.hpp"
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const region_id south{"south"};
const region_id north{"north"};
const data_centre_id south_1{"south-1"};
const data_centre_id south_2{"south-2"};
const data_centre_id north_1{"north-1"};
const service_id engines{"engines"};

class allowed_regions_fixture : public testing::Test
{
protected:
    [[nodiscard]] allowed_data_centres allowed() const
    {
        return find_allowed_data_centres(route_, &workspace_, regions_);
    }

    route route_;
    workspace workspace_;
    std::map<data_centre_id, region_id> regions_{
        {south_1, south}, {south_2, south}, {north_1, north}};
};

TEST_F(allowed_regions_fixture, without_restriction_all_are_allowed)
{
    EXPECT_FALSE(allowed());
    EXPECT_TRUE(allows(allowed(), data_centre_id{"unknown"}));
}

TEST_F(allowed_regions_fixture, route_restricts_to_the_data_centres_of_regions)
{
    route_.allowed_regions = {south};
    EXPECT_EQ(allowed(), (std::set{south_1, south_2}));
    EXPECT_FALSE(allows(allowed(), north_1));
}

TEST_F(allowed_regions_fixture, route_and_workspace_both_apply)
{
    route_.allowed_regions = {south, north};
    workspace_.allowed_regions = {north};
    EXPECT_EQ(allowed(), std::set{north_1});
    route_.allowed_regions = {south};
    EXPECT_EQ(allowed(), std::set<data_centre_id>{});
}

TEST_F(allowed_regions_fixture, request_without_workspace_follows_its_route)
{
    route_.allowed_regions = {north};
    EXPECT_EQ(
        find_allowed_data_centres(route_, nullptr, regions_),
        std::set{north_1});
}

/// The region of a data centre that was added is unknown until the settings
/// name it.
TEST_F(allowed_regions_fixture, unknown_region_is_not_allowed)
{
    workspace_.allowed_regions = {south};
    regions_.erase(south_2);
    EXPECT_FALSE(allows(allowed(), south_2));
}

class restricted_choice_fixture : public testing::Test
{
protected:
    void list(const std::string& id, const data_centre_id& data_centre)
    {
        balancer_.upsert(
            {.id = upstream_id{id},
             .service = engines,
             .address = http::address{"10.0.0." + id + ":80"},
             .data_centre = data_centre,
             .started_ms = 1});
    }

    load_balancer balancer_;
    random_source random_{1};
    mono_time now_{seconds(1000)};
};

/// An idle upstream in another region must not be preferred to a busy one in
/// the allowed region.
TEST_F(restricted_choice_fixture, idle_upstream_of_another_region_gets_nothing)
{
    list("1", south_1);
    list("2", north_1);
    for (int i = 0; i < 100; ++i)
    {
        const auto selection = balancer_.choose(
            {.service = engines,
             .local_data_centre = north_1,
             .data_centres = std::set{south_1}},
            random_, now_);
        const auto* const chosen = std::get_if<chosen_upstream>(&selection);
        ASSERT_NE(chosen, nullptr);
        EXPECT_EQ(chosen->entry.id, upstream_id{"1"});
        balancer_.begin_attempt(chosen->entry.id, {});
    }
}

TEST_F(restricted_choice_fixture, no_upstream_in_the_region_leaves_none)
{
    list("2", north_1);
    const auto selection = balancer_.choose(
        {.service = engines,
         .local_data_centre = north_1,
         .data_centres = std::set{south_1}},
        random_, now_);
    EXPECT_TRUE(std::holds_alternative<none_available>(selection));
}

/// Stores in two regions, of which the other one is faster and holds the part.
class restricted_cache_fixture : public testing::Test
{
protected:
    restricted_cache_fixture()
    {
        view_.set_stores(
            {{.service = allowed_store_,
              .address = allowed_address_,
              .data_centre = south_1,
              .capacity = token_count{1000},
              .link_rate = byte_rate{1}},
             {.service = other_store_,
              .address = other_address_,
              .data_centre = north_1,
              .capacity = token_count{1000},
              .link_rate = byte_rate{1000}}});
        (void)view_.apply(
            allowed_store_,
            cache_changes{.epoch = store_epoch{1}, .clock_ms = 1000}, now_);
        (void)view_.apply(
            other_store_,
            cache_changes{
                .epoch = store_epoch{1},
                .next_cursor = 1,
                .clock_ms = 1000,
                .changes =
                    {{.key = {salt_, part_id{"a"}},
                      .tokens = token_count{100},
                      .number = 1}}},
            now_);
    }

    [[nodiscard]] cache_plan plan(const allowed_data_centres& allowed)
    {
        return view_.plan(
            prompt_, salt_, south_1, milliseconds(500), duration::zero(), now_,
            allowed);
    }

    const service_id allowed_store_{"allowed"};
    const service_id other_store_{"other"};
    const http::address allowed_address_{"10.0.0.8:80"};
    const http::address other_address_{"10.0.0.9:80"};
    const cache_salt salt_{"w1.m"};
    const prompt_metadata prompt_{
        .model = model_id{"m"},
        .parts = {
            {part_id{"a"}, token_count{100}},
            {part_id{"own"}, token_count{30}}}};
    const mono_time now_{seconds(1000)};
    cache_view view_;
};

/// Parts of a prompt must not be moved between regions.
TEST_F(restricted_cache_fixture, parts_use_stores_of_the_region_only)
{
    const auto restricted = plan(std::set{south_1});
    EXPECT_FALSE(restricted.parts[0].fetch_from);
    EXPECT_EQ(restricted.parts[0].save_to, allowed_address_);
    EXPECT_EQ(plan(std::nullopt).parts[0].fetch_from, other_address_);
}

/// A faster store elsewhere must not keep frequently used parts from being
/// saved.
TEST_F(restricted_cache_fixture, hot_parts_are_saved_in_the_region)
{
    for (int i = 0; i < 100; ++i)
    {
        (void)plan(std::nullopt);
    }
    EXPECT_EQ(plan(std::set{south_1}).parts[0].save_to, allowed_address_);
}

/// Other requests would fetch the parts to engines of other regions.
TEST(restricted_cache_scope, restricted_requests_share_parts_among_themselves)
{
    const cache_scope scope{"s.0"};
    EXPECT_EQ(restrict_scope(scope, std::nullopt), scope);
    const auto restricted = restrict_scope(scope, std::set{south_1});
    EXPECT_NE(restricted, scope);
    EXPECT_EQ(restrict_scope(scope, std::set{south_1}), restricted);
    EXPECT_NE(restrict_scope(scope, std::set{north_1}), restricted);
    const cache_namespace fields{model_id{"m"}, weight_version{7}, restricted};
    EXPECT_EQ(parse_cache_salt(make_cache_salt(fields)), fields);
}

} // namespace
} // namespace wagtailseam::serving
