// A client, and a server that sends it scripted bytes.
#ifndef WAGTAILSEAM_HTTP_TEST_RAW_SERVER_FIXTURE_HPP
#define WAGTAILSEAM_HTTP_TEST_RAW_SERVER_FIXTURE_HPP

#include "http/client.hpp"
#include "http/test/raw_server.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace wagtailseam::http
{

class raw_server_fixture : public testing::Test
{
protected:
    using tcp = asio::ip::tcp;

    [[nodiscard]] static request make_request(std::size_t body_bytes = 0)
    {
        request message;
        message.method = "POST";
        message.body.assign(body_bytes, 'x');
        return message;
    }

    /// Fetches a whole response.
    result<response> fetch(std::size_t body_bytes = 0)
    {
        return run(open_and_read(make_request(body_bytes)));
    }

    /// Runs the coroutine to its end and returns its result.
    template <class T>
    T run(asio::awaitable<T> coroutine)
    {
        std::optional<T> outcome;
        const auto store = [&]() -> asio::awaitable<void>
        {
            auto value = co_await std::move(coroutine);
            outcome.emplace(std::move(value));
            context_.stop();
        };
        asio::co_spawn(context_, store(), asio::detached);
        context_.restart();
        context_.run();
        return std::move(outcome).value();
    }

    asio::io_context context_{1};
    raw_server server_{context_};
    client client_{context_.get_executor()};
    /// Options of fetch().
    open_options options_{
        .timeout = std::chrono::seconds(5), .force_new_connection = true};

private:
    asio::awaitable<result<response>> open_and_read(request message)
    {
        auto options = options_;
        auto opened = co_await client_.open(
            server_.server_address(), std::move(message), std::move(options));
        if (!opened)
        {
            co_return boost::outcome_v2::failure(opened.error());
        }
        co_return co_await read_to_end(
            std::move(opened).value(), options_.timeout);
    }
};

} // namespace wagtailseam::http

#endif
