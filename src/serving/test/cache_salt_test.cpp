// Tests that salts are unique to their namespace and can be decoded.
#include "serving/cache_salt.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>

namespace wagtailseam::serving
{
namespace
{

const cache_scope shared_by_all;

/// Generates names of models and scopes: mostly short ones of the characters
/// that salts use themselves, so that collisions are likely.
rc::Gen<std::string> arbitrary_name()
{
    const auto of_salt_characters = rc::gen::container<std::string>(
        rc::gen::element('.', '%', 'w', 'n', 'u', '1', '2', 'E', 'i', 's'));
    return rc::gen::oneOf(
        of_salt_characters, of_salt_characters,
        rc::gen::arbitrary<std::string>());
}

rc::Gen<cache_namespace> arbitrary_namespace()
{
    return rc::gen::map(
        rc::gen::tuple(
            arbitrary_name(),
            rc::gen::oneOf(
                rc::gen::inRange<std::uint64_t>(1, 30),
                rc::gen::arbitrary<std::uint64_t>()),
            arbitrary_name()),
        [](const auto& fields)
        {
            return cache_namespace{
                model_id{std::get<0>(fields)},
                weight_version{std::get<1>(fields)},
                cache_scope{std::get<2>(fields)}};
        });
}

RC_GTEST_PROP(cache_salt, is_read_back_as_its_namespace, ())
{
    const auto fields = *arbitrary_namespace();
    RC_ASSERT(parse_cache_salt(make_cache_salt(fields)) == fields);
}

RC_GTEST_PROP(cache_salt, differs_between_namespaces, ())
{
    const auto one = *arbitrary_namespace();
    const auto other = *arbitrary_namespace();
    RC_ASSERT(
        (make_cache_salt(one) == make_cache_salt(other)) == (one == other));
}

RC_GTEST_PROP(cache_salt, is_a_header_value_without_blanks, ())
{
    const auto salt = make_cache_salt(*arbitrary_namespace());
    for (const char character : salt.value())
    {
        RC_ASSERT(character > ' ' && character < '\x7f');
    }
}

RC_GTEST_PROP(cache_salt, is_the_only_text_of_its_namespace, ())
{
    const cache_salt text{*arbitrary_name()};
    const auto fields = parse_cache_salt(text);
    if (fields)
    {
        RC_ASSERT(make_cache_salt(*fields) == text);
    }
}

TEST(cache_salt, contains_weight_version_and_scope)
{
    const model_id model{"m"};
    const auto shared =
        make_cache_salt({model, weight_version{3}, shared_by_all});
    EXPECT_NE(
        shared, make_cache_salt({model, weight_version{4}, shared_by_all}));
    EXPECT_NE(
        shared,
        make_cache_salt({model, weight_version{3}, cache_scope{"i.w"}}));
    EXPECT_FALSE(parse_cache_salt(cache_salt{"foreign"}));
    EXPECT_FALSE(parse_cache_salt(cache_salt{"wx.m"}));
    EXPECT_FALSE(parse_cache_salt(cache_salt{"w02.m"}));
    EXPECT_FALSE(parse_cache_salt(cache_salt{"n.2.m.%2"}));
}

/// Parts that an earlier release saved under such salts stay in use.
TEST(cache_salt, of_a_plain_model_is_that_of_earlier_releases)
{
    EXPECT_EQ(
        make_cache_salt({model_id{"m-1_a"}, weight_version{3}, shared_by_all}),
        cache_salt{"w3.m-1_a"});
}

/// The salts of earlier releases began with "w" and joined all fields by dots.
/// One of a model "reader-1.5" must not be taken for one of "reader-1".
RC_GTEST_PROP(cache_salt, of_an_earlier_release_is_read_only_if_unambiguous, ())
{
    const auto fields = *arbitrary_namespace();
    std::string legacy = "w" + std::to_string(fields.version.value()) + '.' +
                         fields.model.value();
    if (!fields.scope.value().empty())
    {
        legacy += '.' + fields.scope.value();
    }
    const auto parsed = parse_cache_salt(cache_salt{legacy});
    if (parsed)
    {
        RC_ASSERT(*parsed == fields);
    }
    RC_ASSERT(
        version_from_legacy_salt(cache_salt{legacy}, fields.model) ==
        fields.version);
}

/// A request id is the caller's, and may look like the salt of weights.
TEST(unshared_salt, is_used_once_and_names_no_weights)
{
    random_source random(1);
    std::set<cache_salt> salts;
    constexpr std::size_t count = 1000;
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto salt = make_unshared_salt(random);
        EXPECT_FALSE(parse_cache_salt(salt));
        salts.insert(salt);
    }
    EXPECT_EQ(salts.size(), count);
}

} // namespace
} // namespace wagtailseam::serving
