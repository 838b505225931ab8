#pragma once

#include <chrono>
#include <string_view>

namespace bulrushstack {

/// Parses the value of a Retry-After header field as a number of seconds, with or without a fraction. Zero and negative
/// values mean no pause. Dates and other values that are not a number give `defaultRetryAfter`; values over
/// `maxRetryAfter` are capped to it.
std::chrono::milliseconds parseRetryAfter(std::string_view value);

/// Pause for a value that is present but cannot be parsed: the upstream asks for a pause of unknown length.
inline constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

/// Upper bound of the pause.
inline constexpr std::chrono::milliseconds maxRetryAfter { 60'000 };

} // namespace bulrushstack
