#pragma once

#include "bulrushstack/kernel/verdict.h"

#include <boost/system/result.hpp>
#include <string>
#include <system_error>

namespace bulrushstack {

/// Error conditions of bulrushstack's own; errors of the operating system and of libraries keep their categories.
enum class Errc {
    Timeout = 1,
    ConnectionClosed,
    Malformed,
    TooLarge,
    Conflict,
    NotFound,
    Unavailable,
    Refused,
    MismatchedResponse,
    Cancelled,
    InvalidArgument,
    Unauthenticated,
};

/// Returns the category of Errc, named "bulrushstack".
const std::error_category& errorCategory();

std::error_code make_error_code(Errc code);

/// Why an operation failed and whether the request that it carried may have run.
struct Failure {
    std::error_code code;
    Verdict verdict = Verdict::NotRun;
    std::string detail;

    friend bool operator==(const Failure&, const Failure&) = default;
};

/// Called by Result<T>::value() on a failure; throws std::system_error.
[[noreturn]] void throw_exception_from_error(const Failure& failure, const boost::source_location& location);

/// The value of an operation, or its Failure.
template <typename T> using Result = boost::system::result<T, Failure>;

} // namespace bulrushstack

template <> struct std::is_error_code_enum<bulrushstack::Errc> : std::true_type {
};
