#include "bulrushstack/kernel/utf8.h"

#include <cstddef>
#include <cstdint>

namespace bulrushstack {

namespace {

/// A range of characters whose encodings have the same length.
struct EncodingLength {
    unsigned char leadMask; ///< bits of the first byte that state the length
    unsigned char lead; ///< their value
    std::size_t size; ///< bytes
    std::uint32_t lowest; ///< lowest character that needs this length
};

constexpr EncodingLength lengths[]
    = { { 0x80, 0x00, 1, 0x0 }, { 0xE0, 0xC0, 2, 0x80 }, { 0xF0, 0xE0, 3, 0x800 }, { 0xF8, 0xF0, 4, 0x10000 } };
constexpr std::uint32_t highestCharacter = 0x10FFFF;
constexpr std::uint32_t firstSurrogate = 0xD800;
constexpr std::uint32_t lastSurrogate = 0xDFFF;

const EncodingLength* findLength(unsigned char first)
{
    for (const auto& it : lengths) {
        if ((first & it.leadMask) == it.lead)
            return &it;
    }
    return nullptr;
}

/// Returns the size in bytes of the valid encoding at the start of the text; 0 if there is none.
std::size_t sizeOfFirst(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text.front());
    const auto* length = findLength(first);
    if (!length || text.size() < length->size)
        return 0;
    std::uint32_t character = first & static_cast<unsigned char>(~length->leadMask);
    for (std::size_t i = 1; i < length->size; ++i) {
        const auto next = static_cast<unsigned char>(text[i]);
        if ((next & 0xC0) != 0x80)
            return 0;
        character = (character << 6) | (next & 0x3FU);
    }
    const bool isSurrogate = character >= firstSurrogate && character <= lastSurrogate;
    return character < length->lowest || character > highestCharacter || isSurrogate ? 0 : length->size;
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const auto n = sizeOfFirst(text);
        if (n == 0)
            return false;
        text.remove_prefix(n);
    }
    return true;
}

} // namespace bulrushstack
