// Salts are fields joined by dots: "w" and the version, then the model, for
// parts that all workspaces share and a model whose name needs no escapes;
// otherwise "n", the version, the model and the scope.
#include "serving/cache_salt.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace wagtailseam::serving
{
namespace
{

constexpr char separator = '.';
constexpr char escape = '%';
constexpr std::string_view hex_digits = "0123456789ABCDEF";
constexpr unsigned hex_base = 16;
constexpr std::string_view shared_prefix = "w";
constexpr std::string_view namespace_prefix = "n";
constexpr std::string_view unshared_prefix = "u";

/// Returns whether a character stands for itself in a field.
bool is_plain(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '_';
}

bool is_plain(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(),
        [](char character) { return is_plain(character); });
}

std::string escape_field(std::string_view text)
{
    std::string escaped;
    for (const char character : text)
    {
        if (is_plain(character))
        {
            escaped += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        escaped += escape;
        escaped += hex_digits[byte / hex_base];
        escaped += hex_digits[byte % hex_base];
    }
    return escaped;
}

/// Returns nothing if the escapes are not those of escape_field().
std::optional<std::string> unescape_field(std::string_view text)
{
    std::string plain;
    while (!text.empty())
    {
        if (text.front() != escape)
        {
            plain += text.front();
            text.remove_prefix(1);
            continue;
        }
        constexpr std::size_t escape_size = 3;
        const auto high = text.size() < escape_size ? std::string_view::npos
                                                    : hex_digits.find(text[1]);
        const auto low = text.size() < escape_size ? std::string_view::npos
                                                   : hex_digits.find(text[2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        plain += static_cast<char>(high * hex_base + low);
        text.remove_prefix(escape_size);
    }
    return plain;
}

std::vector<std::string_view> split_fields(std::string_view text)
{
    std::vector<std::string_view> fields;
    for (auto end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator))
    {
        fields.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
    }
    fields.push_back(text);
    return fields;
}

std::optional<weight_version> parse_version(std::string_view digits)
{
    std::uint64_t version = 0;
    const auto* const end = digits.data() + digits.size();
    const auto [parsed_to, error] =
        std::from_chars(digits.data(), end, version);
    return error == std::errc{} && parsed_to == end
               ? std::optional(weight_version{version})
               : std::nullopt;
}

/// Returns the namespace in fields that are not checked for a canonical form.
std::optional<cache_namespace> decode_fields(
    const std::vector<std::string_view>& fields)
{
    std::string_view version;
    std::string_view model;
    std::string_view scope;
    if (fields.size() == 2 && fields[0].starts_with(shared_prefix))
    {
        version = fields[0].substr(shared_prefix.size());
        model = fields[1];
    }
    else if (fields.size() == 4 && fields[0] == namespace_prefix)
    {
        version = fields[1];
        model = fields[2];
        scope = fields[3];
    }
    const auto number = parse_version(version);
    auto model_name = unescape_field(model);
    auto scope_name = unescape_field(scope);
    if (!number || !model_name || !scope_name)
    {
        return std::nullopt;
    }
    return cache_namespace{
        .model = model_id{std::move(*model_name)},
        .version = *number,
        .scope = cache_scope{std::move(*scope_name)}};
}

} // namespace

cache_salt make_cache_salt(const cache_namespace& fields)
{
    const auto version = std::to_string(fields.version.value());
    const auto& model = fields.model.value();
    std::string text;
    if (fields.scope.value().empty() && !model.empty() && is_plain(model))
    {
        text += shared_prefix;
        text += version;
        text += separator;
        text += model;
        return cache_salt{std::move(text)};
    }
    text += namespace_prefix;
    for (const auto& field :
         {version, escape_field(model), escape_field(fields.scope.value())})
    {
        text += separator;
        text += field;
    }
    return cache_salt{std::move(text)};
}

std::optional<cache_namespace> parse_cache_salt(const cache_salt& salt)
{
    auto fields = decode_fields(split_fields(salt.value()));
    const bool is_canonical = fields && make_cache_salt(*fields) == salt;
    return is_canonical ? std::move(fields) : std::nullopt;
}

std::optional<weight_version> version_from_legacy_salt(
    const cache_salt& salt, const model_id& model)
{
    std::string_view text = salt.value();
    const auto version_end = text.find(separator);
    if (!text.starts_with(shared_prefix) ||
        version_end == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto version =
        text.substr(shared_prefix.size(), version_end - shared_prefix.size());
    text.remove_prefix(version_end + 1);
    if (!text.starts_with(model.value()))
    {
        return std::nullopt;
    }
    const auto scope = text.substr(model.value().size());
    return scope.empty() || scope.front() == separator ? parse_version(version)
                                                       : std::nullopt;
}

cache_salt make_unshared_salt(random_source& random)
{
    std::string text(unshared_prefix);
    text += separator;
    for (const auto bits : {random.bits(), random.bits()})
    {
        std::array<char, 2 * sizeof(bits)> digits{};
        const auto end = std::to_chars(
            digits.data(), digits.data() + digits.size(), bits, hex_base);
        text.append(digits.data(), end.ptr);
        text += separator;
    }
    return cache_salt{std::move(text)};
}

} // namespace wagtailseam::serving
