// Tests which streams need a record while routes are split and moved, and which
// services may have begun a stream without one.
#include "stream_origin/route_services.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <utility>
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

    /// Applies a configuration, and writes its routes into the record.
    void apply_routes(
        const std::vector<serving::route>& routes, seconds at = {})
    {
        apply_unwritten(routes, at);
        write_record(services_, at);
    }

    void apply_unwritten(
        const std::vector<serving::route>& routes, seconds at = {})
    {
        services_.set(config_number{++configurations_}, routes, now_ + at);
    }

    /// Reads the record at a gateway, and writes it if that is due.
    void write_record(route_services& services, seconds at = {})
    {
        const auto store_now = store_time(seconds(5000) + at);
        services.set_record(record_, store_now, now_ + at);
        if (auto due = services.due_record(store_now))
        {
            record_ = std::move(due);
            ++writes_;
            services.set_record(record_, store_now, now_ + at);
        }
    }

    /// Returns a gateway that starts with these routes.
    route_services start(
        const std::vector<serving::route>& routes, seconds at = {})
    {
        route_services started;
        started.set(config_number{configurations_}, routes, now_ + at);
        write_record(started, at);
        return started;
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
    std::uint64_t configurations_ = 0;
    std::optional<route_record> record_;
    int writes_ = 0;
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
    route.services.front().weight = 0;
    EXPECT_EQ(services_of(route), service_set{second}) << "it gets all";
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
    apply_routes({}, seconds(60));
    EXPECT_TRUE(needs_record(first, seconds(60)));
    apply_routes({}, seconds(90));
    apply({second}, seconds(90));
    EXPECT_FALSE(needs_record(second, seconds(90)));
}

/// Guards against ORDER: a gateway that started after the change took a stream
/// without a record for one of the new service.
TEST_F(route_services_fixture, gateway_that_started_knows_earlier_services)
{
    apply({first});
    apply({second}, seconds(60));
    const auto started = start({route_to({second})}, seconds(70));
    EXPECT_EQ(
        started.candidates(deep_, now_ + seconds(70)),
        (service_set{first, second}));
    EXPECT_TRUE(started.needs_record(deep_, second, now_ + seconds(79)));
    EXPECT_FALSE(started.needs_record(deep_, second, now_ + seconds(80)));
    EXPECT_EQ(
        started.candidates(deep_, now_ + seconds(80)), service_set{second});
}

TEST_F(route_services_fixture, streams_need_a_record_until_the_routes_are_in_it)
{
    apply_unwritten({route_to({first})});
    EXPECT_TRUE(needs_record(first));
    EXPECT_TRUE(services_.needs_read());
    write_record(services_);
    EXPECT_FALSE(needs_record(first));
    EXPECT_FALSE(services_.needs_read());
    services_.forget_record();
    EXPECT_TRUE(needs_record(first));
    EXPECT_TRUE(services_.needs_read());
}

TEST_F(route_services_fixture, gateway_that_is_behind_changes_no_record)
{
    apply({first});
    auto behind = start({route_to({first})});
    apply({second}, seconds(60));
    EXPECT_EQ(writes_, 2);
    write_record(behind, seconds(61));
    EXPECT_EQ(writes_, 2);
    EXPECT_TRUE(behind.needs_record(deep_, first, now_ + seconds(61)));
    EXPECT_EQ(
        behind.candidates(deep_, now_ + seconds(61)),
        (service_set{first, second}));
}

TEST_F(route_services_fixture, one_gateway_writes_the_record_for_all)
{
    apply({first});
    (void)start({route_to({first})});
    EXPECT_EQ(writes_, 1);
}

/// The platform charges for calls, and most configurations change other things.
TEST_F(route_services_fixture, other_changes_need_no_read)
{
    apply({first});
    auto slower = route_to({first});
    slower.timeout = seconds(7);
    auto other = route_to({second}, "/other/");
    other.resumable = false;
    apply_unwritten({slower, other}, seconds(60));
    EXPECT_FALSE(services_.needs_read());
    EXPECT_FALSE(needs_record(first, seconds(60)));
}

TEST_F(route_services_fixture, route_that_takes_paths_of_streams_counts)
{
    apply({first});
    auto taking = route_to({second}, "/ask/deep/");
    taking.resumable = false;
    apply_routes({route_to({first}), taking}, seconds(60));
    EXPECT_TRUE(needs_record(first, seconds(60)));
    EXPECT_EQ(candidates(seconds(60)), service_set{first});
}

