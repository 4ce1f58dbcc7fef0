// The result type of operations that can fail: a value or an error.
#ifndef WAGTAILSEAM_CORE_RESULT_HPP
#define WAGTAILSEAM_CORE_RESULT_HPP

#include "core/result_code.hpp"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace wagtailseam
{

/// The reason why an operation failed.
struct error
{
    error() = default;
    // The constructors keep this class from being an aggregate: g++ 12 destroys
    // an aggregate temporary in the operand of co_await twice.
    explicit error(result_code reason) : code(reason) {}
    error(result_code reason, std::string text)
        : code(reason), detail(std::move(text))
    {
    }

    result_code code = result_code::ok;
    /// Human-readable details. Must not contain prompts, answers or keys.
    std::string detail;

    friend bool operator==(const error&, const error&) = default;
};

/// A value or an error. Accessing the one that is not present terminates the
/// process: check has_value() first.
template <class T>
using result = boost::outcome_v2::basic_result<
    T, error, boost::outcome_v2::policy::terminate>;

/// Creates an error that converts to any result type.
[[nodiscard]] inline auto fail(result_code code, std::string detail = {})
{
    return boost::outcome_v2::failure(error{code, std::move(detail)});
}

} // namespace wagtailseam

#endif
