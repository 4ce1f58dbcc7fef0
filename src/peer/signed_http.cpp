// HMAC headers on HTTP requests.
#include "peer/signed_http.hpp"

#include <charconv>

namespace wagtailseam::peer
{
namespace
{

constexpr const char* nonce_header = "X-Wagtail-Nonce";
constexpr const char* signature_header = "X-Wagtail-Signature";

std::string signed_text(std::string_view target, std::string_view body)
{
    std::string text(target);
    text += '\n';
    text += body;
    return text;
}

template <class Number>
Number number_of(std::string_view text)
{
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

http::request signed_post(
    const identity::process_keys& keys, std::uint64_t nonce, std::string target,
    std::string body)
{
    http::request asked;
    asked.method = "POST";
    const digest signature = keys.sign(nonce, signed_text(target, body));
    asked.target = std::move(target);
    asked.body = std::move(body);
    asked.headers.emplace_back(nonce_header, std::to_string(nonce));
    asked.headers.emplace_back(signature_header, signature.hex());
    return asked;
}

result<void> check_signature(
    const identity::process_keys& keys, const http::request& asked)
{
    const auto nonce = number_of<std::uint64_t>(asked.header(nonce_header));
    const auto signature = digest::from_hex(asked.header(signature_header));
    if (!keys.accepts(nonce, signed_text(asked.target, asked.body), signature))
    {
        return fail(result_code::bad_process_signature);
    }
    return boost::outcome_v2::success();
}

http::address control_address(const http::address& data)
{
    const std::string& whole = data.value();
    const auto colon = whole.rfind(':');
    const auto port =
        number_of<unsigned>(std::string_view(whole).substr(colon + 1));
    return http::address{whole.substr(0, colon + 1) + std::to_string(port + 1)};
}

} // namespace wagtailseam::peer
