#include "model_recovery.h"

namespace bulrushstack::detail {

namespace {

bool isUnreachable(const Failure& failure)
{
    return failure.verdict == Verdict::NotRun || failure.code == std::errc::connection_refused
        || failure.code == std::errc::host_unreachable || failure.code == std::errc::network_unreachable;
}

/// Returns whether the upstream may still know the stream, so that a resume can succeed.
bool isResumable(const BrokenStream& stream)
{
    const auto& failure = stream.failure;
    switch (stream.step) {
    case StreamStep::Open:
        // A response with an error status means that no stream was opened.
        return failure.verdict != Verdict::NotRun && failure.code != Errc::NotFound
            && failure.code != Errc::Unavailable;
    case StreamStep::Resume:
        return failure.code != Errc::NotFound;
    case StreamStep::Read:
        return failure.code != Errc::Unavailable;
    }
    return false;
}

} // namespace

bool isRejectedAsInvalid(const BrokenStream& stream)
{
    return stream.step == StreamStep::Open && stream.failure.code == Errc::InvalidArgument;
}

Recovery chooseRecovery(const BrokenStream& stream)
{
    if (isRejectedAsInvalid(stream))
        return Recovery::GiveUp;
    const bool isRetryable = stream.deliveredCount == 0 || stream.isDeterministic;
    // An upstream that cannot be reached has probably lost the stream, and a retry elsewhere is faster.
    const bool isProbablyLost = stream.step == StreamStep::Resume && isUnreachable(stream.failure) && isRetryable;
    if (isResumable(stream) && !isProbablyLost && stream.resumesWithoutProgress < stream.resumeLimit)
        return Recovery::Resume;
    return isRetryable ? Recovery::Retry : Recovery::GiveUp;
}

} // namespace bulrushstack::detail
