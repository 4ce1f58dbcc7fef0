// Order gate: refusals by number, by state, and of dispatches.
#include "weights/weight_order_handler.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::weights
{
namespace
{

class weight_order_handler_test : public testing::Test
{
protected:
    static engine_setup setup(std::uint64_t version)
    {
        return {.model = model_id{"m"}, .version = weight_version{version}};
    }
    static order_received order(std::uint64_t fencing, std::uint64_t message)
    {
        return {
            call_id{1},
            {{fencing_number{fencing}, message},
             incarnation{3},
             setup(fencing + 10)}};
    }
    template <class T>
    const T* sent(const order_handler_event& what)
    {
        out_ = gate_.handle(what);
        for (const order_handler_command& command : out_)
        {
            if (const T* const found = std::get_if<T>(&command))
            {
                return found;
            }
        }
        return nullptr;
    }
    result_code refusal(const order_handler_event& what)
    {
        const auto* const ended = sent<order_completed>(what);
        return ended == nullptr ? result_code::ok : ended->code;
    }
    void start(std::uint64_t floor)
    {
        (void)gate_.handle(fencing_read{fencing_number{floor}});
        (void)gate_.handle(engine_reported{setup(1)});
    }
    result_code dispatch(std::uint64_t version) const
    {
        return gate_.check_dispatch(model_id{"m"}, weight_version{version});
    }

    weight_order_handler gate_{incarnation{3}};
    std::vector<order_handler_command> out_;
};

TEST_F(
    weight_order_handler_test,
    order_before_floor_was_read_is_refused_and_floor_read)
{
    EXPECT_NE(sent<read_fencing>(order(5, 1)), nullptr);
    EXPECT_EQ(refusal(order(5, 1)), result_code::not_ready);
}

TEST_F(weight_order_handler_test, order_below_floor_of_table_is_refused)
{
    start(6);
    EXPECT_EQ(refusal(order(5, 1)), result_code::stale_fencing_number);
    EXPECT_NE(sent<send_order>(order(6, 1)), nullptr);
}

TEST_F(
    weight_order_handler_test, order_overtaken_by_later_question_never_begins)
{
    start(1);
    (void)gate_.handle(status_requested{call_id{2}, {fencing_number{5}, 9}});
    EXPECT_EQ(refusal(order(5, 8)), result_code::tombstoned);
    EXPECT_EQ(refusal(order(4, 99)), result_code::stale_fencing_number);
}

TEST_F(weight_order_handler_test, order_for_earlier_life_of_sidecar_is_refused)
{
    start(1);
    order_received late = order(1, 1);
    late.order.target = incarnation{2};
    EXPECT_EQ(refusal(late), result_code::stale_incarnation);
}

TEST_F(
    weight_order_handler_test,
    order_while_another_is_under_way_is_refused_as_busy)
{
    start(1);
    EXPECT_NE(sent<send_order>(order(1, 1)), nullptr);
    EXPECT_EQ(refusal(order(2, 1)), result_code::upstream_busy);
}

TEST_F(
    weight_order_handler_test, order_before_engine_reported_is_refused_as_busy)
{
    (void)gate_.handle(fencing_read{fencing_number{1}});
    EXPECT_EQ(refusal(order(1, 1)), result_code::upstream_busy);
}

TEST_F(weight_order_handler_test, repeated_order_that_was_done_is_answered_ok)
{
    start(1);
    const auto* const begun = sent<send_order>(order(1, 1));
    ASSERT_NE(begun, nullptr);
    (void)gate_.handle(engine_answered{begun->sent});
    EXPECT_EQ(sent<send_order>(order(1, 1)), nullptr);
    EXPECT_NE(sent<order_completed>(order(1, 1)), nullptr);
    EXPECT_EQ(refusal(order(1, 1)), result_code::ok);
}

TEST_F(
    weight_order_handler_test,
    dispatch_during_swap_or_of_other_version_is_refused)
{
    EXPECT_EQ(dispatch(1), result_code::weight_version_mismatch);
    start(1);
    EXPECT_EQ(dispatch(1), result_code::ok);
    EXPECT_EQ(dispatch(11), result_code::weight_version_mismatch);
    const auto* const begun = sent<send_order>(order(1, 1));
    ASSERT_NE(begun, nullptr);
    EXPECT_EQ(dispatch(1), result_code::weight_version_mismatch);
    EXPECT_EQ(dispatch(11), result_code::weight_version_mismatch);
    EXPECT_NE(sent<version_changed>(engine_answered{begun->sent}), nullptr);
    EXPECT_EQ(dispatch(11), result_code::ok);
    EXPECT_EQ(dispatch(1), result_code::weight_version_mismatch);
}

TEST_F(weight_order_handler_test, failed_order_leaves_the_version_as_it_was)
{
    start(1);
    const auto* const begun = sent<send_order>(order(1, 1));
    ASSERT_NE(begun, nullptr);
    (void)gate_.handle(
        engine_answered{begun->sent, result_code::upstream_refused});
    EXPECT_EQ(dispatch(1), result_code::ok);
}

TEST_F(
    weight_order_handler_test, load_begun_by_earlier_sidecar_counts_as_loading)
{
    (void)gate_.handle(fencing_read{fencing_number{1}});
    (void)gate_.handle(engine_reported{setup(1), true});
    EXPECT_EQ(dispatch(1), result_code::weight_version_mismatch);
    EXPECT_EQ(refusal(order(1, 1)), result_code::upstream_busy);
    (void)gate_.handle(engine_reported{setup(2), false});
    EXPECT_EQ(dispatch(2), result_code::ok);
}

} // namespace
} // namespace wagtailseam::weights
