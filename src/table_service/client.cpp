// Table, object and VM list calls over HTTP with JSON.
#include "table_service/client.hpp"

#include "table_service/json_codec.hpp"

namespace wagtailseam::table_service
{
namespace
{

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

transaction_result to_answer(const http::response& answer)
{
    if (answer.status == status_ok)
    {
        auto parsed = committed_from_json(parse(answer.body));
        return parsed ? transaction_result(std::move(parsed).value())
                      : transaction_result(outcome_unknown{});
    }
    if (answer.status == status_conflict)
    {
        auto parsed = conflicted_from_json(parse(answer.body));
        return parsed ? transaction_result(std::move(parsed).value())
                      : transaction_result(outcome_unknown{});
    }
    // The platform states with 503 that it rejected the transaction.
    return answer.status == status_unavailable
               ? transaction_result(rejected{})
               : transaction_result(outcome_unknown{});
}

} // namespace

client::client(const asio::any_io_executor& executor, client_options options)
    : http_(executor), options_(std::move(options))
{
}

asio::awaitable<result<http::response>> client::post(
    std::string target, std::string body)
{
    http::request asked;
    asked.method = "POST";
    asked.target = std::move(target);
    asked.headers.emplace_back("Content-Type", "application/json");
    asked.body = std::move(body);
    auto answer = co_await http_.fetch(
        options_.platform, std::move(asked), options_.timeout);
    calls_.failures += answer ? 0U : 1U;
    co_return answer;
}

asio::awaitable<transaction_result> client::apply(transaction asked)
{
    ++calls_.writes;
    const std::string body = to_json(asked).dump();
    const auto answer = co_await post("/v1/table/transaction", body);
    if (answer)
    {
        co_return to_answer(answer.value());
    }
    if (answer.error().code == result_code::upstream_unreachable)
    {
        co_return rejected{};
    }
    co_return outcome_unknown{};
}

asio::awaitable<read_result> client::read(row_key at)
{
    ++calls_.reads;
    const json asked{{"table", at.table}, {"key", at.key}};
    const auto answer = co_await post("/v1/table/read", asked.dump());
    if (!answer || answer.value().status != status_ok)
    {
        co_return read_failed{};
    }
    const json text = parse(answer.value().body);
    if (!text.is_object() || !text.contains("row"))
    {
        co_return read_failed{};
    }
    if (text["row"].is_null())
    {
        co_return optional_row{};
    }
    auto found = row_from_json(text["row"]);
    if (!found)
    {
        co_return read_failed{};
    }
    co_return optional_row{std::move(found).value()};
}

asio::awaitable<scan_result> client::scan(
    std::string table, std::string prefix, std::string after, std::size_t limit)
{
    ++calls_.reads;
    const json asked{
        {"table", table},
        {"prefix", prefix},
        {"after", after},
        {"limit", limit}};
    const auto answer = co_await post("/v1/table/scan", asked.dump());
    if (!answer || answer.value().status != status_ok)
    {
        co_return read_failed{};
    }
    const json text = parse(answer.value().body);
    if (!text.is_object() || !text.contains("rows") || !text["rows"].is_array())
    {
        co_return read_failed{};
    }
    std::vector<row> rows;
    for (const json& each : text["rows"])
    {
        auto found = row_from_json(each);
        if (!found)
        {
            co_return read_failed{};
        }
        rows.push_back(std::move(found).value());
    }
    co_return rows;
}

asio::awaitable<result<void>> client::put_object(
    std::string name, std::string bytes)
{
    ++calls_.writes;
    http::request asked;
    asked.method = "PUT";
    asked.target = "/v1/objects/" + name;
    asked.body = std::move(bytes);
    const auto answer = co_await http_.fetch(
        options_.platform, std::move(asked), options_.timeout);
    if (!answer || answer.value().status != status_ok)
    {
        ++calls_.failures;
        co_return fail(result_code::platform_unavailable, "object " + name);
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<std::string>> client::read_object(std::string name)
{
    ++calls_.reads;
    http::request asked;
    asked.target = "/v1/objects/" + name;
    auto answer = co_await http_.fetch(
        options_.platform, std::move(asked), options_.timeout);
    if (answer && answer.value().status == status_ok)
    {
        co_return std::move(answer).value().body;
    }
    if (answer && answer.value().status == status_not_found)
    {
        co_return fail(result_code::platform_not_found, "object " + name);
    }
    ++calls_.failures;
    co_return fail(result_code::platform_unavailable, "object " + name);
}

asio::awaitable<result<std::vector<vm_entry>>> client::list_vms()
{
    ++calls_.reads;
    http::request asked;
    asked.target = "/v1/vms";
    const auto answer = co_await http_.fetch(
        options_.platform, std::move(asked), options_.timeout);
    const json text =
        answer ? parse(answer.value().body) : json(json::value_t::discarded);
    if (!text.is_object() || !text.contains("vms") || !text["vms"].is_array())
    {
        ++calls_.failures;
        co_return fail(result_code::platform_unavailable, "list of VMs");
    }
    std::vector<vm_entry> vms;
    for (const json& each : text["vms"])
    {
        vms.push_back(vm_entry{
            .vm = string_field(each, "vm"),
            .leaving = string_field(each, "state") == "leaving"});
    }
    co_return vms;
}

} // namespace wagtailseam::table_service
