// Signatures by HMAC-SHA-256 over nonce and message.
#include "identity/process_keys.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::identity
{
namespace
{

std::string with_nonce(std::uint64_t nonce, std::string_view message)
{
    std::string text = std::to_string(nonce);
    text += ':';
    text += message;
    return text;
}

std::string_view trimmed(std::string_view line)
{
    const auto last = line.find_last_not_of(" \t\r");
    return last == std::string_view::npos ? std::string_view{}
                                          : line.substr(0, last + 1);
}

} // namespace

process_keys::process_keys(std::vector<std::string> keys)
    : keys_(std::move(keys))
{
    BOOST_ASSERT(!keys_.empty() && keys_.size() <= max_keys);
}

result<process_keys> process_keys::parse(std::string_view text)
{
    std::vector<std::string> keys;
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        if (line.size() < min_key_bytes)
        {
            return fail(result_code::out_of_range, "a process key is short");
        }
        keys.emplace_back(line);
    }
    if (keys.empty() || keys.size() > max_keys)
    {
        return fail(
            result_code::out_of_range, "the key file needs one or two keys");
    }
    return process_keys(std::move(keys));
}

digest process_keys::sign(std::uint64_t nonce, std::string_view message) const
{
    return hmac_sha256(keys_.front(), with_nonce(nonce, message));
}

bool process_keys::accepts(
    std::uint64_t nonce, std::string_view message,
    const digest& signature) const
{
    const std::string text = with_nonce(nonce, message);
    bool accepted = false;
    for (const std::string& key : keys_)
    {
        const bool same =
            equal_constant_time(hmac_sha256(key, text), signature);
        accepted = accepted || same;
    }
    return accepted;
}

} // namespace wagtailseam::identity
