#include "azureyoke/src/state/key_digest.h"

#include <memory>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/sha.h>

namespace azureyoke::state {

namespace internal {
namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::string_view digest_scheme = "sha256:";

std::string to_hex(const std::array<std::uint8_t, 32>& bytes) {
    std::string text;
    text.reserve(2 * bytes.size());
    for (auto it : bytes) {
        text.push_back(hex_digits[it >> 4U]);
        text.push_back(hex_digits[it & 0xfU]);
    }
    return text;
}

} // namespace
} // namespace internal

key_digest compute_digest(std::string_view secret) {
    key_digest digest;
    // SHA256 reads bytes; a string_view holds chars.
    SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
           digest.bytes.data());
    return digest;
}

std::optional<key_digest> parse_key_digest(std::string_view text) {
    if (!text.starts_with(internal::digest_scheme))
        return std::nullopt;
    text.remove_prefix(internal::digest_scheme.size());
    key_digest digest;
    if (text.size() != 2 * digest.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        auto high = internal::hex_digits.find(text[2 * i]);
        auto low = internal::hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        digest.bytes[i] = static_cast<std::uint8_t>((high << 4U) | low);
    }
    return digest;
}

std::string to_string(const key_digest& digest) {
    return std::string(internal::digest_scheme) + internal::to_hex(digest.bytes);
}

std::string short_digest(const key_digest& digest) {
    return internal::to_hex(digest.bytes).substr(0, 8);
}

std::string content_digest(std::string_view text) {
    return internal::to_hex(compute_digest(text).bytes);
}

std::string content_digest(std::initializer_list<std::string_view> pieces) {
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                    &EVP_MD_CTX_free);
    bool done = context != nullptr && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (auto it : pieces)
        done = done && EVP_DigestUpdate(context.get(), it.data(), it.size()) == 1;
    std::array<std::uint8_t, 32> bytes{};
    if (!done || EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return internal::to_hex(bytes);
}

} // namespace azureyoke::state
