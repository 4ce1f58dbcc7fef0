// Checked documents: every fault with path and line, and defaults.
#include "settings/schema.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::settings
{
namespace
{

class schema_fixture : public testing::Test
{
protected:
    const schema schema_{
        {{.name = "name", .rule = text_rule{text_format::identifier}},
         {.name = "port",
          .rule = whole_rule{.min = 1, .max = 65535},
          .fallback = 80},
         {.name = "peers",
          .rule = list_of(object_rule{
              {{.name = "at", .rule = text_rule{text_format::address}},
               {.name = "weight",
                .rule = number_rule{.min = 0, .max = 1},
                .fallback = 0.5},
               {.name = "on", .rule = flag_rule{}, .fallback = true}}}),
          .fallback = nlohmann::json::array()}}};
};

TEST_F(schema_fixture, load_of_valid_text_fills_in_nested_defaults)
{
    const loaded read = load(schema_, R"({
        // a comment
        "name": "a", /* and another */ "peers": [{"at": "127.0.0.1:1"}]})");
    ASSERT_TRUE(read.faults.empty()) << describe("f", read.faults);
    EXPECT_EQ(read.value["port"], 80);
    EXPECT_EQ(read.value["peers"][0]["weight"], 0.5);
    EXPECT_EQ(read.value["peers"][0]["on"], true);
}

TEST_F(schema_fixture, check_of_many_faults_names_each_path_line_and_code)
{
    const loaded read = load(
        schema_, "{\n"
                 "\"nmae\": \"a\",\n"
                 "\"port\": 65536\n,"
                 "\"peers\": [\n"
                 "{\"at\": \"host:1\"},\n"
                 "{\"on\": 1, \"weight\": 2\n}]}");
    struct expected
    {
        std::string path;
        std::size_t line;
        result_code code;
    };
    const std::vector<expected> all{
        {"name", 1, result_code::missing_field},
        {"nmae", 2, result_code::unknown_field},
        {"port", 3, result_code::out_of_range},
        {"peers[0].at", 5, result_code::out_of_range},
        {"peers[1].on", 6, result_code::wrong_type},
        {"peers[1].weight", 6, result_code::out_of_range},
        {"peers[1].at", 6, result_code::missing_field}};
    ASSERT_EQ(read.faults.size(), all.size()) << describe("f", read.faults);
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        EXPECT_EQ(read.faults[i].path, all[i].path);
        EXPECT_EQ(read.faults[i].line, all[i].line) << all[i].path;
        EXPECT_EQ(read.faults[i].code, all[i].code) << all[i].path;
    }
}

TEST_F(schema_fixture, check_of_broken_syntax_names_the_line)
{
    const loaded read = load(schema_, "{\n\"name\": \"a\"\n\"port\": 1}");
    ASSERT_EQ(read.faults.size(), 1U);
    EXPECT_EQ(read.faults[0].code, result_code::malformed_json);
    EXPECT_EQ(read.faults[0].line, 3U);
}

TEST_F(schema_fixture, check_of_key_that_stands_twice_is_a_fault)
{
    const loaded read = load(schema_, "{\"name\": \"a\",\n\"name\": \"b\"}");
    ASSERT_EQ(read.faults.size(), 1U);
    EXPECT_EQ(read.faults[0].path, "name");
    EXPECT_EQ(read.faults[0].line, 2U);
}

TEST_F(schema_fixture, check_of_number_beyond_64_bits_is_a_fault)
{
    const loaded read =
        load(schema_, R"({"name": "a", "port": 18446744073709551615})");
    ASSERT_EQ(read.faults.size(), 1U);
    EXPECT_EQ(read.faults[0].code, result_code::out_of_range);
}

TEST_F(schema_fixture, check_of_empty_text_is_a_fault)
{
    EXPECT_FALSE(load(schema_, "").faults.empty());
    EXPECT_FALSE(load(schema_, "null").faults.empty());
}

TEST_F(schema_fixture, address_accepts_only_numbers_with_port)
{
    const schema one{{{.name = "at", .rule = text_rule{text_format::address}}}};
    for (const char* good : {"10.0.0.1:80", "[::1]:80"})
    {
        EXPECT_TRUE(check(one, nlohmann::json{{"at", good}}).empty()) << good;
    }
    for (const char* bad : {"10.0.0.1", "::1:80", "a:80", "1.2.3.4:0", ""})
    {
        EXPECT_FALSE(check(one, nlohmann::json{{"at", bad}}).empty()) << bad;
    }
}

} // namespace
} // namespace wagtailseam::settings
