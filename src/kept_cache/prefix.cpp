// Prefix identity by HMAC at the root and SHA-256 along the chain.
#include "kept_cache/prefix.hpp"

#include <boost/assert.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

constexpr std::string_view root_label = "wagtailseam prefix root 1";
constexpr std::string_view piece_label = "wagtailseam prefix piece 1";

void append_number(std::string& out, std::uint64_t number)
{
    constexpr unsigned bits_per_byte = 8;
    constexpr std::uint64_t low_byte = 0xFF;
    for (std::size_t i = 0; i < sizeof number; ++i)
    {
        out += static_cast<char>(number & low_byte);
        number >>= bits_per_byte;
    }
}

/// Writes the length first, so that fields cannot run into each other.
void append_field(std::string& out, std::string_view field)
{
    append_number(out, field.size());
    out += field;
}

} // namespace

digest prefix_root(std::string_view workspace_key, const prefix_scope& scope)
{
    std::string text(root_label);
    append_field(text, scope.model.value());
    append_field(text, scope.adapter.value());
    append_number(text, scope.version.value());
    return hmac_sha256(workspace_key, text);
}

block_id next_block_id(const digest& previous, std::string_view piece)
{
    sha256_stream hash;
    hash.update(piece_label);
    hash.update(previous.view());
    hash.update(piece);
    return hash.value();
}

prefix_chain chain_of(
    const digest& root, std::string_view prompt, const piece_options& options)
{
    const std::size_t size = options.piece_size.value();
    BOOST_ASSERT(size > 0);
    prefix_chain chain;
    chain.reserve(prompt.size() / size);
    digest previous = root;
    for (; prompt.size() >= size; prompt.remove_prefix(size))
    {
        previous = next_block_id(previous, prompt.substr(0, size));
        chain.push_back(previous);
    }
    return chain;
}

std::size_t shared_pieces(const prefix_chain& a, const prefix_chain& b) noexcept
{
    const auto ends = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    return static_cast<std::size_t>(ends.first - a.begin());
}

} // namespace wagtailseam::kept_cache
