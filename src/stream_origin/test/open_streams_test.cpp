// The open streams of a gateway and the encoding of their record.
#include "stream_origin/open_streams.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdio>
#include <tuple>
#include <vector>

namespace wagtailseam::stream_origin
{
namespace
{

using std::chrono::seconds;

const origin old_origin{
    serving::service_id{"s"}, serving::software_version{"1"}};
const origin new_origin{
    serving::service_id{"s"}, serving::software_version{"2"}};
const stream_target asked{.host = "h", .path = "/ask/a"};
const request_id first{"r1"};
const request_id second{"r2"};
const request_id third{"r3"};

class open_streams_fixture : public testing::Test
{
protected:
    void begin(
        const request_id& id, const origin& begun_by, bool is_recorded = false)
    {
        streams_.begin(id, begun_by, asked, is_recorded);
    }

    [[nodiscard]] std::size_t recorded_count() const
    {
        return streams_.origins_to_record([](const origin&) { return false; })
            .size();
    }

    open_streams streams_{{.retention = seconds(20), .max_streams = 2}};
    mono_time now_{seconds(1000)};
};

TEST_F(open_streams_fixture, stream_is_found_from_its_first_event_on)
{
    EXPECT_FALSE(streams_.find(first));
    begin(first, old_origin);
    EXPECT_EQ(streams_.find(first), old_origin);
    streams_.expire(now_ + std::chrono::hours(1));
    EXPECT_EQ(streams_.find(first), old_origin) << "it is still forwarded";
}

/// Paths of any length are requested, and the gateway keeps many streams.
TEST_F(open_streams_fixture, stream_of_a_long_path_is_recorded)
{
    const auto begin_at = [&](std::size_t path_bytes)
    {
        return streams_.begin(
            first, old_origin,
            {.host = "h", .path = '/' + std::string(path_bytes - 1, 'a')},
            false);
    };
    const auto max_path_bytes = open_streams_options{}.max_path_bytes;
    EXPECT_FALSE(begin_at(max_path_bytes));
    EXPECT_EQ(recorded_count(), 0U);
    EXPECT_TRUE(begin_at(max_path_bytes + 1));
    EXPECT_EQ(recorded_count(), 1U);
}

TEST_F(open_streams_fixture, complete_stream_is_forgotten)
{
    begin(first, old_origin);
    streams_.complete(first);
    EXPECT_FALSE(streams_.find(first));
    streams_.complete(second);
    EXPECT_EQ(streams_.size(), 0U);
}

TEST_F(open_streams_fixture, broken_stream_is_kept_for_the_retention_time)
{
    begin(first, old_origin);
    streams_.break_off(first, now_);
    streams_.expire(now_ + seconds(20) - duration(1));
    EXPECT_EQ(streams_.find(first), old_origin);
    streams_.expire(now_ + seconds(20));
    EXPECT_FALSE(streams_.find(first));
}

TEST_F(open_streams_fixture, resumed_stream_does_not_expire)
{
    begin(first, old_origin);
    streams_.break_off(first, now_);
    begin(first, old_origin);
    streams_.expire(now_ + seconds(20));
    EXPECT_EQ(streams_.find(first), old_origin);
}

TEST_F(open_streams_fixture, adopted_streams_expire_and_replace_none)
{
    begin(first, new_origin);
    streams_.adopt({{first, old_origin}, {second, old_origin}}, now_);
    EXPECT_EQ(streams_.find(first), new_origin);
    EXPECT_EQ(streams_.find(second), old_origin);
    streams_.expire(now_ + seconds(20));
    EXPECT_EQ(streams_.find(first), new_origin);
    EXPECT_FALSE(streams_.find(second));
}

/// Guards against LOST: a restarted gateway replaced its row by one without the
/// streams that its previous incarnation had recorded.
TEST_F(open_streams_fixture, adopted_streams_stay_in_the_record)
{
    streams_.adopt({{first, old_origin}}, now_);
    EXPECT_EQ(recorded_count(), 1U);
}

TEST_F(open_streams_fixture, stream_belongs_into_the_record_as_decided)
{
    begin(first, old_origin, true);
    begin(second, new_origin);
    EXPECT_EQ(recorded_count(), 1U);
    const auto all =
        streams_.origins_to_record([](const origin&) { return true; });
    EXPECT_EQ(all.size(), 2U);
}

TEST_F(open_streams_fixture, stream_is_marked_recorded_once)
{
    begin(first, old_origin);
    const auto changed = [](const stream_target& target, const origin&)
    { return target == asked; };
    EXPECT_TRUE(streams_.mark_recorded(changed));
    EXPECT_FALSE(streams_.mark_recorded(changed));
    EXPECT_EQ(recorded_count(), 1U);
}

TEST_F(open_streams_fixture, limit_drops_the_oldest_stream)
{
    begin(first, old_origin);
    begin(second, old_origin);
    begin(third, new_origin);
    EXPECT_EQ(streams_.size(), 2U);
    EXPECT_FALSE(streams_.find(first));
    EXPECT_EQ(streams_.find(second), old_origin);
    EXPECT_EQ(streams_.find(third), new_origin);
}

TEST_F(open_streams_fixture, additions_change_with_each_added_stream_only)
{
    const auto before = streams_.additions();
    begin(first, old_origin);
    const auto added = streams_.additions();
    EXPECT_NE(added, before);
    streams_.break_off(first, now_);
    streams_.expire(now_ + seconds(20));
    EXPECT_EQ(streams_.additions(), added);
}

TEST(stream_record, malformed_value_is_rejected)
{
    for (const auto* const value :
         {"", "[]", "{", "{}", R"({"origins":[]})", R"({"streams":{}})",
          R"({"origins":{},"streams":{}})", R"({"origins":[],"streams":[]})",
          R"({"origins":[["s"]],"streams":{}})",
          R"({"origins":[["s",1]],"streams":{}})",
          R"({"origins":[["s","1"]],"streams":{"r1":1}})",
          R"({"origins":[["s","1"]],"streams":{"r1":-1}})",
          R"({"origins":[["s","1"]],"streams":{"r1":"0"}})"})
    {
        const auto decoded = decode_origins(value);
        ASSERT_FALSE(decoded.has_value()) << value;
        EXPECT_EQ(decoded.error().code, result_code::malformed_message);
    }
    const auto unknown =
        decode_origins(R"({"origins":[["s","1"]],"streams":{"r1":7}})");
    ASSERT_FALSE(unknown.has_value());
    EXPECT_EQ(unknown.error().detail, "stream r1 has the unknown origin 7");
}

TEST(stream_record, two_thousand_streams_fit_into_a_row)
{
    constexpr std::size_t max_row_bytes = 65'536;
    origin_map origins;
    for (int number = 0; number < 2000; ++number)
    {
        std::array<char, 17> id{};
        (void)std::snprintf(id.data(), id.size(), "%016x", number);
        origins.emplace(
            request_id{id.data()}, number % 2 == 0 ? old_origin : new_origin);
    }
    const auto base64_size = (encode(origins).size() + 2) / 3 * 4;
    EXPECT_LT(base64_size, max_row_bytes);
}

RC_GTEST_PROP(stream_record, encoded_origins_are_decoded_unchanged, ())
{
    const auto text =
        rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    const auto entries = *rc::gen::container<
        std::vector<std::tuple<std::string, std::string, std::string, bool>>>(
        rc::gen::tuple(text, text, text, rc::gen::arbitrary<bool>()));
    origin_map origins;
    for (const auto& [id, service, version, is_known] : entries)
    {
        origin begun_by{.service = serving::service_id{service}};
        if (is_known)
        {
            begun_by.version = serving::software_version{version};
        }
        origins.emplace(request_id{id}, std::move(begun_by));
    }
    const auto decoded = decode_origins(encode(origins));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == origins);
}

} // namespace
} // namespace wagtailseam::stream_origin
