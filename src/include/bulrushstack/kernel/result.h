#pragma once

#include "bulrushstack/kernel/verdict.h"

#include <boost/system/result.hpp>
#include <string>
#include <system_error>

namespace bulrushstack {

/// Error codes of bulrushstack. Errors of the operating system and of libraries keep their own categories.
enum class Errc {
    Timeout = 1,
    ConnectionClosed,
    Malformed,
    TooLarge,
    Conflict, ///< a precondition, such as an expected version or a fencing number, was not met
    NotFound,
    Unavailable,
    Refused, ///< the receiver rejected the request without starting it
    MismatchedResponse, ///< the response belongs to another request
    Cancelled,
    InvalidArgument,
    Unauthenticated,
    UpstreamError, ///< the upstream executed the request and reported an error
};

/// Returns the error category of Errc, whose name is "bulrushstack".
const std::error_category& errorCategory();

std::error_code make_error_code(Errc code);

/// The reason why an operation failed, and whether its request may nevertheless have been executed.
struct Failure {
    std::error_code code;
    Verdict verdict = Verdict::NotRun;
    std::string detail; ///< explanation for log lines

    friend bool operator==(const Failure&, const Failure&) = default;
};

/// Returns the failure of a call that certainly did not run because what it needs is not there.
Failure unavailableFailure(std::string detail);

/// Customization point of boost::system::result: Result<T>::value() calls it for a failure. Throws std::system_error.
[[noreturn]] void throw_exception_from_error(const Failure& failure, const boost::source_location& location);

/// Holds the value that an operation returned, or its Failure.
template <typename T> using Result = boost::system::result<T, Failure>;

} // namespace bulrushstack

template <> struct std::is_error_code_enum<bulrushstack::Errc> : std::true_type {
};
