// Stand-in of a plain service: each call executes once and is counted, so
// that a test can see whether a filing ran twice.
#include "control_flags.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <map>

ABSL_FLAG(int, delay_ms, 5, "Time that a call takes.");

namespace
{

using namespace wagtailseam;
using nlohmann::json;

class service_stand_in
{
public:
    service_stand_in(boost::asio::io_context& context, int delay_ms)
        : context_(context), delay_(delay_ms)
    {
    }

    asio::awaitable<void> serve(http::exchange& exchange)
    {
        const auto path = exchange.received_request().path();
        if (path == "/v1/load")
        {
            const json load{{"running", running_}, {"queued", 0}};
            co_await stand_ins::send_json(exchange, load.dump());
        }
        else if (path == "/control/executions")
        {
            co_await stand_ins::send_json(exchange, json(counts_).dump());
        }
        else if (path.starts_with("/call/"))
        {
            co_await call(exchange);
        }
        else
        {
            constexpr unsigned not_found = 404;
            co_await stand_ins::send_json(exchange, "{}", not_found);
        }
    }

private:
    asio::awaitable<void> call(http::exchange& exchange)
    {
        const auto& asked = exchange.received_request();
        std::string key(asked.header("Idempotency-Key"));
        // The service itself does not look at the key: it only counts.
        const int execution =
            ++counts_[key.empty() ? std::string(asked.path()) : key];
        ++running_;
        if (delay_.count() > 0)
        {
            asio::steady_timer timer(context_, delay_);
            co_await timer.async_wait(asio::use_awaitable);
        }
        --running_;
        const json answer{
            {"operation", asked.path().substr(std::string("/call/").size())},
            {"execution", execution},
            {"number", ++number_},
            {"asked", json::parse(asked.body, nullptr, false)}};
        co_await stand_ins::send_json(exchange, answer.dump());
    }

    boost::asio::io_context& context_;
    std::chrono::milliseconds delay_;
    std::map<std::string, int> counts_;
    int running_ = 0;
    int number_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    service_stand_in service(context, absl::GetFlag(FLAGS_delay_ms));
    return stand_ins::serve(
        context, "service_stand_in",
        [&service](http::exchange& exchange)
        { return service.serve(exchange); });
}
