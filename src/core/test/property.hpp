// Checks a RapidCheck property with a number of test cases set in the code;
// RapidCheck's own macros take this number from the environment only.
#ifndef WAGTAILSEAM_CORE_TEST_PROPERTY_HPP
#define WAGTAILSEAM_CORE_TEST_PROPERTY_HPP

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>

namespace wagtailseam
{

/// Fails the current test with the shrunk counterexample if one is found.
template <class Property>
void check_property(int test_cases, Property property)
{
    const auto* const test =
        testing::UnitTest::GetInstance()->current_test_info();
    rc::detail::TestMetadata metadata;
    metadata.id = std::string(test->test_suite_name()) + "/" + test->name();
    metadata.description = test->name();
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = test_cases;
    const auto outcome = rc::detail::checkTestable(property, metadata, params);
    if (!outcome.template is<rc::detail::SuccessResult>())
    {
        std::ostringstream text;
        rc::detail::printResultMessage(outcome, text);
        FAIL() << text.str();
    }
}

} // namespace wagtailseam

#endif
