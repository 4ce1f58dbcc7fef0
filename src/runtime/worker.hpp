// Runs long computations beside the io_context.
#ifndef WAGTAILSEAM_RUNTIME_WORKER_HPP
#define WAGTAILSEAM_RUNTIME_WORKER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace wagtailseam::runtime
{

namespace asio = boost::asio;

/// Functions on inputs of this size run on the worker's thread: on a small
/// share of a processor, decoding a megabyte takes half a second.
inline constexpr std::size_t min_worker_bytes = std::size_t{64} * 1024;

/// One thread that is started when it is first needed. Handlers of the caller's
/// io_context go on while a function runs, so the function must not touch what
/// they use.
class worker
{
public:
    /// Runs the function and resumes the caller on its own executor. Functions
    /// run in the order of the calls.
    /// @throws what the function throws
    template <class Function>
    asio::awaitable<std::invoke_result_t<Function>> run(Function function)
    {
        using value = std::invoke_result_t<Function>;
        if (!thread_)
        {
            thread_.emplace(1U);
        }
        auto computation = compute<value>(std::move(function));
        std::unique_ptr<value> computed = co_await asio::co_spawn(
            thread_->get_executor(), std::move(computation),
            asio::use_awaitable);
        co_return std::move(*computed);
    }

    /// Runs a function on a small input at once, like run() on a larger one.
    template <class Function>
    asio::awaitable<std::invoke_result_t<Function>> run_if_large(
        std::size_t input_bytes, Function function)
    {
        if (input_bytes < min_worker_bytes)
        {
            co_return function();
        }
        co_return co_await run(std::move(function));
    }

private:
    template <class Value, class Function>
    static asio::awaitable<std::unique_ptr<Value>> compute(Function function)
    {
        co_return std::make_unique<Value>(function());
    }

    std::optional<asio::thread_pool> thread_;
};

} // namespace wagtailseam::runtime

#endif
