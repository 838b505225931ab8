#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/suspect_requests.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// An adapter that was asked for.
struct AdapterDemand {
    std::string service;
    std::string model;
    std::string adapter;
    std::string refusedBy; ///< upstream that was believed to hold it and did not; empty if there is none

    friend bool operator==(const AdapterDemand&, const AdapterDemand&) = default;
};

/// What an instance tells the holder of the placement lease.
struct DemandMessage {
    std::string instance;
    std::vector<ModelDemand> models;
    std::vector<AdapterDemand> adapters;
    std::vector<CrashCount> crashes;
    std::vector<std::string> unreachable; ///< upstreams that refused a connection lately

    friend bool operator==(const DemandMessage&, const DemandMessage&) = default;
};

/// A copy that is being unloaded and gets no new requests.
struct RetiringReplica {
    std::string upstream;
    std::string model;

    friend bool operator==(const RetiringReplica&, const RetiringReplica&) = default;
};

/// What the holder answers.
struct DemandReply {
    bool isHolder = false; ///< false: the lease has to be read again
    std::uint64_t leaseVersion = 0; ///< of the lease's row when it was renewed last
    unsigned instances = 1; ///< that report their demand
    std::vector<RetiringReplica> retiring;
    std::vector<CrashCount> crashes;

    friend bool operator==(const DemandReply&, const DemandReply&) = default;
};

/// The answer to a request for an adapter: the upstream that holds it; empty if there is none.
struct AdapterReply {
    std::string upstream;

    friend bool operator==(const AdapterReply&, const AdapterReply&) = default;
};

std::string encode(const DemandMessage& message);
std::string encode(const DemandReply& reply);
std::string encode(const AdapterDemand& request);
std::string encode(const AdapterReply& reply);

/// Each fails with Errc::Malformed; unknown fields are ignored.
Result<DemandMessage> decodeDemandMessage(std::string_view text);
Result<DemandReply> decodeDemandReply(std::string_view text);
Result<AdapterDemand> decodeAdapterDemand(std::string_view text);
Result<AdapterReply> decodeAdapterReply(std::string_view text);

} // namespace bulrushstack
