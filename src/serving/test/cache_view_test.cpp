// What is fetched from a cache store and what is not, when stores restart,
// fall silent or lose events.
#include "serving/cache_view.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id store_name{"store"};
const http::address store_address{"10.0.0.9:80"};
const cache_salt salt{"w1.m"};
const data_centre_id here{"here"};

class cache_view_fixture : public testing::Test
{
protected:
    cache_view_fixture()
    {
        view_.set_stores(
            {{.service = store_name,
              .address = store_address,
              .data_centre = here,
              .capacity = token_count{1000}}});
    }

    void hear(
        std::uint64_t epoch, std::vector<cache_change> changes = {},
        bool gap = false)
    {
        if (epoch != epoch_)
        {
            epoch_ = epoch;
            next_ = 0;
        }
        const auto after = next_;
        for (auto& change : changes)
        {
            change.number = ++next_;
        }
        (void)view_.apply(
            store_name,
            cache_changes{
                .epoch = store_epoch{epoch},
                .after = after,
                .next_cursor = next_,
                .gap = gap,
                .clock_ms = clock_ms(),
                .changes = std::move(changes)},
            now_);
    }

    /// The store's clock leads this process's by a fixed time.
    [[nodiscard]] std::int64_t clock_ms() const
    {
        constexpr std::int64_t lead = 4'000'000;
        return lead +
               std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
                   .count();
    }

    [[nodiscard]] static cache_change kept(
        const std::string& part, std::uint64_t tokens)
    {
        return {{salt, part_id{part}}, token_count{tokens}};
    }

    [[nodiscard]] cache_plan plan()
    {
        return view_.plan(asked_, salt, here, milliseconds(500), wait_, now_);
    }

    cache_view view_;
    mono_time now_{seconds(1000)};
    duration wait_{};
    std::uint64_t next_ = 0;
    std::uint64_t epoch_ = 0;
    prompt_metadata asked_{
        .model = model_id{"m"},
        .parts = {
            {part_id{"a"}, token_count{100}},
            {part_id{"b"}, token_count{200}},
            {part_id{"own"}, token_count{30}}}};
};

TEST_F(cache_view_fixture, nothing_is_fetched_or_kept_before_store_spoke)
{
    const auto made = plan();
    EXPECT_FALSE(made.parts[0].fetch_from);
    EXPECT_FALSE(made.parts[0].save_to);
}

TEST_F(cache_view_fixture, complete_part_is_fetched_and_missing_one_kept)
{
    hear(1, {kept("a", 100)});
    const auto made = plan();
    EXPECT_EQ(made.parts[0].fetch_from, store_address);
    EXPECT_FALSE(made.parts[0].save_to);
    EXPECT_FALSE(made.parts[1].fetch_from);
    EXPECT_EQ(made.parts[1].save_to, store_address);
}

TEST_F(cache_view_fixture, part_of_the_request_itself_is_left_alone)
{
    hear(1, {kept("own", 30)});
    const auto made = plan();
    EXPECT_FALSE(made.parts[2].fetch_from);
    EXPECT_FALSE(made.parts[2].save_to);
}

TEST_F(cache_view_fixture, part_kept_shorter_than_asked_is_not_fetched)
{
    hear(1, {kept("a", 99)});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, part_after_a_missing_one_is_not_fetched)
{
    hear(1, {kept("b", 200)});
    EXPECT_FALSE(plan().parts[1].fetch_from);
}

TEST_F(cache_view_fixture, part_under_other_salt_is_not_fetched)
{
    hear(1, {{{cache_salt{"w2.m"}, part_id{"a"}}, token_count{100}}});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, freed_part_is_not_fetched)
{
    hear(1, {kept("a", 100)});
    hear(1, {kept("a", 0)});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, restarted_store_is_believed_empty)
{
    hear(1, {kept("a", 100)});
    hear(2);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, gap_drops_belief_and_asks_for_the_content)
{
    hear(1, {kept("a", 100)});
    EXPECT_EQ(
        view_.apply(
            store_name,
            cache_changes{
                .epoch = store_epoch{1},
                .after = 1,
                .next_cursor = 9,
                .gap = true},
            now_),
        resync_action::read_content);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, hole_keeps_belief_and_asks_for_the_changes)
{
    // A datagram was lost; polls for all changes would be refused by a store
    // that answers twelve at once.
    hear(1, {kept("a", 100)});
    cache_changes later{
        .epoch = store_epoch{1},
        .after = 5,
        .next_cursor = 6,
        .clock_ms = clock_ms(),
        .changes = {kept("b", 200)}};
    later.changes[0].number = 6;
    EXPECT_EQ(
        view_.apply(store_name, later, now_), resync_action::poll_changes);
    EXPECT_TRUE(plan().parts[0].fetch_from);
    EXPECT_FALSE(plan().parts[1].fetch_from);
    EXPECT_EQ(view_.poll_cursor(store_name), 1U);
}

