// Rejection of orders by number, by state and by sidecar instance, and of
// dispatches by version.
#include "weights/weight_order_handler.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::weights
{
namespace
{

class weight_order_handler_test : public testing::Test
{
protected:
    static engine_setup make_setup(std::uint64_t version)
    {
        return {.model = model_id{"m"}, .version = weight_version{version}};
    }
    static order_received make_order(
        std::uint64_t fencing, std::uint64_t message)
    {
        return {
            call_id{1},
            {{fencing_number{fencing}, message},
             incarnation{3},
             make_setup(fencing + 10)}};
    }
    template <class T>
    const T* find_command(const order_handler_event& event)
    {
        commands_ = handler_.handle(event);
        for (const order_handler_command& command : commands_)
        {
            if (const T* const found = std::get_if<T>(&command))
            {
                return found;
            }
        }
        return nullptr;
    }
    result_code completion_code(const order_handler_event& event)
    {
        const auto* const completed = find_command<order_completed>(event);
        return completed == nullptr ? result_code::ok : completed->code;
    }
    void start(std::uint64_t minimum)
    {
        (void)handler_.handle(fencing_read{fencing_number{minimum}});
        (void)handler_.handle(engine_reported{make_setup(1)});
    }
    result_code check_dispatch(std::uint64_t version) const
    {
        return handler_.check_dispatch(model_id{"m"}, weight_version{version});
    }

    weight_order_handler handler_{incarnation{3}};
    std::vector<order_handler_command> commands_;
};

TEST_F(
    weight_order_handler_test,
    order_before_minimum_is_known_is_rejected_and_requests_read)
{
    EXPECT_NE(find_command<read_fencing>(make_order(5, 1)), nullptr);
    EXPECT_EQ(completion_code(make_order(5, 1)), result_code::not_ready);
}

TEST_F(weight_order_handler_test, order_below_minimum_from_table_is_rejected)
{
    start(6);
    EXPECT_EQ(
        completion_code(make_order(5, 1)), result_code::stale_fencing_number);
    EXPECT_NE(find_command<send_order>(make_order(6, 1)), nullptr);
}

TEST_F(weight_order_handler_test, order_older_than_status_request_is_rejected)
{
    start(1);
    (void)handler_.handle(status_requested{call_id{2}, {fencing_number{5}, 9}});
    EXPECT_EQ(completion_code(make_order(5, 8)), result_code::tombstoned);
    EXPECT_EQ(
        completion_code(make_order(4, 99)), result_code::stale_fencing_number);
}

TEST_F(
    weight_order_handler_test, order_for_previous_sidecar_instance_is_rejected)
{
    start(1);
    order_received misdirected = make_order(1, 1);
    misdirected.order.target = incarnation{2};
    EXPECT_EQ(completion_code(misdirected), result_code::stale_incarnation);
}

TEST_F(
    weight_order_handler_test,
    order_while_another_is_in_progress_is_rejected_as_busy)
{
    start(1);
    EXPECT_NE(find_command<send_order>(make_order(1, 1)), nullptr);
    EXPECT_EQ(completion_code(make_order(2, 1)), result_code::upstream_busy);
}

TEST_F(
    weight_order_handler_test,
    order_before_first_engine_report_is_rejected_as_busy)
{
    (void)handler_.handle(fencing_read{fencing_number{1}});
    EXPECT_EQ(completion_code(make_order(1, 1)), result_code::upstream_busy);
}

TEST_F(weight_order_handler_test, repeated_completed_order_is_answered_ok)
{
    start(1);
    const auto* const request = find_command<send_order>(make_order(1, 1));
    ASSERT_NE(request, nullptr);
    (void)handler_.handle(engine_answered{request->request_id});
    EXPECT_EQ(find_command<send_order>(make_order(1, 1)), nullptr);
    EXPECT_NE(find_command<order_completed>(make_order(1, 1)), nullptr);
    EXPECT_EQ(completion_code(make_order(1, 1)), result_code::ok);
}

TEST_F(
    weight_order_handler_test,
    dispatch_during_load_or_for_other_version_is_rejected)
{
    EXPECT_EQ(check_dispatch(1), result_code::weight_version_mismatch);
    start(1);
    EXPECT_EQ(check_dispatch(1), result_code::ok);
    EXPECT_EQ(check_dispatch(11), result_code::weight_version_mismatch);
    const auto* const request = find_command<send_order>(make_order(1, 1));
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(check_dispatch(1), result_code::weight_version_mismatch);
    EXPECT_EQ(check_dispatch(11), result_code::weight_version_mismatch);
    EXPECT_NE(
        find_command<version_changed>(engine_answered{request->request_id}),
        nullptr);
    EXPECT_EQ(check_dispatch(11), result_code::ok);
    EXPECT_EQ(check_dispatch(1), result_code::weight_version_mismatch);
}

TEST_F(weight_order_handler_test, failed_order_keeps_the_version)
{
    start(1);
    const auto* const request = find_command<send_order>(make_order(1, 1));
    ASSERT_NE(request, nullptr);
    (void)handler_.handle(
        engine_answered{request->request_id, result_code::upstream_refused});
    EXPECT_EQ(check_dispatch(1), result_code::ok);
}

TEST_F(
    weight_order_handler_test,
    load_started_by_previous_sidecar_counts_as_loading)
{
    (void)handler_.handle(fencing_read{fencing_number{1}});
    (void)handler_.handle(engine_reported{make_setup(1), true});
    EXPECT_EQ(check_dispatch(1), result_code::weight_version_mismatch);
    EXPECT_EQ(completion_code(make_order(1, 1)), result_code::upstream_busy);
    (void)handler_.handle(engine_reported{make_setup(2), false});
    EXPECT_EQ(check_dispatch(2), result_code::ok);
}

} // namespace
} // namespace wagtailseam::weights
