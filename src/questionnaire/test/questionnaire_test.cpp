// The questionnaire: faults with path and line, the examples, the reference.
#include "configuration/configuration.hpp"
#include "questionnaire/difference.hpp"
#include "questionnaire/generate.hpp"
#include "questionnaire/questionnaire.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace wagtailseam::questionnaire
{
namespace
{

using nlohmann::json;

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

class questionnaire_fixture : public testing::TestWithParam<std::string>
{
protected:
    static std::string example(const std::string& name)
    {
        return read_file("examples/" + name + ".json");
    }

    /// Replaces one occurrence in the Utility's example and loads the result.
    static settings::loaded load_changed(
        const std::string& from, const std::string& to)
    {
        std::string text = example("utility");
        const auto at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        text.replace(at, from.size(), to);
        return load_questionnaire(text);
    }

    static json generated(const std::string& text)
    {
        const settings::loaded read = load_questionnaire(text);
        EXPECT_TRUE(read.faults.empty())
            << settings::describe("example", read.faults);
        return json::parse(generate(read.value));
    }

    static void expect_fault(
        const settings::loaded& read, const std::string& path, result_code code)
    {
        const auto found =
            std::ranges::find(read.faults, path, &settings::fault::path);
        ASSERT_NE(found, read.faults.end())
            << settings::describe("text", read.faults);
        EXPECT_EQ(found->code, code);
        EXPECT_GT(found->line, 1U);
        EXPECT_EQ(read.faults.size(), 1U)
            << settings::describe("text", read.faults);
    }
};

TEST_P(questionnaire_fixture, example_gives_a_configuration_that_parses)
{
    const settings::loaded read = load_questionnaire(example(GetParam()));
    ASSERT_TRUE(read.faults.empty())
        << settings::describe(GetParam(), read.faults);
    const auto parsed =
        configuration::parse_configuration(generate(read.value));
    ASSERT_TRUE(parsed.has_value()) << parsed.error().detail;
    EXPECT_EQ(parsed.value().workspaces.size(), 10U);
    const bool utility = GetParam() == "utility";
    EXPECT_EQ(parsed.value().upstreams.size(), utility ? 15U : 17U);
}

TEST_P(questionnaire_fixture, same_answers_in_other_order_give_same_bytes)
{
    const settings::loaded read = load_questionnaire(example(GetParam()));
    json turned = read.value;
    for (const char* list : {"workspaces", "upstreams", "data_centres"})
    {
        std::reverse(turned[list].begin(), turned[list].end());
    }
    EXPECT_EQ(generate(read.value), generate(turned));
}

INSTANTIATE_TEST_SUITE_P(
    examples, questionnaire_fixture, testing::Values("utility", "huella"));

using questionnaire_faults = questionnaire_fixture;

TEST_F(questionnaire_faults, id_that_stands_twice_is_named)
{
    expect_fault(
        load_changed("\"id\": \"runner-2\"", "\"id\": \"runner-1\""),
        "upstreams[1].id", result_code::config_invalid);
}

TEST_F(questionnaire_faults, unknown_data_centre_is_named)
{
    expect_fault(
        load_changed(
            "\"data_centre\": \"poonkunnam\"",
            "\"data_centre\": \"elsewhere\""),
        "upstreams[1].data_centre", result_code::config_invalid);
}

TEST_F(questionnaire_faults, shares_above_one_are_named)
{
    expect_fault(
        load_changed("\"share\": 0.2", "\"share\": 0.3"), "workspaces",
        result_code::out_of_range);
}

TEST_F(questionnaire_faults, caller_key_of_two_workspaces_is_named)
{
    const json answers = load_questionnaire(example("utility")).value;
    const auto first =
        answers["workspaces"][0]["caller_keys"][0].get<std::string>();
    const auto second =
        answers["workspaces"][1]["caller_keys"][0].get<std::string>();
    expect_fault(
        load_changed(second, first), "workspaces[1].caller_keys[0]",
        result_code::config_invalid);
}

TEST_F(questionnaire_faults, engine_without_model_is_named)
{
    expect_fault(
        load_changed(
            "\"checks_fencing\": true,\n      \"models\": "
            "[\"entitlement-reader\"]",
            "\"checks_fencing\": true"),
        "upstreams[0].models", result_code::config_invalid);
}

TEST_F(questionnaire_faults, signing_key_that_none_accepts_is_named)
{
    expect_fault(
        load_changed("\"sign_with\": \"process-1\"", "\"sign_with\": \"p2\""),
        "process_keys.sign_with", result_code::config_invalid);
}

TEST_F(questionnaire_faults, two_zero_weights_are_named)
{
    expect_fault(
        load_changed(
            "\"first_token\": 0.3, \"recomputed_share\": 0.7",
            "\"first_token\": 0, \"recomputed_share\": 0"),
        "workspaces[9].objective", result_code::out_of_range);
}

using generate_fixture = questionnaire_fixture;

TEST_F(generate_fixture, every_derived_value_has_a_reason)
{
    const json made = generated(example("utility"));
    std::set<std::string> explained;
    for (const json& reason : made["reasons"])
    {
        explained.insert(reason["path"].get<std::string>());
    }
    for (const char* group : {"spread", "membership", "lease"})
    {
        for (const auto& [key, value] : made[group].items())
        {
            EXPECT_TRUE(explained.contains(std::string(group) + "." + key));
        }
    }
    EXPECT_TRUE(explained.contains("upstreams.runner-1.cell"));
    EXPECT_TRUE(explained.contains("workspaces.ward-ollur.objective"));
    EXPECT_FALSE(explained.contains("workspaces.audit-office.objective"));
}

TEST_F(generate_fixture, polls_of_330_entries_stay_within_200_reads_a_second)
{
    json answers = load_questionnaire(example("utility")).value;
    answers["entries"] = 330;
    const json made = json::parse(generate(answers));
    const auto interval = made["spread"]["poll_interval_ms"].get<double>();
    EXPECT_LE(330 * 1000 / interval, 200.0);
}

using difference_fixture = questionnaire_fixture;

TEST_F(difference_fixture, order_and_comments_make_no_change)
{
    json answers = load_questionnaire(example("utility")).value;
    const json before = json::parse(generate(answers));
    std::reverse(answers["upstreams"].begin(), answers["upstreams"].end());
    EXPECT_TRUE(difference(before, json::parse(generate(answers))).empty());
}

TEST_F(difference_fixture, changes_are_named_by_id_with_their_effect)
{
    json answers = load_questionnaire(example("utility")).value;
    const json before = json::parse(generate(answers));
    answers["workspaces"].erase(9);
    answers["services"][0]["requests"][1]["idempotent"] = false;
    answers["workspaces"][1]["share"] = 0.1;
    const auto made = difference(before, json::parse(generate(answers)));
    const std::string text = describe(made);
    EXPECT_NE(
        text.find("~ services.coupon-ledger.requests.balance.idempotent: true "
                  "-> false"),
        std::string::npos)
        << text;
    EXPECT_NE(
        text.find("~ workspaces.ward-poonkunnam.share: 0.2 -> 0.1"),
        std::string::npos)
        << text;
    EXPECT_NE(
        text.find("all callers of the workspace are refused"),
        std::string::npos)
        << text;
}

using reference_fixture = questionnaire_fixture;

TEST_F(reference_fixture, page_holds_the_table_of_the_schema)
{
    EXPECT_NE(
        read_file("docs/QUESTIONNAIRE.md")
            .find(settings::reference(questionnaire_schema())),
        std::string::npos)
        << settings::reference(questionnaire_schema());
}

} // namespace
} // namespace wagtailseam::questionnaire
