// The store role's routes, with bytes.
#include "sidecar/store_service.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wagtailseam::sidecar
{
namespace
{

using nlohmann::json;

class store_service_test : public testing::Test
{
protected:
    http::response ask(std::string target, std::string body = {})
    {
        http::request asked;
        asked.method = "POST";
        asked.target = "/v1/blocks/" + std::move(target);
        asked.body = std::move(body);
        return service_.handle(asked, now_);
    }
    http::response write(const std::string& name, const std::string& bytes)
    {
        return ask(
            "write?scope=7&cost_us=100&id=" + sha256(name).hex() +
                "&content=" + sha256(bytes).hex(),
            bytes);
    }
    http::response open(const std::string& name, int scope = 7)
    {
        return ask(
            "open?scope=" + std::to_string(scope) +
            "&id=" + sha256(name).hex());
    }
    http::response read(const std::string& name, const json& opened)
    {
        const auto field = [&opened](const char* what)
        {
            return std::string("&") + what + "=" +
                   std::to_string(opened[what].get<std::uint64_t>());
        };
        return ask(
            "read?offset=0&id=" + sha256(name).hex() + field("length") +
            field("store") + field("generation") + field("pin"));
    }
    static unsigned code_of(const http::response& answer)
    {
        return json::parse(answer.body)["code"].get<unsigned>();
    }

    mono_time now_{std::chrono::seconds(1)};
    telemetry::metrics metrics_;
    store_service service_{
        {.memory_capacity = byte_count{10}},
        incarnation{5},
        random_source(1),
        metrics_};
};

TEST_F(store_service_test, block_written_is_read_back)
{
    EXPECT_EQ(write("a", "bytes").status, 200U);
    const json opened = json::parse(open("a").body);
    EXPECT_EQ(opened["content"], sha256("bytes").hex());
    EXPECT_EQ(read("a", opened).body, "bytes");
}

TEST_F(store_service_test, bytes_that_do_not_match_are_not_kept)
{
    const auto answer =
        ask("write?scope=7&id=" + sha256("a").hex() +
                "&content=" + sha256("bytes").hex(),
            "bytez");
    EXPECT_EQ(code_of(answer), 903U);
    EXPECT_EQ(code_of(open("a")), 901U);
    EXPECT_EQ(service_.blocks(), 0U);
}

TEST_F(store_service_test, open_under_other_scope_is_refused)
{
    write("a", "bytes");
    EXPECT_EQ(code_of(open("a", 8)), 901U);
}

TEST_F(store_service_test, read_after_block_was_evicted_is_refused)
{
    write("a", "12345678");
    const json opened = json::parse(open("a").body);
    now_ += std::chrono::seconds(11);
    EXPECT_EQ(write("b", "12345678").status, 200U);
    EXPECT_EQ(code_of(read("a", opened)), 908U);
    EXPECT_EQ(code_of(open("a")), 901U);
}

TEST_F(store_service_test, write_while_all_is_pinned_is_refused_as_full)
{
    write("a", "12345678");
    (void)open("a");
    EXPECT_EQ(code_of(write("b", "12345678")), 905U);
    EXPECT_EQ(
        metrics_.counter_value("wagtail_refusals_total", "store_full"), 1U);
}

TEST_F(store_service_test, read_named_by_earlier_life_is_refused)
{
    write("a", "bytes");
    json opened = json::parse(open("a").body);
    opened["store"] = 4;
    EXPECT_EQ(code_of(read("a", opened)), 902U);
}

} // namespace
} // namespace wagtailseam::sidecar
