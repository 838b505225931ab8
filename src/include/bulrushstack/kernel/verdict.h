#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushstack {

/// States whether a request, or one attempt at it, may have run on an upstream.
///
/// The order of the values is meaningful: the verdict of a request is the join (maximum) of the verdicts of its
/// attempts. Only NotRun permits another attempt at a non-idempotent request.
enum class Verdict : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Returns the join of two verdicts.
constexpr Verdict join(Verdict a, Verdict b) { return a < b ? b : a; }

/// Returns the spelling used in JSON and headers: "not-run", "may-have-run" or "ran".
std::string_view toString(Verdict verdict);

/// Parses the spelling given by toString(); empty for any other text.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace bulrushstack
