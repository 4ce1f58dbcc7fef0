// The result type of operations that can fail: a value or a numbered error.
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

/// Why an operation failed.
struct error
{
    error() = default;
    // Not an aggregate: g++ 12 destroys aggregate temporaries in the operand
    // of co_await twice.
    explicit error(result_code why) : code(why) {}
    error(result_code why, std::string text)
        : code(why), detail(std::move(text))
    {
    }

    result_code code = result_code::ok;
    /// A sentence for the reader; never holds prompts, answers or keys.
    std::string detail;

    friend bool operator==(const error&, const error&) = default;
};

/// A value or an error. Reading the wrong side ends the process: check
/// has_value() first.
template <class T>
using result = boost::outcome_v2::basic_result<
    T, error, boost::outcome_v2::policy::terminate>;

/// Makes the failed side of a result.
[[nodiscard]] inline auto fail(result_code code, std::string detail = {})
{
    return boost::outcome_v2::failure(error{code, std::move(detail)});
}

} // namespace wagtailseam

#endif
