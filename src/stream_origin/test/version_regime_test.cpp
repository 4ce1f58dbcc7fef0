// The rules by which the regime of a service changes, and its encoding.
#include "stream_origin/version_regime.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::stream_origin
{
namespace
{

using serving::software_version;
using std::chrono::seconds;

const software_version old_version{"1"};
const software_version new_version{"2"};
const version_regime only_old = single_version{.version = old_version};
const version_regime only_new = single_version{.version = new_version};
const version_regime mixed = mixed_versions{};
const store_era first_era{1};
const store_era second_era{2};
const version_regime lapsed_old = regime_in_era(
    {.regime = only_old, .era = first_era}, second_era,
    mono_time(seconds(1000)));
constexpr store_time written_at{90'000};
constexpr regime_tracker_options options{
    .quiet_time = seconds(45),
    .max_list_gap = seconds(8),
    .return_time = seconds(3)};

class regime_tracker_fixture : public testing::Test
{
protected:
    /// Reads the list now.
    void list(const std::set<software_version>& versions)
    {
        tracker_.set_listed(versions, now_);
    }
    /// Reads the same list each second.
    void list_for(seconds time, const std::set<software_version>& versions)
    {
        for (auto passed = seconds(0); passed < time; ++passed)
        {
            now_ += seconds(1);
            list(versions);
        }
    }
    [[nodiscard]] std::optional<version_regime> due_write() const
    {
        return tracker_.due_write(now_);
    }

    regime_tracker tracker_{options};
    mono_time now_{seconds(1000)};
};

TEST_F(regime_tracker_fixture, unread_regime_permits_any_version_with_a_record)
{
    list({old_version});
    EXPECT_FALSE(due_write());
    EXPECT_TRUE(tracker_.needs_read());
    EXPECT_FALSE(tracker_.begins_at());
    EXPECT_TRUE(tracker_.needs_record(old_version));
}

TEST_F(regime_tracker_fixture, unread_list_changes_no_regime)
{
    for (const auto& regime :
         {version_regime(absent_regime{}), only_old, mixed})
    {
        tracker_.set_regime(regime);
        EXPECT_FALSE(due_write());
    }
}

TEST_F(regime_tracker_fixture, absent_regime_becomes_that_of_the_list)
{
    tracker_.set_regime(absent_regime{});
    list({old_version});
    EXPECT_EQ(due_write(), only_old);
    list({old_version, new_version});
    EXPECT_EQ(due_write(), mixed);
    EXPECT_TRUE(tracker_.needs_record(old_version));
    EXPECT_FALSE(tracker_.begins_at());
}

TEST_F(regime_tracker_fixture, single_regime_covers_only_its_version)
{
    list({old_version});
    tracker_.set_regime(only_old);
    EXPECT_FALSE(due_write());
    EXPECT_FALSE(tracker_.needs_read());
    EXPECT_EQ(tracker_.begins_at(), old_version);
    EXPECT_FALSE(tracker_.needs_record(old_version));
    EXPECT_TRUE(tracker_.needs_record(new_version));
}

TEST_F(regime_tracker_fixture, another_listed_version_ends_a_single_regime)
{
    tracker_.set_regime(only_old);
    list({old_version, new_version});
    EXPECT_EQ(due_write(), mixed);
    list({new_version});
    EXPECT_EQ(due_write(), mixed);
    EXPECT_EQ(tracker_.begins_at(), old_version);
}

TEST_F(regime_tracker_fixture, mixed_regime_permits_any_version_with_a_record)
{
    list({old_version, new_version});
    tracker_.set_regime(mixed);
    EXPECT_FALSE(due_write());
    EXPECT_FALSE(tracker_.begins_at());
    EXPECT_TRUE(tracker_.needs_record(old_version));
    EXPECT_TRUE(tracker_.needs_record(new_version));
}

TEST_F(regime_tracker_fixture, mixed_regime_becomes_single_after_the_quiet_time)
{
    list({old_version, new_version});
    tracker_.set_regime(mixed);
    list_for(seconds(45), {new_version});
    EXPECT_FALSE(due_write());
    list_for(seconds(1), {new_version});
    EXPECT_EQ(due_write(), only_new);
}

TEST_F(regime_tracker_fixture, returned_version_restarts_the_quiet_time)
{
    tracker_.set_regime(mixed);
    list_for(seconds(44), {new_version});
    list({old_version, new_version});
    list_for(seconds(45), {new_version});
    EXPECT_FALSE(due_write());
    list_for(seconds(1), {new_version});
    EXPECT_EQ(due_write(), only_new);
}

/// Guards against a version that came and went while the list was not read.
TEST_F(regime_tracker_fixture, gap_in_the_list_restarts_the_quiet_time)
{
    tracker_.set_regime(mixed);
    list_for(seconds(50), {new_version});
    now_ += seconds(9);
    EXPECT_FALSE(due_write()) << "the list is not current";
    list({new_version});
    EXPECT_FALSE(due_write());
    list_for(seconds(45), {new_version});
    EXPECT_EQ(due_write(), only_new);
}

/// Guards against a single regime that others replaced twice meanwhile.
TEST_F(regime_tracker_fixture, gap_in_the_list_ends_trust_in_a_single_regime)
{
    list({old_version});
    tracker_.set_regime(only_old);
    now_ += seconds(9);
    list({old_version});
    EXPECT_TRUE(tracker_.needs_read());
    EXPECT_TRUE(tracker_.needs_record(old_version));
    tracker_.set_regime(only_old);
    EXPECT_FALSE(tracker_.needs_read());
    EXPECT_FALSE(tracker_.needs_record(old_version));
}

TEST_F(regime_tracker_fixture, returned_version_is_recorded_until_the_next_read)
{
    list({old_version});
    tracker_.set_regime(only_old);
    list_for(seconds(1), {new_version});
    list_for(seconds(1), {old_version});
    EXPECT_FALSE(due_write());
    EXPECT_TRUE(tracker_.needs_read());
    EXPECT_TRUE(tracker_.needs_record(old_version));
}

/// Guards against reads without end while a service has no upstreams.
TEST_F(regime_tracker_fixture, empty_list_needs_no_call)
{
    list({old_version});
    for (const auto& regime : {only_old, mixed})
    {
        tracker_.set_regime(regime);
        list_for(seconds(60), {});
        EXPECT_FALSE(tracker_.needs_read());
        EXPECT_FALSE(due_write());
    }
}

/// Guards against streams without a record that began before the row, in a
/// store that returned from a copy without it.
TEST_F(regime_tracker_fixture, regime_of_an_absent_row_says_since_when_it_holds)
{
    tracker_.set_regime(absent_regime{});
    list({old_version});
    EXPECT_EQ(
        tracker_.due_write(now_, written_at),
        version_regime(
            single_version{.version = old_version, .since = written_at}));
}

/// Guards against streams that go on at the version that the row named before a
/// release, of which the store has lost all rows.
TEST_F(regime_tracker_fixture, regime_of_an_earlier_era_records_each_stream)
{
    list({old_version});
    tracker_.set_regime(lapsed_old);
    EXPECT_TRUE(tracker_.needs_record(old_version));
    EXPECT_FALSE(tracker_.begins_at());
    EXPECT_FALSE(tracker_.needs_read());
    EXPECT_FALSE(due_write());
}

TEST_F(regime_tracker_fixture, regime_of_an_earlier_era_settles_with_the_list)
{
    list({old_version});
    tracker_.set_regime(lapsed_old);
    EXPECT_EQ(tracker_.settles_in(now_), duration(seconds(3)));
    list_for(seconds(2), {old_version});
    EXPECT_EQ(tracker_.settles_in(now_), duration(seconds(1)));
    EXPECT_FALSE(due_write());
    // Reading the row once more does not begin the time again.
    tracker_.set_regime(
        lapsed_version{.version = old_version, .read_at = now_});
    list_for(seconds(1), {old_version});
    EXPECT_EQ(tracker_.settles_in(now_), duration::zero());
    EXPECT_EQ(
        tracker_.due_write(now_, written_at),
        version_regime(
            single_version{.version = old_version, .since = written_at}));
}

TEST_F(
    regime_tracker_fixture, version_settles_only_by_a_list_that_is_read_later)
{
    list({old_version});
    tracker_.set_regime(lapsed_old);
    EXPECT_FALSE(tracker_.needs_list(now_));
    now_ += seconds(3);
    EXPECT_TRUE(tracker_.needs_list(now_));
    EXPECT_NE(tracker_.settles_in(now_), duration::zero());
    list({old_version});
    EXPECT_FALSE(tracker_.needs_list(now_));
    EXPECT_EQ(tracker_.settles_in(now_), duration::zero());
}

TEST_F(regime_tracker_fixture, second_return_of_the_store_begins_the_time_again)
{
    list({old_version});
    tracker_.set_regime(lapsed_old);
    list_for(seconds(3), {old_version});
    EXPECT_EQ(tracker_.settles_in(now_), duration::zero());
    tracker_.set_regime(unknown_regime{});
    tracker_.set_regime(
        lapsed_version{.version = old_version, .read_at = now_});
    EXPECT_EQ(tracker_.settles_in(now_), duration(seconds(3)));
}

TEST_F(
    regime_tracker_fixture,
    other_listed_version_ends_a_regime_of_an_earlier_era)
{
    tracker_.set_regime(lapsed_old);
    list({old_version, new_version});
    EXPECT_FALSE(tracker_.settles_in(now_));
    EXPECT_EQ(due_write(), mixed);
    list({new_version});
    EXPECT_FALSE(tracker_.settles_in(now_));
    EXPECT_EQ(due_write(), mixed);
}

TEST_F(regime_tracker_fixture, version_does_not_settle_by_an_old_list)
{
    list({old_version});
    tracker_.set_regime(lapsed_old);
    list_for(seconds(3), {old_version});
    now_ += seconds(9);
    EXPECT_FALSE(tracker_.settles_in(now_));
    EXPECT_FALSE(due_write());
}

TEST(version_regime, record_holds_in_its_own_era_only)
{
    const regime_record record{.regime = only_old, .era = first_era};
    EXPECT_EQ(regime_in_era(record, first_era, mono_time{}), only_old);
    EXPECT_EQ(regime_in_era(record, second_era, mono_time{}), lapsed_old);
    EXPECT_EQ(named_version(lapsed_old), old_version);
    const regime_record mixed_record{.regime = mixed, .era = first_era};
    EXPECT_EQ(regime_in_era(mixed_record, second_era, mono_time{}), mixed);
}

/// Rows of the release before this one have no era.
TEST(version_regime, record_without_an_era_holds_in_none)
{
    const auto decoded = decode_regime(R"({"single":"1"})");
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(
        regime_in_era(decoded.value(), first_era, mono_time{}), lapsed_old);
}

TEST(version_regime, name_contains_the_single_version)
{
    EXPECT_EQ(name(unknown_regime{}), "unknown");
    EXPECT_EQ(name(absent_regime{}), "absent");
    EXPECT_EQ(name(only_old), "single:1");
    EXPECT_EQ(name(mixed), "mixed");
    EXPECT_EQ(name(lapsed_old), "lapsed:1");
}

TEST(version_regime, malformed_value_is_named_in_the_error)
{
    for (const auto* const value :
         {"", "[]", "{", "{}", R"({"single":1})", R"({"mixed":false})",
          R"({"mixed":1})"})
    {
        const auto decoded = decode_regime(value);
        ASSERT_FALSE(decoded.has_value()) << value;
        EXPECT_EQ(decoded.error().code, result_code::malformed_message);
        EXPECT_NE(decoded.error().detail.find(value), std::string::npos);
    }
}

RC_GTEST_PROP(version_regime, encoded_regime_is_decoded_unchanged, ())
{
    const auto text =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    const store_era era{*rc::gen::arbitrary<std::uint64_t>()};
    const auto since = *rc::gen::inRange<std::int64_t>(0, 1LL << 40);
    const regime_record single{
        .regime =
            single_version{
                .version = software_version{text}, .since = store_time(since)},
        .era = era};
    const auto decoded = decode_regime(encode(single));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value() == single);
    const regime_record several{.regime = mixed, .era = era};
    RC_ASSERT(decode_regime(encode(several)).value() == several);
}

} // namespace
} // namespace wagtailseam::stream_origin
