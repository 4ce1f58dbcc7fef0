// Keys by which processes of the system know each other, and callers' keys.
#ifndef WAGTAILSEAM_IDENTITY_PROCESS_KEYS_HPP
#define WAGTAILSEAM_IDENTITY_PROCESS_KEYS_HPP

#include "core/digest.hpp"
#include "core/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace wagtailseam::identity
{

/// Signs messages with the first key and accepts signatures by any, so that
/// keys change without a moment in which two processes disagree.
class process_keys
{
public:
    /// Most keys accepted at a time: the old and the new one.
    static constexpr std::size_t max_keys = 2;
    static constexpr std::size_t min_key_bytes = 16;

    /// Reads keys from text, one in a line, the signing key first; empty lines
    /// and lines that begin with '#' are passed over.
    /// @errors out_of_range: no key, too many, or one too short.
    [[nodiscard]] static result<process_keys> parse(std::string_view text);

    /// Returns the HMAC of a message and its nonce.
    [[nodiscard]] digest sign(
        std::uint64_t nonce, std::string_view message) const;

    /// Whether an accepted key made the signature. Constant time in the
    /// signature's bytes.
    [[nodiscard]] bool accepts(
        std::uint64_t nonce, std::string_view message,
        const digest& signature) const;

private:
    explicit process_keys(std::vector<std::string> keys);

    /// Invariant: one to max_keys keys, none shorter than min_key_bytes.
    std::vector<std::string> keys_;
};

} // namespace wagtailseam::identity

#endif
