#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushstack {

/// States whether a request, or one attempt to send it, may have been executed by an upstream.
///
/// The order of the values matters: the verdict of a request is the maximum of the verdicts of its attempts. A
/// non-idempotent request may be retried only after NotRun.
enum class Verdict : std::uint8_t {
    NotRun, ///< the request was certainly not executed
    MayHaveRun, ///< it is unknown whether the request was executed
    Ran, ///< the request was executed
};

/// Returns the maximum of two verdicts, which is the verdict of a request whose attempts had these two.
constexpr Verdict join(Verdict a, Verdict b) { return a < b ? b : a; }

/// Returns the value used in JSON and HTTP headers: "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);

/// Parses a value written by toString(). Returns an empty optional for any other text.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace bulrushstack
