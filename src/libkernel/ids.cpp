#include "bulrushstack/kernel/ids.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace bulrushstack {

std::string toHex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const unsigned char c : bytes) {
        out += digits[c >> 4];
        out += digits[c & 15];
    }
    return out;
}

std::string randomId()
{
    std::array<unsigned char, 16> buf;
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        throw std::runtime_error("the system random number generator failed");
    return toHex({ reinterpret_cast<const char*>(buf.data()), buf.size() });
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf;
    unsigned n = 0;
    if (EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return toHex({ reinterpret_cast<const char*>(buf.data()), n });
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf;
    unsigned n = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, data.size(), buf.data(), &n))
        throw std::runtime_error("HMAC-SHA256 is not available");
    return { reinterpret_cast<const char*>(buf.data()), n };
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace bulrushstack
