#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

namespace bulrushstack::load {

/// Set of duration samples. Stores every sample, so that percentiles are exact.
class Samples {
public:
    void add(std::chrono::nanoseconds value) { m_values.push_back(value); }

    std::size_t count() const { return m_values.size(); }

    /// Returns the smallest sample that at least `percent` percent of the samples do not exceed (nearest rank); zero
    /// if there are no samples.
    std::chrono::nanoseconds percentile(unsigned percent) const;

    /// Returns a JSON object with the members "count", "p50", "p95", "p99" and "max"; times are in milliseconds.
    nlohmann::json toJson() const;

private:
    std::vector<std::chrono::nanoseconds> m_values;
};

/// Returns the duration in milliseconds, rounded to microseconds.
double toMilliseconds(std::chrono::nanoseconds duration);

} // namespace bulrushstack::load
