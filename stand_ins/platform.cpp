// Stand-in of the platform: transactional table, object store, list of VMs,
// with outages, slowness and lost answers on request.
#include "control_flags.hpp"
#include "core/random_source.hpp"
#include "table_service/json_codec.hpp"
#include "table_service/memory_table.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults.");

namespace
{

using namespace wagtailseam;
using nlohmann::json;

/// A client has given up on its write long before.
constexpr std::chrono::milliseconds lost_answer_delay{2'000};
constexpr std::string_view object_root = "/v1/objects/";

/// Faults in force; each a probability within [0, 1] or a time.
struct fault_settings
{
    /// Refuses everything with 503.
    bool down = false;
    /// Applies a write and answers only when nobody waits any more.
    double lose_answer = 0;
    double refuse = 0;
    std::chrono::milliseconds delay{0};
};

class platform_stand_in
{
public:
    platform_stand_in(boost::asio::io_context& context, std::uint64_t seed)
        : context_(context), random_(seed)
    {
    }

    asio::awaitable<void> serve(http::exchange& exchange)
    {
        const auto path = exchange.received_request().path();
        if (path == "/control/faults")
        {
            set_faults(
                json::parse(exchange.received_request().body, nullptr, false));
            co_await stand_ins::send_json(exchange, "{}");
        }
        else if (path == "/control/vms")
        {
            vms_ = exchange.received_request().body;
            co_await stand_ins::send_json(exchange, "{}");
        }
        else if (path == "/control/counts")
        {
            const json counts{{"reads", reads_}, {"writes", writes_}};
            co_await stand_ins::send_json(exchange, counts.dump());
        }
        else
        {
            co_await serve_platform(exchange);
        }
    }

private:
    void set_faults(const json& wanted)
    {
        if (!wanted.is_object())
        {
            return;
        }
        faults_.down = wanted.value("down", false);
        faults_.lose_answer = wanted.value("lose_answer", 0.0);
        faults_.refuse = wanted.value("refuse", 0.0);
        faults_.delay = std::chrono::milliseconds(wanted.value("delay_ms", 0));
    }

    asio::awaitable<void> serve_platform(http::exchange& exchange)
    {
        if (faults_.delay.count() > 0)
        {
            asio::steady_timer timer(context_, faults_.delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (faults_.down || random_.unit() < faults_.refuse)
        {
            constexpr unsigned unavailable = 503;
            co_await stand_ins::send_json(exchange, "{}", unavailable);
            co_return;
        }
        const auto path = exchange.received_request().path();
        if (path == "/v1/table/transaction")
        {
            co_await serve_transaction(exchange);
        }
        else if (path == "/v1/table/read" || path == "/v1/table/scan")
        {
            ++reads_;
            // g++ 12 destroys the temporaries of a conditional operator twice
            // when it stands inside co_await.
            const std::string found = path == "/v1/table/read"
                                          ? read(exchange.received_request())
                                          : scan(exchange.received_request());
            co_await stand_ins::send_json(exchange, found);
        }
        else if (path == "/v1/vms")
        {
            ++reads_;
            co_await stand_ins::send_json(exchange, vms_);
        }
        else if (path.starts_with(object_root))
        {
            co_await serve_object(exchange);
        }
        else
        {
            constexpr unsigned not_found = 404;
            co_await stand_ins::send_json(exchange, "{}", not_found);
        }
    }

    asio::awaitable<void> serve_transaction(http::exchange& exchange)
    {
        ++writes_;
        unsigned status = 200;
        std::string text = transact(exchange.received_request(), status);
        const bool lost = random_.unit() < faults_.lose_answer;
        asio::steady_timer timer(
            context_, lost ? lost_answer_delay : std::chrono::milliseconds(0));
        co_await timer.async_wait(asio::use_awaitable);
        co_await stand_ins::send_json(exchange, std::move(text), status);
    }

    std::string transact(const http::request& request, unsigned& status)
    {
        constexpr unsigned bad_request = 400;
        constexpr unsigned conflict = 409;
        const auto asked = table_service::transaction_from_json(
            json::parse(request.body, nullptr, false));
        if (!asked)
        {
            status = bad_request;
            return "{}";
        }
        const auto answer = table_.apply(asked.value());
        if (const auto* const done =
                std::get_if<table_service::committed>(&answer))
        {
            return table_service::to_json(*done).dump();
        }
        status = conflict;
        return table_service::to_json(
                   std::get<table_service::conflicted>(answer))
            .dump();
    }

    std::string read(const http::request& asked) const
    {
        const json at = json::parse(asked.body, nullptr, false);
        const auto found = table_.read(
            {table_service::string_field(at, "table"),
             table_service::string_field(at, "key")});
        json answer{{"row", nullptr}};
        if (found)
        {
            answer["row"] = table_service::to_json(*found);
        }
        return answer.dump();
    }

    std::string scan(const http::request& asked) const
    {
        const json at = json::parse(asked.body, nullptr, false);
        const std::size_t limit =
            at.is_object() ? at.value("limit", std::size_t{1000}) : 0;
        json rows = json::array();
        for (const auto& each : table_.scan(
                 table_service::string_field(at, "table"),
                 table_service::string_field(at, "prefix"),
                 table_service::string_field(at, "after"), limit))
        {
            rows.push_back(table_service::to_json(each));
        }
        return json{{"rows", std::move(rows)}}.dump();
    }

    asio::awaitable<void> serve_object(http::exchange& exchange)
    {
        constexpr unsigned not_found = 404;
        const std::string name(
            exchange.received_request().path().substr(object_root.size()));
        if (exchange.received_request().method == "PUT")
        {
            ++writes_;
            objects_.insert_or_assign(name, exchange.received_request().body);
            co_await stand_ins::send_json(exchange, "{}");
            co_return;
        }
        ++reads_;
        const auto found = objects_.find(name);
        if (found == objects_.end())
        {
            co_await stand_ins::send_json(exchange, "{}", not_found);
            co_return;
        }
        co_await stand_ins::send_json(exchange, found->second);
    }

    boost::asio::io_context& context_;
    random_source random_;
    fault_settings faults_;
    table_service::memory_table table_;
    std::map<std::string, std::string> objects_;
    std::string vms_ = R"({"vms":[]})";
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    platform_stand_in platform(context, absl::GetFlag(FLAGS_seed));
    return stand_ins::serve(
        context, "platform_stand_in",
        [&platform](http::exchange& exchange)
        { return platform.serve(exchange); });
}
