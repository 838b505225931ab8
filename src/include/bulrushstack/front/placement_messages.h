#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/relay/store_reader.h"
#include "bulrushstack/serving/crash_suspects.h"
#include "bulrushstack/serving/model_demand.h"
#include "bulrushstack/serving/origin_replicator.h"
#include "bulrushstack/serving/permit_issuer.h"
#include "bulrushstack/serving/trial_reservations.h"
#include "bulrushstack/teams/quota_issuer.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
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

/// Demand that an instance reports to the holder of the placement lease. A reader adds the demand that other instances
/// reported to it.
struct DemandMessage {
    std::string instance;
    std::vector<ModelDemand> models;
    std::vector<AdapterDemand> adapters;
    /// What the sender knows of crashes; empty if the receiver's last fingerprint was the same.
    std::vector<UpstreamCrash> crashes;
    /// Fingerprint of all crashes that the sender knows.
    std::uint64_t crashFingerprint = 0;
    /// Fingerprint of the peers that the sender knows.
    std::uint64_t peerFingerprint = 0;
    /// Ids of upstreams to which a connection failed recently.
    std::vector<std::string> unreachable;
    /// The instances whose demand the message contains, the sender first.
    std::vector<RelayMember> reporters;
    /// What the instances have spent on credit of teams' quotas; empty if no team has a quota.
    std::vector<CreditUse> creditUses;

    friend bool operator==(const DemandMessage&, const DemandMessage&) = default;
};

/// A replica of a model that is being unloaded and gets no new requests.
struct RetiringReplica {
    std::string upstream;
    std::string model;

    friend bool operator==(const RetiringReplica&, const RetiringReplica&) = default;
};

/// Reply of the lease holder to a demand message, or of a reader that passes on what the holder replied to it.
struct DemandReply {
    /// Whether the reply is that of the lease holder, possibly passed on. If not, the lease must be read again.
    bool isHolder = false;
    /// Version of the row of the lease after its last renewal.
    std::uint64_t leaseVersion = 0;
    /// Number of instances whose demand the holder knows, or knew of the previous holder while it has not heard of all.
    unsigned instances = 1;
    std::vector<RetiringReplica> retiring;
    /// What the one that replies knows of crashes; empty if its fingerprint is that of the message.
    std::vector<UpstreamCrash> crashes;
    std::uint64_t crashFingerprint = 0;
    /// All instances, while they have to remember streams for each other; empty if the sender knows them.
    std::optional<std::vector<Peer>> peers;
    /// Id and address of the holder.
    std::string holder;
    Address holderAddress;
    /// Time since the holder replied.
    std::chrono::milliseconds age {};
    /// Number of instances that report to the one that replies.
    unsigned reporters = 0;
    /// Whether the one that replies is a reader, which claims the lease if it lapses.
    bool isReader = false;
    /// Readers of the receiver's availability zone; empty while the holder does not know all instances.
    std::optional<std::vector<StoreReader>> readers;
    /// Units of teams' quotas that the sender of the message may spend without asking. A reader passes none on.
    std::vector<TeamCredit> credits;

    friend bool operator==(const DemandReply&, const DemandReply&) = default;
};

/// Reply of the lease holder to the demand for an adapter.
struct AdapterReply {
    /// Id of the upstream that has the adapter loaded.
    std::string upstream;

    friend bool operator==(const AdapterReply&, const AdapterReply&) = default;
};

/// Asks another instance where a stream began.
struct OriginRequest {
    std::string request; ///< Id of the request that got the first event.
    std::string service; ///< Service of the request that takes the stream up again.

    friend bool operator==(const OriginRequest&, const OriginRequest&) = default;
};

struct OriginReply {
    std::optional<StreamOrigin> origin; ///< Empty if it is not known.
    /// Whether the service had upstreams of several software versions in the time in which the stream may have begun.
    bool isVersionAmbiguous = false;

    friend bool operator==(const OriginReply&, const OriginReply&) = default;
};

std::string encode(const DemandMessage& message);
std::string encode(const DemandReply& reply);
std::string encode(const AdapterDemand& demand);
std::string encode(const AdapterReply& reply);
std::string encode(const PermitRequest& request);
std::string encode(const PermitReply& reply);
std::string encode(const QuotaRequest& request);
std::string encode(const QuotaReply& reply);
std::string encode(const TrialRequest& request);
std::string encode(const TrialReply& reply);
std::string encode(const OriginRequest& request);
std::string encode(const OriginReply& reply);
std::string encode(const std::vector<StreamOrigin>& origins);

/// Encodes crashes for the platform's store.
nlohmann::json encodeCrashes(const std::vector<UpstreamCrash>& crashes);

/// Fails with Errc::Malformed.
Result<std::vector<UpstreamCrash>> decodeCrashes(const nlohmann::json& document);

/// Each of these functions decodes one message. They fail with Errc::Malformed and ignore unknown fields.
Result<DemandMessage> decodeDemandMessage(std::string_view text);
Result<DemandReply> decodeDemandReply(std::string_view text);
Result<AdapterDemand> decodeAdapterDemand(std::string_view text);
Result<AdapterReply> decodeAdapterReply(std::string_view text);
Result<PermitRequest> decodePermitRequest(std::string_view text);
Result<PermitReply> decodePermitReply(std::string_view text);
Result<QuotaRequest> decodeQuotaRequest(std::string_view text);
Result<QuotaReply> decodeQuotaReply(std::string_view text);
Result<TrialRequest> decodeTrialRequest(std::string_view text);
Result<TrialReply> decodeTrialReply(std::string_view text);
Result<OriginRequest> decodeOriginRequest(std::string_view text);
Result<OriginReply> decodeOriginReply(std::string_view text);
Result<std::vector<StreamOrigin>> decodeStreamOrigins(std::string_view text);

} // namespace bulrushstack
