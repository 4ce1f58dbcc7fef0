// Declares which fields a JSON document may have, reports every departure at
// once, and fills in the defaults.
#ifndef WAGTAILSEAM_SETTINGS_SCHEMA_HPP
#define WAGTAILSEAM_SETTINGS_SCHEMA_HPP

#include "settings/document.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailseam::settings
{

struct field;

/// What the characters of a text must look like.
enum class text_format : std::uint8_t
{
    any,
    /// Lower-case letters, digits, '-', '_' and '.', not empty.
    identifier,
    /// 64 lower-case hexadecimal digits.
    sha256_hex,
    /// An IP address and a port, as in 127.0.0.1:9000 or [::1]:9000.
    address,
};

/// A string.
struct text_rule
{
    text_format format = text_format::any;
    /// The values allowed; empty allows all.
    std::vector<std::string> one_of;
};

/// A whole number within [min, max].
struct whole_rule
{
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/// A number within [min, max].
struct number_rule
{
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// true or false.
struct flag_rule
{
};

/// A list whose elements all follow one rule.
struct list_rule
{
    /// Holds exactly one field: the rule of each element. Its name and its
    /// default are not used.
    std::vector<field> element;
    std::size_t min_size = 0;
    std::size_t max_size = 100'000;
};

/// An object with the fields listed and no others.
struct object_rule
{
    std::vector<field> fields;
};

using value_rule = std::variant<
    text_rule, whole_rule, number_rule, flag_rule, list_rule, object_rule>;

/// One key of an object.
struct field
{
    std::string name;
    value_rule rule;
    /// Taken when the key is absent; a field without one is required.
    std::optional<nlohmann::json> fallback;
    /// A sentence for the reference.
    std::string description;
};

/// The fields of a whole document.
/// @example
///     const schema wanted{{
///         {.name = "port", .rule = whole_rule{.min = 1, .max = 65535},
///          .description = "The port to listen on."},
///         {.name = "level", .rule = text_rule{.one_of = {"info", "debug"}},
///          .fallback = "info", .description = "How much is logged."}}};
///     const loaded read = load(wanted, text);
struct schema
{
    std::vector<field> fields;
};

/// Makes a list rule from the rule of its elements.
[[nodiscard]] list_rule list_of(
    value_rule element, std::size_t min_size = 0,
    std::size_t max_size = 100'000);

/// Returns every departure of the document from the schema, in the order of
/// the document's lines, with the faults of the parse first.
/// Complexity: linear in the document times the fields of one object.
[[nodiscard]] std::vector<fault> check(
    const schema& wanted, const document& given);

/// Returns every departure of a value that has no text; all lines are 0.
[[nodiscard]] std::vector<fault> check(
    const schema& wanted, const nlohmann::json& given);

/// Returns the value with the defaults of absent fields filled in.
/// @pre check() found nothing.
[[nodiscard]] nlohmann::json with_defaults(
    const schema& wanted, nlohmann::json value);

/// A checked document: usable when faults is empty.
struct loaded
{
    /// With defaults; null when there are faults.
    nlohmann::json value;
    std::vector<fault> faults;
};

/// Parses, checks and completes a document.
[[nodiscard]] loaded load(const schema& wanted, std::string_view text);

/// Returns a reference in Markdown: a table of path, type, default and
/// description, a row for each field in the order of the schema.
[[nodiscard]] std::string reference(const schema& wanted);

} // namespace wagtailseam::settings

#endif
