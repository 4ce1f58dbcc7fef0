// Process keys: two accepted during a change, malformed files refused.
#include "identity/process_keys.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::identity
{
namespace
{

constexpr std::string_view old_key = "old-key-0123456789";
constexpr std::string_view new_key = "new-key-0123456789";

process_keys keys(const std::string& text)
{
    auto parsed = process_keys::parse(text);
    EXPECT_TRUE(parsed.has_value());
    return std::move(parsed).value();
}

TEST(process_keys, signature_by_old_key_during_change_is_accepted)
{
    const auto before = keys(std::string(old_key));
    const auto during =
        keys(std::string(new_key) + "\n" + std::string(old_key));
    EXPECT_TRUE(during.accepts(7, "message", before.sign(7, "message")));
}

TEST(process_keys, signature_by_removed_key_is_refused)
{
    const auto before = keys(std::string(old_key));
    const auto after = keys("# changed\n" + std::string(new_key) + "\n\n");
    EXPECT_FALSE(after.accepts(7, "message", before.sign(7, "message")));
}

TEST(process_keys, signature_of_other_nonce_or_message_is_refused)
{
    const auto only = keys(std::string(old_key));
    EXPECT_FALSE(only.accepts(8, "message", only.sign(7, "message")));
    EXPECT_FALSE(only.accepts(7, "massage", only.sign(7, "message")));
}

TEST(process_keys, file_without_usable_keys_is_refused)
{
    EXPECT_FALSE(process_keys::parse("").has_value());
    EXPECT_FALSE(process_keys::parse("short").has_value());
    const std::string three = "0123456789abcdef\n1123456789abcdef\n"
                              "2123456789abcdef\n";
    EXPECT_FALSE(process_keys::parse(three).has_value());
}

} // namespace
} // namespace wagtailseam::identity
