// Functions on the worker's thread, and what runs meanwhile.
#include "runtime/worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <future>
#include <stdexcept>
#include <string>
#include <thread>

namespace wagtailseam::runtime
{
namespace
{

class worker_fixture : public testing::Test
{
protected:
    /// Runs the function on the worker and stores what it returns.
    template <class Function>
    asio::awaitable<void> store_result(Function function)
    {
        result_ = co_await worker_.run(std::move(function));
        resumed_on_ = std::this_thread::get_id();
    }

    asio::io_context context_{1};
    worker worker_;
    std::string result_;
    std::thread::id resumed_on_;
};

// The function ends only if a handler of the io_context runs beside it.
TEST_F(worker_fixture, handlers_run_while_the_function_waits_for_one)
{
    std::promise<std::string> released;
    auto function = [&] { return released.get_future().get(); };
    asio::co_spawn(context_, store_result(function), asio::detached);
    asio::post(
        context_,
        [&] { asio::post(context_, [&] { released.set_value("released"); }); });
    context_.run();
    EXPECT_EQ(result_, "released");
    EXPECT_EQ(resumed_on_, std::this_thread::get_id());
}

TEST_F(worker_fixture, exception_of_the_function_reaches_the_caller)
{
    std::string caught;
    auto function = []() -> std::string
    { throw std::runtime_error("not decoded"); };
    asio::co_spawn(
        context_, store_result(function),
        [&](std::exception_ptr error)
        {
            try
            {
                std::rethrow_exception(error);
            }
            catch (const std::runtime_error& failure)
            {
                caught = failure.what();
            }
        });
    context_.run();
    EXPECT_EQ(caught, "not decoded");
}

} // namespace
} // namespace wagtailseam::runtime
