#include "bulrushstack/kernel/verdict.h"

namespace bulrushstack {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::optional<Verdict> parseVerdict(std::string_view text)
{
    for (auto it : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
        if (text == toString(it))
            return it;
    }
    return std::nullopt;
}

} // namespace bulrushstack
