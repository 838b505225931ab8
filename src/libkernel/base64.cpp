#include "bulrushstack/kernel/base64.h"

#include <algorithm>
#include <iterator>
#include <openssl/evp.h>

namespace bulrushstack {

std::string encodeBase64(std::string_view data)
{
    std::string out(4 * ((data.size() + 2) / 3), '\0');
    // EVP_EncodeBlock also writes a terminating NUL, which overwrites the one that std::string keeps after its content.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), reinterpret_cast<const unsigned char*>(data.data()),
        static_cast<int>(data.size()));
    return out;
}

std::optional<std::string> decodeBase64(const std::string& text)
{
    std::string out(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock decodes padding characters as zero bytes and includes them in the size.
    const auto padding = std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)), text.end(), '=');
    out.resize(static_cast<std::size_t>(size - padding));
    return out;
}

} // namespace bulrushstack
