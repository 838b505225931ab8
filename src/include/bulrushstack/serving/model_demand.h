#pragma once

#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/serving_request.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrushstack {

/// What was asked of one model in some span of time.
struct ModelDemand {
    std::string service;
    std::string model;
    std::uint32_t requests = 0;
    double workMs = 0; ///< estimated time of an upstream that the requests take
    std::uint32_t unplaced = 0; ///< requests that found no upstream with the model

    friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/// Returns the time of an upstream that a request takes, in milliseconds: reading its prompt, and its share of the
/// batch or of the memory, whichever is scarcer, for as long as its output lasts.
///
/// Answers two loads: long prompts that keep an upstream reading, and many long outputs of a small model that fill its
/// batch.
double estimateWorkMs(const ServingRequest& request, const EngineSpec& engine, double prefillMsPerToken);

using ModelKey = std::pair<std::string, std::string>; ///< service and model

/// Demand for models as a rate that follows changes within seconds. No I/O.
class DemandEstimator {
public:
    explicit DemandEstimator(const Clock& clock);

    void add(const std::vector<ModelDemand>& demand);

    /// Returns the work per second, in milliseconds of an upstream.
    double workRate(const std::string& service, const std::string& model) const;

    /// Returns how many requests found no upstream with the model, fading with time.
    double unplaced(const std::string& service, const std::string& model) const;

private:
    struct Rate {
        double work = 0;
        double unplaced = 0;
        SteadyTime updated {};
    };

    double decayed(double value, const Rate& rate) const;
    const Rate* find(const std::string& service, const std::string& model) const;

    const Clock& m_clock;
    std::map<ModelKey, Rate> m_rates;
};

} // namespace bulrushstack
