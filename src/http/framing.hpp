// The rules by which a response, its header lines and the end of a body are
// found (RFC 9110, 15; RFC 9112, 5.2 and 6.1 to 6.3).
#ifndef WAGTAILSEAM_HTTP_FRAMING_HPP
#define WAGTAILSEAM_HTTP_FRAMING_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace wagtailseam::http
{

/// Returns whether the end of a message's body can be found: it has no transfer
/// coding, or "chunked" as the only one and no length.
/// @param transfer_encodings values of the Transfer-Encoding fields
/// @param has_length whether there is a Content-Length field
[[nodiscard]] bool is_readable_framing(
    const std::vector<std::string_view>& transfer_encodings, bool has_length);

enum class status_kind : std::uint8_t
{
    /// Another response to the same request follows.
    interim,
    final,
    /// No HTTP response has this status, or it ends the use of HTTP on the
    /// connection. What follows is no response.
    unusable,
};

/// Returns the kind of a response's status for a client that never asks for
/// another protocol.
[[nodiscard]] constexpr status_kind kind_of_status(unsigned status)
{
    constexpr unsigned first_interim = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    if (status < first_interim || status > last_final ||
        status == switching_protocols)
    {
        return status_kind::unusable;
    }
    return status < first_final ? status_kind::interim : status_kind::final;
}

/// Returns whether a response has a body, which then has a length, chunks or
/// the end of the connection (RFC 9112, 6.3).
[[nodiscard]] constexpr bool has_body(bool is_head_request, unsigned status)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return !is_head_request && status >= first_final && status != no_content &&
           status != not_modified;
}

/// Returns whether a line begins with a blank, which continues the line before
/// it (RFC 9112, 5.2): its text would join another field's value, whatever
/// field it looks like.
/// @param section lines of a header; may break off, or go on with the body
[[nodiscard]] bool has_folded_line(std::string_view section);

/// As has_folded_line() above, of a buffer of Boost.Beast with the bytes that
/// the parser of a header has not taken yet.
template <class FlatBuffer>
[[nodiscard]] bool has_folded_line(const FlatBuffer& unparsed)
{
    const auto bytes = unparsed.cdata();
    return has_folded_line(
        std::string_view(static_cast<const char*>(bytes.data()), bytes.size()));
}

/// As is_readable_framing() above, of a header of Boost.Beast.
template <class Fields>
[[nodiscard]] bool is_readable_framing(const Fields& header)
{
    constexpr std::string_view transfer_encoding = "Transfer-Encoding";
    std::vector<std::string_view> values;
    const auto [first, last] = header.equal_range(transfer_encoding);
    for (auto field = first; field != last; ++field)
    {
        const auto value = field->value();
        values.emplace_back(value.data(), value.size());
    }
    return is_readable_framing(
        values, header.find("Content-Length") != header.end());
}

} // namespace wagtailseam::http

#endif
