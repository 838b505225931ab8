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

/// Requests for one model during a time span. Part of the demand report that each instance sends to the placement
/// holder.
struct ModelDemand {
    std::string service;
    std::string model;
    std::uint32_t requests = 0;
    double workMs = 0; ///< Estimated milliseconds of upstream time that the requests take.
    std::uint32_t unplaced = 0; ///< Number of requests that found no upstream with the model loaded.
    /// Number of streams to be taken up that found no upstream of their software version with the model loaded, by
    /// version.
    std::map<std::string, std::uint32_t> unplacedByVersion;

    friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/// Estimates the upstream time, in milliseconds, that a request takes: the prefill of its prompt, plus its share of the
/// batch slots or of the KV cache (whichever is larger) for the duration of its output.
///
/// The estimate accounts for two kinds of load: long prompts that keep an upstream busy with prefill, and many long
/// outputs of a small model that fill its batch.
double estimateWorkMs(const ServingRequest& request, const EngineSpec& engine, double prefillMsPerToken);

using ModelKey = std::pair<std::string, std::string>; ///< Service and model name.

/// Estimates the demand for each model as an exponentially decayed rate that follows changes within seconds. Performs
/// no I/O.
class DemandEstimator {
public:
    explicit DemandEstimator(const Clock& clock);

    /// Adds newly reported demand.
    void add(const std::vector<ModelDemand>& demand);

    /// Returns the demand for a model in milliseconds of upstream time per second.
    double workRate(const std::string& service, const std::string& model) const;

    /// Returns the exponentially decayed number of requests that found no upstream with the model.
    double unplaced(const std::string& service, const std::string& model) const;

    /// Returns the exponentially decayed number of streams to be taken up that found no upstream of their software
    /// version with the model, by version.
    std::map<std::string, double> unplacedByVersion(const std::string& service, const std::string& model) const;

private:
    struct Rate {
        double work = 0;
        double unplaced = 0;
        std::map<std::string, double> unplacedByVersion;
        SteadyTime updated {};
    };

    double decayed(double value, const Rate& rate) const;
    std::map<std::string, double> decayed(std::map<std::string, double> values, const Rate& rate) const;
    const Rate* find(const std::string& service, const std::string& model) const;

    const Clock& m_clock;
    std::map<ModelKey, Rate> m_rates;
};

} // namespace bulrushstack
