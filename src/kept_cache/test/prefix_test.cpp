// Prefix identity: what shares a block and what must never.
#include "kept_cache/prefix.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

const piece_options small_pieces{.piece_size = byte_count{4}};

prefix_scope scope_of(
    const std::string& model, const std::string& adapter, std::uint64_t version)
{
    return {
        .model = model_id{model},
        .adapter = adapter_id{adapter},
        .version = weight_version{version}};
}

TEST(prefix, root_fields_that_join_alike_differ)
{
    EXPECT_NE(
        prefix_root("key", scope_of("ab", "c", 1)),
        prefix_root("key", scope_of("a", "bc", 1)));
}

TEST(prefix, root_of_other_key_model_adapter_or_version_differs)
{
    const digest root = prefix_root("key", scope_of("m", "a", 1));
    EXPECT_NE(root, prefix_root("kez", scope_of("m", "a", 1)));
    EXPECT_NE(root, prefix_root("key", scope_of("n", "a", 1)));
    EXPECT_NE(root, prefix_root("key", scope_of("m", "b", 1)));
    EXPECT_NE(root, prefix_root("key", scope_of("m", "a", 2)));
}

TEST(prefix, chain_of_same_later_piece_after_other_text_differs)
{
    const digest root = prefix_root("key", scope_of("m", "", 1));
    const prefix_chain a = chain_of(root, "aaaasame", small_pieces);
    const prefix_chain b = chain_of(root, "bbbbsame", small_pieces);
    ASSERT_EQ(a.size(), 2U);
    EXPECT_NE(a[1], b[1]);
}

// Oracle: two prompts share as many ids as whole leading pieces of equal text.
RC_GTEST_PROP(
    prefix, chains_share_exactly_the_equal_leading_pieces,
    (std::string common, std::string left, std::string right))
{
    const digest root = prefix_root("key", scope_of("m", "", 1));
    const std::string a = common + left;
    const std::string b = common + right;
    std::size_t expected = 0;
    while ((expected + 1) * 4 <= std::min(a.size(), b.size()) &&
           a.compare(0, (expected + 1) * 4, b, 0, (expected + 1) * 4) == 0)
    {
        ++expected;
    }
    RC_ASSERT(
        shared_pieces(
            chain_of(root, a, small_pieces), chain_of(root, b, small_pieces)) ==
        expected);
    RC_ASSERT(chain_of(root, a, small_pieces).size() == a.size() / 4);
}

// Fields from a small alphabet, so that equal and near-equal scopes are common.
RC_GTEST_PROP(prefix, chains_of_different_scopes_share_nothing, ())
{
    const auto field =
        rc::gen::container<std::string>(rc::gen::element('a', 'b'));
    const auto scope = [&] {
        return scope_of(*field, *field, *rc::gen::inRange<std::uint64_t>(0, 3));
    };
    const prefix_scope one = scope();
    const prefix_scope other = scope();
    const std::string key = *field;
    const std::string other_key = *field;
    const bool same = one == other && key == other_key;
    const auto a = chain_of(prefix_root(key, one), "some text", small_pieces);
    const auto b =
        chain_of(prefix_root(other_key, other), "some text", small_pieces);
    RC_ASSERT(shared_pieces(a, b) == (same ? 2U : 0U));
}

} // namespace
} // namespace wagtailseam::kept_cache
