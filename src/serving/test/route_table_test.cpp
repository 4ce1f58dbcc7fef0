// Lookup of routes by host and path prefix, and of workspaces by API key.
#include "serving/route_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
