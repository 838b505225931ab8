#include "model_recovery.h"

namespace bulrushstack::detail {

Recovery chooseRecovery(const BrokenStream& stream)
{
    const bool isRepeatable = stream.delivered == 0 || stream.isDeterministic;
    const auto otherwise = isRepeatable ? Recovery::Repeat : Recovery::GiveUp;
    const bool isUnknown = stream.isResuming && stream.failure.code == Errc::NotFound;
    const bool isNotStarted = !stream.isResuming && stream.failure.verdict == Verdict::NotRun;
    if (isUnknown || isNotStarted || stream.fruitlessResumes >= stream.resumeLimit)
        return otherwise;
    // An upstream that cannot be reached has probably lost the stream; another one answers sooner.
    const bool isUnreachable = stream.isResuming && stream.failure.verdict == Verdict::NotRun;
    return isUnreachable && isRepeatable ? Recovery::Repeat : Recovery::Resume;
}

} // namespace bulrushstack::detail
