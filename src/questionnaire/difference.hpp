// What changes between two configurations, told by meaning: which workspace,
// upstream or request, and what follows from it.
#ifndef WAGTAILSEAM_QUESTIONNAIRE_DIFFERENCE_HPP
#define WAGTAILSEAM_QUESTIONNAIRE_DIFFERENCE_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace wagtailseam::questionnaire
{

/// One change.
struct change
{
    /// The thing that changes, as in `workspaces.ward-1.share`; elements are
    /// named by their ids, never by their position.
    std::string subject;
    /// The value before; empty when it is added.
    std::string before;
    /// The value after; empty when it is removed.
    std::string after;
    /// What follows for callers or upstreams.
    std::string effect;

    friend bool operator==(const change&, const change&) = default;
};

/// Returns the changes from one configuration to another in order of their
/// subjects; reasons do not count. Complexity: n log n in their values.
[[nodiscard]] std::vector<change> difference(
    const nlohmann::json& before, const nlohmann::json& after);

/// Returns the changes as a list of objects.
[[nodiscard]] nlohmann::json to_json(const std::vector<change>& changes);

/// Returns a line for each change, `no change` when there is none.
[[nodiscard]] std::string describe(const std::vector<change>& changes);

} // namespace wagtailseam::questionnaire

#endif