TEST_F(cache_view_fixture, change_told_twice_counts_once)
{
    hear(1, {kept("a", 100)});
    hear(1, {kept("a", 0)});
    // An older word that came another way.
    cache_changes again{
        .epoch = store_epoch{1},
        .next_cursor = 1,
        .clock_ms = clock_ms(),
        .changes = {kept("a", 100)}};
    again.changes[0].number = 1;
    EXPECT_EQ(view_.apply(store_name, again, now_), resync_action::none);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, other_life_heard_from_its_middle_is_not_fetched_from)
{
    hear(1, {kept("a", 100)});
    const cache_changes other{
        .epoch = store_epoch{2},
        .after = 7,
        .next_cursor = 7,
        .clock_ms = clock_ms()};
    EXPECT_EQ(
        view_.apply(store_name, other, now_), resync_action::poll_changes);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    EXPECT_EQ(view_.poll_cursor(store_name), 0U);
}

TEST_F(cache_view_fixture, word_that_lay_in_a_frozen_process_is_old)
{
    // The store may have restarted while this process did not run.
    hear(1, {kept("a", 100)});
    const cache_changes before_freeze{
        .epoch = store_epoch{1},
        .after = 1,
        .next_cursor = 1,
        .clock_ms = clock_ms()};
    now_ += seconds(3);
    (void)view_.apply(store_name, before_freeze, now_);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    hear(1);
    EXPECT_TRUE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, silent_store_is_not_fetched_from)
{
    // It may have restarted, and be writing the same part anew.
    hear(1, {kept("a", 100)});
    now_ += milliseconds(1601);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, broken_connection_suspends_belief_at_once)
{
    hear(1, {kept("a", 100)});
    view_.mark_unreachable(store_name);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    hear(1);
    EXPECT_TRUE(plan().parts[0].fetch_from);
    view_.mark_unreachable(store_name);
    hear(2);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, fetch_ends_within_part_of_the_latency_target)
{
    hear(1, {kept("a", 100)});
    now_ += milliseconds(100);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 100 + 275);
}

TEST_F(cache_view_fixture, fetch_at_a_crowded_engine_has_its_queue_time_too)
{
    // Otherwise every fetch there comes too late, the prompt is read, and the
    // queue grows.
    hear(1, {kept("a", 100)});
    wait_ = milliseconds(300);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 300 + 275);
    wait_ = seconds(60);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 500 + 275);
}

TEST_F(cache_view_fixture, fetch_never_outlasts_the_rest_before_a_sweep)
{
    hear(1, {kept("a", 100)});
    const auto made =
        view_.plan(asked_, salt, here, seconds(30), seconds(30), now_);
    EXPECT_EQ(made.fetch_deadline_ms, 5'000'000 + 900);
}

TEST_F(cache_view_fixture, part_sent_to_be_kept_is_not_sent_again_soon)
{
    hear(1);
    EXPECT_TRUE(plan().parts[0].save_to);
    EXPECT_FALSE(plan().parts[0].save_to);
    now_ += milliseconds(2001);
    hear(1);
    EXPECT_TRUE(plan().parts[0].save_to);
}