TEST_F(route_services_fixture, old_routes_leave_the_record)
{
    apply({first});
    apply({second}, seconds(60));
    apply({third}, seconds(90));
    ASSERT_TRUE(record_);
    ASSERT_EQ(record_->replaced.size(), 1U);
    EXPECT_EQ(
        find_services(record_->replaced[0].routes, deep_), service_set{second});
}

TEST(route_record, is_decoded_as_encoded)
{
    const route_record record{
        .number = config_number{7},
        .current = {{"h", {{"/ask/deep/", {second}}, {"/ask/", {first}}}}},
        .replaced = {{{{"h", {{"/ask/", {}}}}}, store_time(51230)}}};
    const auto decoded = decode_route_record(encode(record));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.value(), record);
}

TEST(route_record, malformed_rows_are_rejected)
{
    for (const char* const row :
         {"", "[]", "{}", R"({"number":1,"current":[]})",
          R"({"number":1,"current":[["h","/a/"]],"replaced":[]})",
          R"({"number":1,"current":[["h","/a/",[1]]],"replaced":[]})",
          R"({"number":1,"current":[],"replaced":[{"at_ms":1}]})",
          R"({"number":-1,"current":[],"replaced":[]})"})
    {
        EXPECT_FALSE(decode_route_record(row).has_value()) << row;
    }
}

/// Histories of two gateways that apply configurations at different times, and
/// a third one that starts at the end.
RC_GTEST_PROP(
    route_services, gateway_that_starts_names_the_service_of_each_stream, ())
{
    using std::chrono::milliseconds;
    const stream_target target{.host = "h", .path = "/ask/x"};
    const auto routes_to = [](const std::string& service)
    {
        serving::route route{
            .host = "h",
            .path_prefix = "/ask/",
            .kind = serving::route_kind::streaming,
            .resumable = true};
        route.services = {{serving::service_id{service}}};
        return std::vector{route};
    };
    struct gateway
    {
        route_services services;
        std::uint64_t number = 0;
        std::string service;
    };
    std::vector<gateway> gateways(2);
    std::optional<route_record> record;
    mono_time now{seconds(1000)};
    store_time store_now{seconds(9000)};
    std::string service = "a";
    std::uint64_t number = 1;
    const auto sync = [&](route_services& services)
    {
        services.set_record(record, store_now, now);
        if (auto due = services.due_record(store_now))
        {
            record = due;
            services.set_record(std::move(due), store_now, now);
        }
    };
    const auto apply = [&](gateway& each)
    {
        each.number = number;
        each.service = service;
        each.services.set(config_number{number}, routes_to(service), now);
    };
    /// The services of streams without a record, and when they began.
    std::vector<std::pair<serving::service_id, mono_time>> unrecorded;
    for (auto& each : gateways)
    {
        apply(each);
        sync(each.services);
    }
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step)
    {
        const auto elapsed = milliseconds(*rc::gen::inRange(0, 3000));
        now += elapsed;
        store_now += elapsed;
        auto& each = gateways[*rc::gen::inRange<std::size_t>(0, 2)];
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            service = *rc::gen::element<std::string>("a", "b", "c");
            ++number;
            // Both gateways apply it within the time that they have for it.
            apply(each);
            break;
        case 1:
            apply(each);
            break;
        case 2:
            sync(each.services);
            break;
        default:
            if (!each.services.needs_record(
                    target, serving::service_id{each.service}, now))
            {
                unrecorded.emplace_back(each.service, now);
            }
            break;
        }
        for (auto& behind : gateways)
        {
            // A gateway is at most one configuration behind.
            if (behind.number + 1 < number)
            {
                apply(behind);
            }
        }
    }
    route_services started;
    started.set(config_number{number}, routes_to(service), now);
    started.set_record(record, store_now, now);
    const auto candidates = started.candidates(target, now);
    for (const auto& [begun_by, began_at] : unrecorded)
    {
        // Callers resume a stream for 15 s.
        if (now - began_at <= seconds(15))
        {
            RC_ASSERT(candidates.contains(begun_by));
        }
    }
}

} // namespace
} // namespace wagtailseam::stream_origin
