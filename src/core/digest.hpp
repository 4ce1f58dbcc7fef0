// SHA-256 digests and HMAC-SHA-256, computed by OpenSSL.
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

/// The result of SHA-256 or HMAC-SHA-256.
struct digest
{
    static constexpr std::size_t size = 32;

    std::array<std::uint8_t, size> bytes{};

    /// Returns 64 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// Returns the raw bytes. The view is valid for the lifetime of this
    /// object.
    [[nodiscard]] std::string_view view() const noexcept;
    /// Parses 64 lower-case hexadecimal digits; returns an all-zero digest
    /// when the text has another form.
    [[nodiscard]] static digest from_hex(std::string_view text);
    /// Copies 32 raw bytes; returns an all-zero digest when the length is not
    /// 32.
    [[nodiscard]] static digest from_bytes(std::string_view raw);

    friend bool operator==(const digest&, const digest&) = default;
    friend auto operator<=>(const digest&, const digest&) = default;
};

/// @throws std::runtime_error when OpenSSL fails
[[nodiscard]] digest sha256(std::string_view data);

/// @throws std::runtime_error when OpenSSL fails
[[nodiscard]] digest hmac_sha256(std::string_view key, std::string_view data);

/// Compares in constant time, so that the duration does not reveal the
/// position of the first difference.
[[nodiscard]] bool equal_constant_time(
    const digest& a, const digest& b) noexcept;

/// Computes SHA-256 incrementally.
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
    /// Returns the digest of the data so far; update() may be called again.
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
