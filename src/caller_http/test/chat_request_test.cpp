// Callers' input: every fault has its code and names the field; mutated
// bodies never crash.
#include "caller_http/chat_request.hpp"
#include "core/random_source.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace wagtailseam::caller_http
{
namespace
{

constexpr int mutated_bodies = 100'000;

class chat_request_fixture : public testing::Test
{
protected:
    static http::request with_body(std::string body)
    {
        http::request asked;
        asked.method = "POST";
        asked.target = "/v1/chat/completions";
        asked.body = std::move(body);
        return asked;
    }

    static error error_of(const std::string& body)
    {
        const auto parsed = parse_chat(with_body(body));
        return parsed ? error{} : parsed.error();
    }

    const std::string good_ =
        R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
};

TEST_F(chat_request_fixture, minimal_body_is_accepted_with_defaults)
{
    const auto parsed = parse_chat(with_body(good_));
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed.value().model, model_id{"m"});
    EXPECT_FALSE(parsed.value().stream);
}

TEST_F(chat_request_fixture, each_fault_names_code_and_field)
{
    EXPECT_EQ(error_of("{").code, result_code::malformed_json);
    EXPECT_EQ(error_of("[]").code, result_code::wrong_type);
    EXPECT_EQ(error_of("{}").detail, "model is missing");
    const error message = error_of(R"({"model":"m","messages":[{"role":1}]})");
    EXPECT_EQ(message.code, result_code::wrong_type);
    EXPECT_EQ(message.detail, "messages[0].role must be text");
    const error tokens =
        error_of(R"({"model":"m","messages":[],"max_tokens":99999999999})");
    EXPECT_EQ(tokens.code, result_code::out_of_range);
}

TEST_F(chat_request_fixture, largest_unsigned_number_is_out_of_range)
{
    const error wrong = error_of(
        R"({"model":"m","messages":[],"max_tokens":18446744073709551615})");
    EXPECT_EQ(wrong.code, result_code::out_of_range);
}

TEST_F(chat_request_fixture, deadline_header_out_of_range_is_refused)
{
    auto asked = with_body(good_);
    asked.headers.emplace_back("x-deadline-ms", "0");
    ASSERT_FALSE(parse_chat(asked).has_value());
    asked.headers.front().second = "12x";
    ASSERT_FALSE(parse_chat(asked).has_value());
}

TEST_F(chat_request_fixture, partial_answer_is_continued_with_tokens_left)
{
    auto parsed = parse_chat(with_body(good_));
    parsed.value().max_tokens = 10;
    const auto body = nlohmann::json::parse(
        upstream_body(parsed.value(), "so far", 4, "salt"));
    EXPECT_EQ(body["max_tokens"], 6);
    EXPECT_EQ(body["messages"].back()["content"], "so far");
    EXPECT_TRUE(body["continue_final_message"].get<bool>());
}

TEST_F(chat_request_fixture, service_path_without_operation_is_unknown_route)
{
    auto asked = with_body("{}");
    for (const char* target :
         {"/v1/services/", "/v1/services/a", "/v1/services/a/",
          "/v1/services//b"})
    {
        asked.target = target;
        const auto parsed = parse_service_call(asked);
        ASSERT_FALSE(parsed.has_value()) << target;
        EXPECT_EQ(parsed.error().code, result_code::unknown_route);
    }
}

/// Replaces, cuts out or doubles a few bytes of a body.
std::string mutated(std::string body, random_source& random)
{
    const auto edits = 1 + random.below(4);
    for (std::uint64_t i = 0; i < edits && !body.empty(); ++i)
    {
        const auto at = random.below(body.size());
        const auto length = 1 + random.below(5);
        switch (random.below(3))
        {
        case 0:
            body[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            body.erase(at, length);
            break;
        default:
            body.insert(at, body.substr(at, length));
        }
    }
    return body;
}

TEST_F(chat_request_fixture, mutated_bodies_give_value_or_numbered_error)
{
    const std::string seed =
        R"({"model":"m","stream":true,"max_tokens":7,"priority":-1,)"
        R"("conversation":"c","messages":[{"role":"user","content":"h"}]})";
    random_source random(4);
    for (int i = 0; i < mutated_bodies; ++i)
    {
        const auto parsed = parse_chat(with_body(mutated(seed, random)));
        if (!parsed)
        {
            EXPECT_TRUE(is_not_run(parsed.error().code));
        }
    }
}

} // namespace
} // namespace wagtailseam::caller_http
