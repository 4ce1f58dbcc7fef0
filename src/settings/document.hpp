// JSON with comments, read together with the line of each value, so that a
// fault can name where it stands.
#ifndef WAGTAILSEAM_SETTINGS_DOCUMENT_HPP
#define WAGTAILSEAM_SETTINGS_DOCUMENT_HPP

#include "core/result_code.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::settings
{

/// One thing wrong with a document.
struct fault
{
    /// The keys that lead to the value, as in `workspaces[2].share`; empty for
    /// the document itself.
    std::string path;
    /// Counts from 1; 0 when the document was not read from text.
    std::size_t line = 0;
    result_code code = result_code::ok;
    /// What is wrong and what to write instead.
    std::string detail;

    friend bool operator==(const fault&, const fault&) = default;
};

/// A parsed document and where its values stand.
struct document
{
    nlohmann::json value;
    /// The line of each value by its path.
    std::map<std::string, std::size_t> lines;
    /// Syntax faults and keys that stand twice in one object. When the syntax
    /// is broken, `value` is null.
    std::vector<fault> faults;

    /// Returns the line of a path, or that of the nearest enclosing value.
    [[nodiscard]] std::size_t line_of(std::string path) const;
};

/// Parses JSON in which // and /* */ comments are allowed.
/// Complexity: linear in the text, logarithmic in the number of values.
[[nodiscard]] document parse_document(std::string_view text);

/// Returns the path of a member: `parent.key`, or `key` at the top.
[[nodiscard]] std::string member_path(
    const std::string& parent, std::string_view key);

/// Returns the path of an element: `parent[index]`.
[[nodiscard]] std::string element_path(
    const std::string& parent, std::size_t index);

/// Returns one line for each fault: `file:line: path: code: detail`.
[[nodiscard]] std::string describe(
    std::string_view file, const std::vector<fault>& faults);

} // namespace wagtailseam::settings

#endif
