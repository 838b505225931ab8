#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/upstream_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrushstack {

/// How fast the upstreams of a model service work, as a factor on the usual time: 1 is usual, 2 takes twice as long.
/// Performs no I/O.
///
/// Some upstreams run on slower machines, and all share their machines with other work. A long prompt on a slow
/// upstream delays the next event of every stream there beyond the gap objective. The speed is learnt from the time
/// between the events of the streams under way, at no extra request, against the usual time of the same model. The
/// median is tracked, since single events are late for other reasons, such as a prompt that is read in between.
///
/// Nothing is learnt until upstreams state the speed of their machines in their responses, so that other deployments
/// choose upstreams as before. Each estimate belongs to one process of an upstream and decays to the usual speed.
class UpstreamPace {
public:
    explicit UpstreamPace(const Clock& clock);

    /// Records the factor that an upstream states for this moment.
    void recordStated(const std::string& upstream, std::uint64_t startedAt, double slowdown);

    /// Records the time between two events of a stream.
    void recordEventGap(
        const std::string& upstream, std::uint64_t startedAt, const std::string& model, std::chrono::nanoseconds gap);

    /// Returns whether upstreams have stated their speed lately.
    bool isActive() const;

    /// Returns the expected factor on the usual time; 1 if nothing is known of this process of the upstream.
    double slowdown(const std::string& upstream, std::uint64_t startedAt) const;

    /// Removes upstreams that are not in the directory.
    void retain(const UpstreamDirectory& directory);

private:
    struct Estimate {
        std::uint64_t startedAt = 0;
        double logSlowdown = 0; ///< logarithm of the learnt factor
        std::optional<SteadyTime> learntAt;
        double statedMean = 1; ///< moving average of the stated factors
        double stated = 1;
        std::optional<SteadyTime> statedAt;
    };

    Estimate& estimateOf(const std::string& upstream, std::uint64_t startedAt);

    const Clock& m_clock;
    std::optional<SteadyTime> m_statedAt;
    std::map<std::string, Estimate> m_estimates; ///< by upstream
    std::map<std::string, double> m_usualGapMs; ///< median time between events, by model
};

} // namespace bulrushstack
