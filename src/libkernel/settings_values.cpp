#include "bulrushstack/kernel/settings.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace bulrushstack {

namespace {

struct Quantity {
    std::uint64_t value = 0;
    std::string_view unit;
};

std::optional<Quantity> parseQuantity(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end == text.data())
        return std::nullopt;
    return Quantity { value, text.substr(static_cast<std::size_t>(end - text.data())) };
}

template <std::size_t N>
std::optional<std::uint64_t> scale(
    const Quantity& number, const std::array<std::pair<std::string_view, std::uint64_t>, N>& units)
{
    for (const auto& [unit, factor] : units) {
        if (number.unit != unit)
            continue;
        if (number.value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()) / factor)
            return std::nullopt;
        return number.value * factor;
    }
    return std::nullopt;
}

constexpr std::array<std::pair<std::string_view, std::uint64_t>, 6> durationUnits { {
    { "ns", 1 },
    { "us", 1'000 },
    { "ms", 1'000'000 },
    { "s", 1'000'000'000 },
    { "m", 60'000'000'000 },
    { "h", 3'600'000'000'000 },
} };

constexpr std::array<std::pair<std::string_view, std::uint64_t>, 6> sizeUnits { {
    { "", 1 },
    { "B", 1 },
    { "KiB", 1ULL << 10 },
    { "MiB", 1ULL << 20 },
    { "GiB", 1ULL << 30 },
    { "TiB", 1ULL << 40 },
} };

} // namespace

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

std::optional<std::chrono::nanoseconds> parseDuration(std::string_view text)
{
    auto number = parseQuantity(text);
    if (!number)
        return std::nullopt;
    auto n = scale(*number, durationUnits);
    if (!n)
        return std::nullopt;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(*n));
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    auto number = parseQuantity(text);
    return number ? scale(*number, sizeUnits) : std::nullopt;
}

std::optional<Address> parseAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(std::string(host), ec);
    if (ec || address.is_v6() != isBracketed)
        return std::nullopt;
    auto quantity = parseQuantity(text.substr(colon + 1));
    if (!quantity || !quantity->unit.empty() || quantity->value > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return Address { .host = std::string(host), .port = static_cast<std::uint16_t>(quantity->value) };
}

std::string Address::toString() const
{
    const bool isV6 = host.find(':') != std::string::npos;
    return (isV6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

} // namespace bulrushstack
