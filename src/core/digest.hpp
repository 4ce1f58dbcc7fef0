// SHA-256 digests and HMAC by OpenSSL, as strong types.
#ifndef WAGTAILSEAM_CORE_DIGEST_HPP
#define WAGTAILSEAM_CORE_DIGEST_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wagtailseam
{

/// 32 bytes of SHA-256 or HMAC-SHA-256.
struct digest
{
    static constexpr std::size_t size = 32;

    std::array<std::uint8_t, size> bytes{};

    /// Returns 64 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// Returns the bytes as characters, for messages. The view lives as long
    /// as this object.
    [[nodiscard]] std::string_view view() const noexcept;
    /// Reads 64 hexadecimal digits; all zero bytes when the text is not that.
    [[nodiscard]] static digest from_hex(std::string_view text);
    /// Reads 32 raw bytes; all zero bytes when the length is not 32.
    [[nodiscard]] static digest from_bytes(std::string_view raw);

    friend bool operator==(const digest&, const digest&) = default;
    friend auto operator<=>(const digest&, const digest&) = default;
};

/// Returns the SHA-256 of data.
[[nodiscard]] digest sha256(std::string_view data);

/// Returns the HMAC-SHA-256 of data under key.
[[nodiscard]] digest hmac_sha256(std::string_view key, std::string_view data);

/// Compares in a time that does not depend on where the digests differ.
[[nodiscard]] bool equal_constant_time(
    const digest& a, const digest& b) noexcept;

/// SHA-256 over data that arrives in parts.
class sha256_stream
{
public:
    sha256_stream();
    ~sha256_stream();
    sha256_stream(sha256_stream&& other) noexcept;
    sha256_stream& operator=(sha256_stream&& other) noexcept;
    sha256_stream(const sha256_stream&) = delete;
    sha256_stream& operator=(const sha256_stream&) = delete;

    void update(std::string_view data);
    /// Returns the digest of all data so far; more may follow.
    [[nodiscard]] digest value() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace wagtailseam

template <>
struct std::hash<wagtailseam::digest>
{
    std::size_t operator()(const wagtailseam::digest& d) const noexcept;
};

#endif
