#pragma once

#include "bulrushstack/execution/problem.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace bulrushstack::detail {

/// Returns the problem "malformed-request" with the given detail.
inline Problem malformedRequest(std::string detail)
{
    return { .code = ProblemCode::MalformedRequest, .detail = std::move(detail) };
}

/// Converts ASCII letters to lower case.
inline std::string toLower(std::string_view text)
{
    std::string out(text);
    std::transform(
        out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace bulrushstack::detail
