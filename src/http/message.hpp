// HTTP requests and responses, independent of Boost.Beast.
#ifndef WAGTAILSEAM_HTTP_MESSAGE_HPP
#define WAGTAILSEAM_HTTP_MESSAGE_HPP

#include "core/strong_type.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::http
{

/// An address of the form "host:port"; the host is an IP address.
using address = strong_id<struct address_tag>;

/// Header fields in order of transmission; names are case-insensitive.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name, empty if there is none.
/// Complexity: linear in the number of fields.
[[nodiscard]] std::string_view find_header(
    const header_list& headers, std::string_view name) noexcept;

struct request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;

    /// Returns the target without its query string.
    [[nodiscard]] std::string_view path() const noexcept;
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept
    {
        return find_header(headers, name);
    }
};

struct response
{
    unsigned status = 200;
    /// Empty if the response has no Content-Type field or lists it in headers.
    std::string content_type = "application/json";
    header_list headers;
    std::string body;
    /// Size of a streamed body in bytes; absent if the body is sent chunked.
    std::optional<std::uint64_t> content_length;

    [[nodiscard]] std::string_view header(std::string_view name) const noexcept
    {
        return find_header(headers, name);
    }
};

/// How the end of a response's body is marked.
enum class body_framing : std::uint8_t
{
    /// Content-Length, or a response that has no body.
    length,
    chunked,
    /// The server closes the connection. A crash of the server looks the same
    /// unless it resets the connection.
    until_close,
};

/// Returns the name of the framing in logs and metrics.
[[nodiscard]] std::string_view name(body_framing framing) noexcept;

/// Returns the timeout in the Keep-Alive field: how long the server keeps an
/// idle connection open; nullopt if the response does not state it.
[[nodiscard]] std::optional<std::chrono::seconds> keep_alive_timeout(
    const response& header);

} // namespace wagtailseam::http

#endif
