#include "samples.h"

#include <algorithm>
#include <cmath>

namespace bulrushstack::load {

using std::chrono::nanoseconds;

nanoseconds Samples::percentile(unsigned percent) const
{
    if (m_values.empty())
        return {};
    const auto rank = std::clamp<std::size_t>((m_values.size() * percent + 99) / 100, 1, m_values.size());
    auto sorted = m_values;
    const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(rank - 1);
    std::nth_element(sorted.begin(), it, sorted.end());
    return *it;
}

nlohmann::json Samples::toJson() const
{
    auto out = nlohmann::json::object();
    out["count"] = count();
    out["p50"] = toMilliseconds(percentile(50));
    out["p95"] = toMilliseconds(percentile(95));
    out["p99"] = toMilliseconds(percentile(99));
    out["max"] = toMilliseconds(percentile(100));
    return out;
}

double toMilliseconds(nanoseconds duration) { return std::round(static_cast<double>(duration.count()) / 1e3) / 1e3; }

} // namespace bulrushstack::load
