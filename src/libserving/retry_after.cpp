#include "bulrushstack/serving/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bulrushstack {

std::chrono::milliseconds parseRetryAfter(std::string_view value)
{
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ')
        value.remove_suffix(1);
    double seconds = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    const bool isWhole = end == value.data() + value.size();
    if (ec == std::errc::result_out_of_range && isWhole)
        return value.front() == '-' ? std::chrono::milliseconds(0) : maxRetryAfter;
    if (ec != std::errc() || !isWhole || std::isnan(seconds))
        return defaultRetryAfter;
    const double ms = std::clamp(seconds * 1000, 0.0, static_cast<double>(maxRetryAfter.count()));
    return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace bulrushstack
