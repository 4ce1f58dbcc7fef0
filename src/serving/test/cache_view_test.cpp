// Fetch and save plans while stores restart, stop answering or lose changes.
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
const data_centre_id local_data_centre{"here"};

class cache_view_fixture : public testing::Test
{
protected:
    cache_view_fixture()
    {
        view_.set_stores(
            {{.service = store_name,
              .address = store_address,
              .data_centre = local_data_centre,
              .capacity = token_count{1000}}});
    }

    /// Applies an answer to a poll; a new epoch restarts its change numbers.
    void apply_answer(
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

    /// The store's clock is ahead of this process's by a constant offset.
    [[nodiscard]] std::int64_t clock_ms() const
    {
        constexpr std::int64_t offset_ms = 4'000'000;
        return offset_ms +
               std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
                   .count();
    }

    [[nodiscard]] static cache_change make_change(
        const std::string& part, std::uint64_t tokens)
    {
        return {{salt, part_id{part}}, token_count{tokens}};
    }

    [[nodiscard]] cache_plan plan()
    {
        return view_.plan(
            prompt_, salt, local_data_centre, milliseconds(500), expected_wait_,
            now_, std::nullopt);
    }

    cache_view view_;
    mono_time now_{seconds(1000)};
    duration expected_wait_{};
    std::uint64_t next_ = 0;
    std::uint64_t epoch_ = 0;
    prompt_metadata prompt_{
        .model = model_id{"m"},
        .parts = {
            {part_id{"a"}, token_count{100}},
            {part_id{"b"}, token_count{200}},
            {part_id{"own"}, token_count{30}}}};
};

TEST_F(cache_view_fixture, nothing_is_fetched_or_saved_before_first_answer)
{
    const auto result = plan();
    EXPECT_FALSE(result.parts[0].fetch_from);
    EXPECT_FALSE(result.parts[0].save_to);
}

TEST_F(cache_view_fixture, complete_part_is_fetched_and_missing_one_saved)
{
    apply_answer(1, {make_change("a", 100)});
    const auto result = plan();
    EXPECT_EQ(result.parts[0].fetch_from, store_address);
    EXPECT_FALSE(result.parts[0].save_to);
    EXPECT_FALSE(result.parts[1].fetch_from);
    EXPECT_EQ(result.parts[1].save_to, store_address);
}

TEST_F(cache_view_fixture, last_part_is_neither_fetched_nor_saved)
{
    apply_answer(1, {make_change("own", 30)});
    const auto result = plan();
    EXPECT_FALSE(result.parts[2].fetch_from);
    EXPECT_FALSE(result.parts[2].save_to);
}

TEST_F(cache_view_fixture, part_with_too_few_tokens_is_not_fetched)
{
    apply_answer(1, {make_change("a", 99)});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, part_after_a_missing_one_is_not_fetched)
{
    apply_answer(1, {make_change("b", 200)});
    EXPECT_FALSE(plan().parts[1].fetch_from);
}

TEST_F(cache_view_fixture, part_with_other_salt_is_not_fetched)
{
    apply_answer(1, {{{cache_salt{"w2.m"}, part_id{"a"}}, token_count{100}}});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, freed_part_is_not_fetched)
{
    apply_answer(1, {make_change("a", 100)});
    apply_answer(1, {make_change("a", 0)});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, restarted_store_counts_as_empty)
{
    apply_answer(1, {make_change("a", 100)});
    apply_answer(2);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, gap_discards_content_and_requests_listing)
{
    apply_answer(1, {make_change("a", 100)});
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

TEST_F(cache_view_fixture, missing_changes_keep_content_and_request_poll)
{
    // A datagram was lost. The store serves twelve concurrent polls, so it
    // would refuse polls of all gateways for all changes.
    apply_answer(1, {make_change("a", 100)});
    cache_changes later{
        .epoch = store_epoch{1},
        .after = 5,
        .next_cursor = 6,
        .clock_ms = clock_ms(),
        .changes = {make_change("b", 200)}};
    later.changes[0].number = 6;
    EXPECT_EQ(
        view_.apply(store_name, later, now_), resync_action::poll_changes);
    EXPECT_TRUE(plan().parts[0].fetch_from);
    EXPECT_FALSE(plan().parts[1].fetch_from);
    EXPECT_EQ(view_.poll_cursor(store_name), 1U);
}

TEST_F(cache_view_fixture, repeated_change_is_ignored)
{
    apply_answer(1, {make_change("a", 100)});
    apply_answer(1, {make_change("a", 0)});
    // An older answer that took another path.
    cache_changes repeated{
        .epoch = store_epoch{1},
        .next_cursor = 1,
        .clock_ms = clock_ms(),
        .changes = {make_change("a", 100)}};
    repeated.changes[0].number = 1;
    EXPECT_EQ(view_.apply(store_name, repeated, now_), resync_action::none);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(
    cache_view_fixture, new_epoch_without_its_first_changes_is_not_fetched_from)
{
    apply_answer(1, {make_change("a", 100)});
    const cache_changes new_epoch{
        .epoch = store_epoch{2},
        .after = 7,
        .next_cursor = 7,
        .clock_ms = clock_ms()};
    EXPECT_EQ(
        view_.apply(store_name, new_epoch, now_), resync_action::poll_changes);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    EXPECT_EQ(view_.poll_cursor(store_name), 0U);
}

TEST_F(cache_view_fixture, answer_received_after_suspension_of_process_is_stale)
{
    // The store may have restarted while this process was suspended.
    apply_answer(1, {make_change("a", 100)});
    const cache_changes before_suspension{
        .epoch = store_epoch{1},
        .after = 1,
        .next_cursor = 1,
        .clock_ms = clock_ms()};
    now_ += seconds(3);
    (void)view_.apply(store_name, before_suspension, now_);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    apply_answer(1);
    EXPECT_TRUE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, store_without_recent_answer_is_not_fetched_from)
{
    // It may have restarted and may be writing the same part again.
    apply_answer(1, {make_change("a", 100)});
    now_ += milliseconds(1601);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, broken_connection_suspends_fetches_at_once)
{
    apply_answer(1, {make_change("a", 100)});
    view_.mark_unreachable(store_name);
    EXPECT_FALSE(plan().parts[0].fetch_from);
    apply_answer(1);
    EXPECT_TRUE(plan().parts[0].fetch_from);
    view_.mark_unreachable(store_name);
    apply_answer(2);
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

TEST_F(cache_view_fixture, fetch_deadline_is_a_share_of_the_latency_target)
{
    apply_answer(1, {make_change("a", 100)});
    now_ += milliseconds(100);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 100 + 275);
}

TEST_F(cache_view_fixture, fetch_deadline_includes_the_expected_wait)
{
    // Otherwise every fetch at a busy engine misses its deadline, the engine
    // runs the prefill instead, and its queue grows.
    apply_answer(1, {make_change("a", 100)});
    expected_wait_ = milliseconds(300);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 300 + 275);
    expected_wait_ = seconds(60);
    EXPECT_EQ(plan().fetch_deadline_ms, 5'000'000 + 500 + 275);
}

TEST_F(cache_view_fixture, fetch_deadline_never_exceeds_max_fetch_time)
{
    apply_answer(1, {make_change("a", 100)});
    const auto result = view_.plan(
        prompt_, salt, local_data_centre, seconds(30), seconds(30), now_,
        std::nullopt);
    EXPECT_EQ(result.fetch_deadline_ms, 5'000'000 + 900);
}

TEST_F(cache_view_fixture, saved_part_is_not_saved_again_before_retry_delay)
{
    apply_answer(1);
    EXPECT_TRUE(plan().parts[0].save_to);
    EXPECT_FALSE(plan().parts[0].save_to);
    now_ += milliseconds(2001);
    apply_answer(1);
    EXPECT_TRUE(plan().parts[0].save_to);
}

TEST_F(cache_view_fixture, content_of_a_store_outlives_reconfiguration)
{
    apply_answer(1, {make_change("a", 100)});
    view_.set_stores(
        {{.service = store_name,
          .address = store_address,
          .capacity = token_count{1000}}});
    EXPECT_TRUE(plan().parts[0].fetch_from);
    view_.set_stores({});
    EXPECT_FALSE(plan().parts[0].fetch_from);
}

/// Two kinds of store, as in production: small ones with fast links, and a
/// large one with a slow link that all sessions share.
class cache_tiers_fixture : public cache_view_fixture
{
protected:
    cache_tiers_fixture()
    {
        view_.set_stores({fast_, slow_});
        apply_both();
    }

    void apply_answer_of(
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

    void apply_fast(std::vector<cache_change> changes = {})
    {
        apply_answer_of(fast_, fast_next_, std::move(changes));
    }

    void apply_both(std::vector<cache_change> slow_changes = {})
    {
        apply_fast();
        apply_answer_of(slow_, slow_next_, std::move(slow_changes));
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
        .data_centre = local_data_centre,
        .capacity = token_count{100'000},
        .link_rate = byte_rate{30.0}};
};

TEST_F(cache_tiers_fixture, hot_part_is_saved_to_the_fast_store)
{
    apply_both({make_change("a", 100)});
    std::optional<http::address> save_target;
    for (int use = 0; use < 10 && !save_target; ++use)
    {
        save_target = plan().parts[0].save_to;
    }
    EXPECT_EQ(save_target, fast_.address);
}

TEST_F(cache_tiers_fixture, rarely_used_part_is_not_moved)
{
    for (int use = 0; use < 20; ++use)
    {
        apply_both({make_change("a", 100)});
        EXPECT_FALSE(plan().parts[0].save_to);
        now_ += seconds(5);
    }
}

TEST_F(cache_tiers_fixture, nothing_is_saved_to_a_full_store)
{
    apply_fast({make_change("x", 100)});
    for (int i = 0; i < 50; ++i)
    {
        prompt_.parts[0].id = part_id{"p" + std::to_string(i)};
        EXPECT_NE(plan().parts[0].save_to, fast_.address);
    }
}

TEST_F(cache_tiers_fixture, part_in_both_stores_is_fetched_over_the_faster_link)
{
    apply_both({make_change("a", 100)});
    apply_fast({make_change("a", 100)});
    EXPECT_EQ(plan().parts[0].fetch_from, fast_.address);
}

RC_GTEST_PROP(
    cache_view, only_parts_held_in_the_current_epoch_are_fetched,
    (const std::vector<std::uint8_t>& steps))
{
    // Actual content of the store, of which the view sees only the answers.
    cache_view view;
    view.set_stores(
        {{.service = store_name,
          .address = store_address,
          .capacity = token_count{1000}}});
    mono_time now{seconds(1000)};
    std::uint64_t epoch = 1;
    std::uint64_t next = 0;
    std::map<part_id, bool> held;
    const prompt_metadata prompt{
        .parts = {
            {part_id{"a"}, token_count{10}}, {part_id{"z"}, token_count{1}}}};
    for (const auto step : steps)
    {
        now += milliseconds(step);
        cache_changes answer{
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
            answer.changes = {
                {{salt, part_id{"a"}},
                 token_count{complete ? 10U : 0U},
                 ++next}};
            answer.next_cursor = next;
            (void)view.apply(store_name, answer, now);
            break;
        case 1:
            held.clear();
            ++epoch;
            view.mark_unreachable(store_name);
            next = 0;
            break;
        case 2:
            (void)view.apply(store_name, answer, now);
            break;
        default:
            break;
        }
        const auto result = view.plan(
            prompt, salt, data_centre_id{}, milliseconds(500), duration{}, now,
            std::nullopt);
        if (result.parts[0].fetch_from)
        {
            RC_ASSERT(held[part_id{"a"}]);
        }
    }
}

} // namespace
} // namespace wagtailseam::serving
