#include "bulrushstack/kernel/result.h"

namespace bulrushstack {

namespace {

class ErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "bulrushstack"; }

    std::string message(int value) const override
    {
        switch (static_cast<Errc>(value)) {
        case Errc::Timeout:
            return "timed out";
        case Errc::ConnectionClosed:
            return "connection closed by peer";
        case Errc::Malformed:
            return "malformed message";
        case Errc::TooLarge:
            return "message exceeds its size limit";
        case Errc::Conflict:
            return "precondition not met";
        case Errc::NotFound:
            return "not found";
        case Errc::Unavailable:
            return "unavailable";
        case Errc::Refused:
            return "refused";
        case Errc::MismatchedResponse:
            return "response belongs to another request";
        case Errc::Cancelled:
            return "cancelled";
        case Errc::InvalidArgument:
            return "invalid argument";
        case Errc::Unauthenticated:
            return "not authenticated";
        case Errc::UpstreamError:
            return "upstream error";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(Errc code) { return { static_cast<int>(code), errorCategory() }; }

Failure unavailableFailure(std::string detail)
{
    return { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = std::move(detail) };
}

void throw_exception_from_error(const Failure& failure, const boost::source_location&)
{
    throw std::system_error(failure.code, failure.detail);
}

} // namespace bulrushstack