TEST_F(cache_view_fixture, configuration_that_keeps_a_store_keeps_its_content)
{
    hear(1, {kept("a", 100)});
    view_.set_stores(
        {{.service = store_name,
          .address = store_address,
          .capacity = token_count{1000}}});
    EXPECT_TRUE(plan().parts[0].fetch_from);
    view_.set_stores({});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

/// Two kinds of store, as on the users' sites: small ones with fast links, and
/// a large one with a slow link that all sessions share.
class cache_tiers_fixture : public cache_view_fixture
{
protected:
    cache_tiers_fixture()
    {
        view_.set_stores({fast_, slow_});
        hear_both();
    }

    void hear_from(
        const cache_store& store, std::uint64_t& next,
        std::vector<cache_change> changes)
    {
        const auto after = next;
        for (auto& change : changes)
        {
            change.number = ++next;
        }
        (void)view_.apply(
            store.service,
            cache_changes{
                .epoch = store_epoch{1},
                .after = after,
                .next_cursor = next,
                .clock_ms = clock_ms(),
                .changes = std::move(changes)},
            now_);
    }

    void hear_fast(std::vector<cache_change> changes = {})
    {
        hear_from(fast_, fast_next_, std::move(changes));
    }

    void hear_both(std::vector<cache_change> in_slow = {})
    {
        hear_fast();
        hear_from(slow_, slow_next_, std::move(in_slow));
    }

    std::uint64_t fast_next_ = 0;
    std::uint64_t slow_next_ = 0;
    cache_store fast_{
        .service = service_id{"fast"},
        .address = http::address{"10.0.0.1:1"},
        .data_centre = data_centre_id{"there"},
        .capacity = token_count{150},
        .link_rate = byte_rate{100.0}};
    cache_store slow_{
        .service = service_id{"slow"},
        .address = http::address{"10.0.0.2:2"},
        .data_centre = here,
        .capacity = token_count{100'000},
        .link_rate = byte_rate{30.0}};
};

TEST_F(cache_tiers_fixture, part_used_by_all_moves_to_the_fast_store)
{
    hear_both({kept("a", 100)});
    std::optional<http::address> moved_to;
    for (int use = 0; use < 10 && !moved_to; ++use)
    {
        moved_to = plan().parts[0].save_to;
    }
    EXPECT_EQ(moved_to, fast_.address);
}

TEST_F(cache_tiers_fixture, part_used_now_and_then_stays_where_it_is)
{
    for (int use = 0; use < 20; ++use)
    {
        hear_both({kept("a", 100)});
        EXPECT_FALSE(plan().parts[0].save_to);
        now_ += seconds(5);
    }
}

TEST_F(cache_tiers_fixture, full_store_is_not_asked_to_keep_more)
{
    hear_fast({kept("x", 100)});
    for (int at = 0; at < 50; ++at)
    {
        asked_.parts[0].id = part_id{"p" + std::to_string(at)};
        EXPECT_NE(plan().parts[0].save_to, fast_.address);
    }
}

TEST_F(cache_tiers_fixture, part_in_both_is_fetched_over_the_faster_way)
{
    hear_both({kept("a", 100)});
    hear_fast({kept("a", 100)});
    EXPECT_EQ(plan().parts[0].fetch_from, fast_.address);
}

RC_GTEST_PROP(
    cache_view, only_parts_held_in_the_present_epoch_are_fetched,
    (const std::vector<std::uint8_t>& steps))
{
    // A store's content as it really is, beside what the view is told of it.
    cache_view view;
    view.set_stores(
        {{.service = store_name,
          .address = store_address,
          .capacity = token_count{1000}}});
    mono_time now{seconds(1000)};
    std::uint64_t epoch = 1;
    std::uint64_t next = 0;
    std::map<part_id, bool> held;
    const prompt_metadata asked{
        .parts = {
            {part_id{"a"}, token_count{10}}, {part_id{"z"}, token_count{1}}}};
    for (const auto step : steps)
    {
        now += milliseconds(step);
        cache_changes told{
            .epoch = store_epoch{epoch},
            .after = next,
            .next_cursor = next,
            .clock_ms =
                std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                    .count()};
        const bool complete = step % 3 == 0;
        switch (step / 3 % 4)
        {
        case 0:
            held[part_id{"a"}] = complete;
            told.changes = {
                {{salt, part_id{"a"}},
                 token_count{complete ? 10U : 0U},
                 ++next}};
            told.next_cursor = next;
            (void)view.apply(store_name, told, now);
            break;
        case 1:
            held.clear();
            ++epoch;
            view.mark_unreachable(store_name);
            next = 0;
            break;
        case 2:
            (void)view.apply(store_name, told, now);
            break;
        default:
            break;
        }
        const auto made = view.plan(
            asked, salt, data_centre_id{}, milliseconds(500), duration{}, now);
        if (made.parts[0].fetch_from)
        {
            RC_ASSERT(held[part_id{"a"}]);
        }
    }
}

TEST(cache_salt, names_weights_and_isolated_workspace)
{
    const model_id model{"m"};
    const workspace open{.id = workspace_id{"w"}};
    const workspace walled{.id = workspace_id{"w"}, .isolated = true};
    const auto shared = make_cache_salt(model, weight_version{3}, open);
    EXPECT_EQ(version_from_salt(shared), weight_version{3});
    EXPECT_EQ(model_from_salt(shared), model);
    EXPECT_NE(shared, make_cache_salt(model, weight_version{4}, open));
    EXPECT_NE(shared, make_cache_salt(model, weight_version{3}, walled));
    EXPECT_EQ(
        version_from_salt(make_cache_salt(model, weight_version{3}, walled)),
        weight_version{3});
    EXPECT_FALSE(version_from_salt(cache_salt{"foreign"}));
    EXPECT_FALSE(version_from_salt(cache_salt{"wx.m"}));
}

} // namespace
} // namespace wagtailseam::serving
