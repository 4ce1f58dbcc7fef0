// SHA-256 and HMAC-SHA-256 with OpenSSL's EVP and HMAC functions.
#include "core/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>
#include <stdexcept>

namespace wagtailseam
{
namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

int hex_value(char c) noexcept
{
    const auto index = hex_digits.find(c);
    return index == std::string_view::npos ? -1 : static_cast<int>(index);
}

} // namespace

std::string digest::hex() const
{
    std::string text;
    text.reserve(2 * size);
    for (const std::uint8_t byte : bytes)
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xFU];
    }
    return text;
}

std::string_view digest::view() const noexcept
{
    return {reinterpret_cast<const char*>(bytes.data()), size};
}

digest digest::from_hex(std::string_view text)
{
    digest value;
    if (text.size() != 2 * size)
    {
        return value;
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        const int high = hex_value(text[2 * i]);
        const int low = hex_value(text[2 * i + 1]);
        if (high < 0 || low < 0)
        {
            return {};
        }
        value.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

digest digest::from_bytes(std::string_view raw)
{
    digest value;
    if (raw.size() == size)
    {
        std::memcpy(value.bytes.data(), raw.data(), size);
    }
    return value;
}

digest sha256(std::string_view data)
{
    digest value;
    unsigned int length = digest::size;
    if (EVP_Digest(
            data.data(), data.size(), value.bytes.data(), &length, EVP_sha256(),
            nullptr) != 1)
    {
        throw std::runtime_error("OpenSSL could not compute SHA-256");
    }
    return value;
}

digest hmac_sha256(std::string_view key, std::string_view data)
{
    digest value;
    unsigned int length = digest::size;
    const auto* const bytes =
        reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(
            EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes,
            data.size(), value.bytes.data(), &length) == nullptr)
    {
        throw std::runtime_error("OpenSSL could not compute HMAC-SHA-256");
    }
    return value;
}

bool equal_constant_time(const digest& a, const digest& b) noexcept
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), digest::size) == 0;
}

struct sha256_stream::state
{
    EVP_MD_CTX* context = EVP_MD_CTX_new();

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { EVP_MD_CTX_free(context); }
};

sha256_stream::sha256_stream() : state_(std::make_unique<state>())
{
    EVP_DigestInit_ex(state_->context, EVP_sha256(), nullptr);
}

sha256_stream::~sha256_stream() = default;
sha256_stream::sha256_stream(sha256_stream&& other) noexcept = default;
sha256_stream& sha256_stream::operator=(sha256_stream&& other) noexcept =
    default;

void sha256_stream::update(std::string_view data)
{
    EVP_DigestUpdate(state_->context, data.data(), data.size());
}

digest sha256_stream::value() const
{
    const state copy;
    EVP_MD_CTX_copy_ex(copy.context, state_->context);
    digest value;
    unsigned int length = digest::size;
    EVP_DigestFinal_ex(copy.context, value.bytes.data(), &length);
    return value;
}

} // namespace wagtailseam

std::size_t std::hash<wagtailseam::digest>::operator()(
    const wagtailseam::digest& d) const noexcept
{
    std::size_t word = 0;
    std::memcpy(&word, d.bytes.data(), sizeof word);
    return word;
}
