// HTTP messages as the shells see them, free of the library's types.
#ifndef WAGTAILSEAM_HTTP_MESSAGE_HPP
#define WAGTAILSEAM_HTTP_MESSAGE_HPP

#include "core/strong_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailseam::http
{

/// An address as "host:port", host an IP number.
using address = strong_id<struct address_tag>;

/// Header fields in order; names compare without regard to case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field of that name, empty when absent.
[[nodiscard]] std::string_view find_header(
    const header_list& headers, std::string_view name) noexcept;

struct request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;

    /// Returns the target without its query.
    [[nodiscard]] std::string_view path() const noexcept;
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept
    {
        return find_header(headers, name);
    }
};

struct response
{
    unsigned status = 200;
    /// Empty: the answer has no such field, or it is among the headers.
    std::string content_type = "application/json";
    header_list headers;
    std::string body;
    /// Size of a body that is streamed; nothing when it is sent in chunks.
    std::optional<std::uint64_t> content_length;

    [[nodiscard]] std::string_view header(std::string_view name) const noexcept
    {
        return find_header(headers, name);
    }
};

} // namespace wagtailseam::http

#endif
