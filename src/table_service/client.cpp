// Calls the table, object and VM list endpoints with JSON over HTTP.
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

transaction_result to_transaction_result(const http::response& response)
{
    if (response.status == status_ok)
    {
        auto decoded = committed_from_json(parse(response.body));
        return decoded ? transaction_result(std::move(decoded).value())
                       : transaction_result(outcome_unknown{});
    }
    if (response.status == status_conflict)
    {
        auto decoded = conflicted_from_json(parse(response.body));
        return decoded ? transaction_result(std::move(decoded).value())
                       : transaction_result(outcome_unknown{});
    }
    // 503 means that the platform did not apply the transaction.
    return response.status == status_unavailable
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
    http::request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    auto response = co_await http_.fetch(
        options_.platform, std::move(request), options_.timeout);
    calls_.failures += response ? 0U : 1U;
    co_return response;
}

asio::awaitable<transaction_result> client::apply(transaction request)
{
    ++calls_.writes;
    const std::string body = to_json(request).dump();
    const auto response = co_await post("/v1/table/transaction", body);
    if (response)
    {
        co_return to_transaction_result(response.value());
    }
    if (response.error().code == result_code::upstream_unreachable)
    {
        co_return rejected{};
    }
    co_return outcome_unknown{};
}

asio::awaitable<read_result> client::read(row_key key)
{
    ++calls_.reads;
    const json request{{"table", key.table}, {"key", key.key}};
    const auto response = co_await post("/v1/table/read", request.dump());
    if (!response || response.value().status != status_ok)
    {
        co_return read_failed{};
    }
    const json document = parse(response.value().body);
    if (!document.is_object() || !document.contains("row"))
    {
        co_return read_failed{};
    }
    if (document["row"].is_null())
    {
        co_return optional_row{};
    }
    auto decoded = row_from_json(document["row"]);
    if (!decoded)
    {
        co_return read_failed{};
    }
    co_return optional_row{std::move(decoded).value()};
}

asio::awaitable<scan_result> client::scan(
    std::string table, std::string prefix, std::string after, std::size_t limit)
{
    ++calls_.reads;
    const json request{
        {"table", table},
        {"prefix", prefix},
        {"after", after},
        {"limit", limit}};
    const auto response = co_await post("/v1/table/scan", request.dump());
    if (!response || response.value().status != status_ok)
    {
        co_return read_failed{};
    }
    const json document = parse(response.value().body);
    if (!document.is_object() || !document.contains("rows") ||
        !document["rows"].is_array())
    {
        co_return read_failed{};
    }
    std::vector<row> rows;
    for (const json& element : document["rows"])
    {
        auto decoded = row_from_json(element);
        if (!decoded)
        {
            co_return read_failed{};
        }
        rows.push_back(std::move(decoded).value());
    }
    co_return rows;
}

asio::awaitable<result<void>> client::put_object(
    std::string name, std::string bytes)
{
    ++calls_.writes;
    http::request request;
    request.method = "PUT";
    request.target = "/v1/objects/" + name;
    request.body = std::move(bytes);
    const auto response = co_await http_.fetch(
        options_.platform, std::move(request), options_.timeout);
    if (!response || response.value().status != status_ok)
    {
        ++calls_.failures;
        co_return fail(
            result_code::platform_unavailable, "cannot store object " + name);
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<std::string>> client::read_object(std::string name)
{
    ++calls_.reads;
    http::request request;
    request.target = "/v1/objects/" + name;
    auto response = co_await http_.fetch(
        options_.platform, std::move(request), options_.timeout);
    if (response && response.value().status == status_ok)
    {
        co_return std::move(response).value().body;
    }
    if (response && response.value().status == status_not_found)
    {
        co_return fail(result_code::platform_not_found, "no object " + name);
    }
    ++calls_.failures;
    co_return fail(
        result_code::platform_unavailable, "cannot read object " + name);
}

asio::awaitable<result<std::vector<vm_entry>>> client::list_vms()
{
    ++calls_.reads;
    http::request request;
    request.target = "/v1/vms";
    const auto response = co_await http_.fetch(
        options_.platform, std::move(request), options_.timeout);
    const json document = response ? parse(response.value().body)
                                   : json(json::value_t::discarded);
    if (!document.is_object() || !document.contains("vms") ||
        !document["vms"].is_array())
    {
        ++calls_.failures;
        co_return fail(
            result_code::platform_unavailable, "cannot read the VM list");
    }
    std::vector<vm_entry> vms;
    for (const json& element : document["vms"])
    {
        vms.push_back(vm_entry{
            .vm = string_field(element, "vm"),
            .leaving = string_field(element, "state") == "leaving"});
    }
    co_return vms;
}

} // namespace wagtailseam::table_service
