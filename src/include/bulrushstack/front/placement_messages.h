#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/suspect_requests.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Demand for an adapter of a model.
struct AdapterDemand {
    std::string service;
    std::string model;
    std::string adapter;
    /// Id of an upstream that rejected a request for the adapter as misdirected; empty if there is none.
    std::string refusedBy;

    friend bool operator==(const AdapterDemand&, const AdapterDemand&) = default;
};

/// Demand that an instance reports to the holder of the placement lease.
struct DemandMessage {
    std::string instance;
    std::vector<ModelDemand> models;
    std::vector<AdapterDemand> adapters;
    std::vector<CrashCount> crashes;
    /// Ids of upstreams to which a connection failed recently.
    std::vector<std::string> unreachable;

    friend bool operator==(const DemandMessage&, const DemandMessage&) = default;
};

/// A replica of a model that is being unloaded and gets no new requests.
struct RetiringReplica {
    std::string upstream;
    std::string model;

    friend bool operator==(const RetiringReplica&, const RetiringReplica&) = default;
};

/// Reply of the lease holder to a demand message.
struct DemandReply {
    /// Whether the instance that replies holds the lease. If not, the lease must be read again.
    bool isHolder = false;
    /// Version of the row of the lease after its last renewal.
    std::uint64_t leaseVersion = 0;
    /// Number of instances that report their demand.
    unsigned instances = 1;
    std::vector<RetiringReplica> retiring;
    std::vector<CrashCount> crashes;

    friend bool operator==(const DemandReply&, const DemandReply&) = default;
};

/// Reply of the lease holder to the demand for an adapter.
struct AdapterReply {
    /// Id of the upstream that has the adapter loaded.
    std::string upstream;

    friend bool operator==(const AdapterReply&, const AdapterReply&) = default;
};

std::string encode(const DemandMessage& message);
std::string encode(const DemandReply& reply);
std::string encode(const AdapterDemand& demand);
std::string encode(const AdapterReply& reply);

/// Each of these functions decodes one message. They fail with Errc::Malformed and ignore unknown fields.
Result<DemandMessage> decodeDemandMessage(std::string_view text);
Result<DemandReply> decodeDemandReply(std::string_view text);
Result<AdapterDemand> decodeAdapterDemand(std::string_view text);
Result<AdapterReply> decodeAdapterReply(std::string_view text);

} // namespace bulrushstack
