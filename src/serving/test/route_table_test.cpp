// Lookup of routes by host and path prefix, and of workspaces by API key.
#include "serving/route_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wagtailseam::serving
{
namespace
{

route make_route(std::string name, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.host = "a.example";
    result.path_prefix = std::move(prefix);
    result.services = {{service_id{"s"}, 1.0}};
    return result;
}

class route_table_fixture : public testing::Test
{
protected:
    route_table_fixture()
        : table_(
              []
              {
                  configuration config;
                  config.routes = {
                      make_route("short", "/a/"), make_route("long", "/a/b/")};
                  config.workspaces = {
                      {.id = workspace_id{"w1"}, .keys = {"k1", "k2"}},
                      {.id = workspace_id{"w2"}, .keys = {"k3"}}};
                  return config;
              }())
    {
    }

    [[nodiscard]] std::string route_name(
        std::string_view host, std::string_view path) const
    {
        const auto* const found = table_.find_route(host, path);
        return found == nullptr ? "none" : found->name;
    }

    route_table table_;
};

TEST_F(route_table_fixture, path_with_two_matching_prefixes_selects_longest)
{
    EXPECT_EQ(route_name("a.example", "/a/b/c"), "long");
    EXPECT_EQ(route_name("a.example", "/a/bc"), "short");
}

TEST_F(route_table_fixture, other_host_or_path_matches_no_route)
{
    EXPECT_EQ(route_name("b.example", "/a/b/c"), "none");
    EXPECT_EQ(route_name("a.example", "/b/"), "none");
    EXPECT_EQ(route_name("a.example", "/a"), "none");
}

TEST_F(route_table_fixture, key_selects_only_its_workspace)
{
    ASSERT_NE(table_.find_workspace("k2"), nullptr);
    EXPECT_EQ(table_.find_workspace("k2")->id, workspace_id{"w1"});
    EXPECT_EQ(table_.find_workspace("k4"), nullptr);
    EXPECT_EQ(table_.find_workspace(""), nullptr);
}

/// A configuration of the workspaces w0 to w3, of which some are isolated.
route_table isolating(const std::set<int>& isolated)
{
    constexpr int workspaces = 4;
    configuration config;
    for (int number = 0; number < workspaces; ++number)
    {
        config.workspaces.push_back(
            {.id = workspace_id{"w" + std::to_string(number)},
             .isolated = isolated.contains(number)});
    }
    return route_table(std::move(config));
}

TEST(cache_scope, is_empty_and_equal_while_no_workspace_is_isolated)
{
    const auto table = isolating({});
    EXPECT_EQ(table.scope_of(workspace_id{"w0"}), cache_scope{});
    EXPECT_EQ(table.scope_of(workspace_id{}), cache_scope{});
}

TEST(cache_scope, isolated_workspace_has_its_own)
{
    const auto table = isolating({0, 1});
    EXPECT_NE(
        table.scope_of(workspace_id{"w0"}), table.scope_of(workspace_id{"w1"}));
    EXPECT_EQ(
        table.scope_of(workspace_id{"w2"}), table.scope_of(workspace_id{"w3"}));
    EXPECT_EQ(
        table.scope_of(workspace_id{"w2"}), table.scope_of(workspace_id{}));
    EXPECT_NE(
        table.scope_of(workspace_id{"w2"}), table.scope_of(workspace_id{"w0"}));
}

/// Guards against WALL: what a workspace cached while it shared stayed in use
/// by others once it was isolated.
TEST(cache_scope, shared_scope_changes_when_a_workspace_becomes_isolated)
{
    const workspace_id other{"w3"};
    const auto before = isolating({}).scope_of(other);
    const auto first = isolating({0}).scope_of(other);
    EXPECT_NE(first, before);
    EXPECT_NE(isolating({0, 1}).scope_of(other), first);
    EXPECT_NE(isolating({1}).scope_of(other), first);
}

TEST(cache_scope, depends_on_the_set_of_isolated_workspaces_only)
{
    configuration reversed;
    reversed.workspaces = {
        {.id = workspace_id{"w1"}, .isolated = true},
        {.id = workspace_id{"w0"}, .isolated = true}};
    EXPECT_EQ(
        route_table(reversed).scope_of(workspace_id{}),
        isolating({0, 1}).scope_of(workspace_id{}));
}

TEST(cache_scope, workspace_that_the_configuration_lacks_shares_nothing)
{
    const auto table = isolating({});
    EXPECT_NE(table.scope_of(workspace_id{"gone"}), cache_scope{});
    EXPECT_NE(
        table.scope_of(workspace_id{"gone"}),
        table.scope_of(workspace_id{"lost"}));
}

/// Workspaces are isolated and opened in any order, while caches and cache
/// stores keep all parts; gateways that lag use an earlier configuration.
RC_GTEST_PROP(
    cache_scope, no_workspace_uses_what_an_isolated_one_cached,
    (std::vector<std::set<std::uint8_t>> changes))
{
    const auto configuration_of = [](const std::set<std::uint8_t>& change)
    {
        std::set<int> isolated;
        for (const auto number : change)
        {
            isolated.insert(number % 4);
        }
        return isolated;
    };
    // Who cached parts, by scope.
    std::map<cache_scope, std::set<int>> makers;
    for (const auto& change : changes)
    {
        const auto isolated = configuration_of(change);
        const auto table = isolating(isolated);
        for (int user = 0; user < 4; ++user)
        {
            const auto scope =
                table.scope_of(workspace_id{"w" + std::to_string(user)});
            for (const int maker : makers[scope])
            {
                RC_ASSERT(
                    maker == user ||
                    (!isolated.contains(maker) && !isolated.contains(user)));
            }
            makers[scope].insert(user);
        }
    }
}

RC_GTEST_PROP(
    draw_service, service_with_weight_zero_is_never_drawn, (std::uint64_t seed))
{
    route from = make_route("r", "/");
    from.services = {
        {service_id{"never"}, 0.0},
        {service_id{"some"}, 10.0},
        {service_id{"most"}, 90.0}};
    random_source random(seed);
    RC_ASSERT(draw_service(from, random) != service_id{"never"});
}

TEST(draw_service, shares_follow_weights)
{
    constexpr int draws = 10'000;
    route from = make_route("r", "/");
    from.services = {{service_id{"a"}, 90.0}, {service_id{"b"}, 10.0}};
    random_source random(7);
    int draws_of_b = 0;
    for (int i = 0; i < draws; ++i)
    {
        draws_of_b += draw_service(from, random) == service_id{"b"} ? 1 : 0;
    }
    // The tolerance is ten standard deviations of the binomial distribution.
    EXPECT_NEAR(draws_of_b, draws * 0.1, 300);
}

} // namespace
} // namespace wagtailseam::serving
