#pragma once

#include <chrono>
#include <string_view>

namespace bulrushstack {

/// Reads the value of a Retry-After field of an upstream: seconds, with a fraction or without. Zero and negative
/// values mean no pause; a date and what is no number mean `defaultRetryAfter`.
std::chrono::milliseconds parseRetryAfter(std::string_view value);

/// Pause taken from a value that is present but not readable: the upstream wants one, of unknown length.
inline constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

/// Largest value that is read; larger ones mean this.
inline constexpr std::chrono::milliseconds maxRetryAfter { 60'000 };

} // namespace bulrushstack
