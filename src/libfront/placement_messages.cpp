#include "bulrushstack/front/placement_messages.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdapterDemand, service, model, adapter, refusedBy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RetiringReplica, upstream, model)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdapterReply, upstream)

namespace {

using nlohmann::json;

Address readAddress(const json& document, const char* field)
{
    return parseAddress(document.value(field, "")).value_or(Address());
}

} // namespace

void to_json(json& out, const ModelDemand& demand)
{
    out = { { "service", demand.service }, { "model", demand.model }, { "requests", demand.requests },
        { "workMs", demand.workMs }, { "unplaced", demand.unplaced } };
    if (!demand.unplacedByVersion.empty())
        out["unplacedByVersion"] = demand.unplacedByVersion;
}

void from_json(const json& document, ModelDemand& out)
{
    document.at("service").get_to(out.service);
    document.at("model").get_to(out.model);
    document.at("requests").get_to(out.requests);
    document.at("workMs").get_to(out.workMs);
    document.at("unplaced").get_to(out.unplaced);
    out.unplacedByVersion = document.value("unplacedByVersion", std::map<std::string, std::uint32_t>());
}

void to_json(json& out, const RelayMember& member)
{
    out = { { "instance", member.instance }, { "zone", member.zone }, { "address", member.address.toString() },
        { "processorShare", member.processorShare } };
}

void from_json(const json& document, RelayMember& out)
{
    document.at("instance").get_to(out.instance);
    document.at("zone").get_to(out.zone);
    out.address = readAddress(document, "address");
    document.at("processorShare").get_to(out.processorShare);
}

void to_json(json& out, const StoreReader& reader)
{
    out = { { "instance", reader.instance }, { "address", reader.address.toString() } };
}

void from_json(const json& document, StoreReader& out)
{
    document.at("instance").get_to(out.instance);
    out.address = readAddress(document, "address");
}

/// A peer is an array [instance, address], since a message contains all of them.
void to_json(json& out, const Peer& peer) { out = json::array({ peer.instance, peer.address.toString() }); }

void from_json(const json& document, Peer& out)
{
    document.at(0).get_to(out.instance);
    out.address = parseAddress(document.at(1).get<std::string>()).value_or(Address());
}

/// A suspect is an array [id, depth, flags], since a disruption of many upstreams makes many requests suspect at once.
/// The number of trials follows if there are any; instances of the previous version ignore it.
enum SuspectFlag : unsigned {
    IsPromptPart = 1,
    WasServedBefore = 2,
    IsCleared = 4,
};

void to_json(json& out, const CrashSuspect& suspect)
{
    unsigned flags = 0;
    if (suspect.suspect.kind == SuspectKind::PromptPart)
        flags |= IsPromptPart;
    if (suspect.wasServedBefore)
        flags |= WasServedBefore;
    if (suspect.isCleared)
        flags |= IsCleared;
    out = json::array({ suspect.suspect.id, suspect.depth, flags });
    if (suspect.trials > 0)
        out.push_back(suspect.trials);
}

void from_json(const json& document, CrashSuspect& out)
{
    document.at(0).get_to(out.suspect.id);
    document.at(1).get_to(out.depth);
    const auto flags = document.at(2).get<unsigned>();
    out.suspect.kind = (flags & IsPromptPart) ? SuspectKind::PromptPart : SuspectKind::Request;
    out.wasServedBefore = (flags & WasServedBefore) != 0;
    out.isCleared = (flags & IsCleared) != 0;
    out.trials = document.size() > 3 ? document.at(3).get<unsigned>() : 0;
}

void to_json(json& out, const UpstreamCrash& crash)
{
    out = { { "upstream", crash.upstream }, { "startedAt", crash.startedAt }, { "ageMs", crash.age.count() },
        { "suspects", crash.suspects } };
}

void from_json(const json& document, UpstreamCrash& out)
{
    document.at("upstream").get_to(out.upstream);
    document.at("startedAt").get_to(out.startedAt);
    out.age = std::chrono::milliseconds(document.at("ageMs").get<std::uint32_t>());
    document.at("suspects").get_to(out.suspects);
}

/// A stream is an array [request, service, version, upstream, start time, age in ms], since many streams are reported
/// at once.
void to_json(json& out, const StreamOrigin& origin)
{
    out = json::array({ origin.request, origin.service, origin.softwareVersion, origin.upstream, origin.startedAt,
        origin.age.count() });
}

void from_json(const json& document, StreamOrigin& out)
{
    document.at(0).get_to(out.request);
    document.at(1).get_to(out.service);
    document.at(2).get_to(out.softwareVersion);
    document.at(3).get_to(out.upstream);
    document.at(4).get_to(out.startedAt);
    out.age = std::chrono::milliseconds(document.at(5).get<std::uint32_t>());
}

/// An array [team, units], since an instance reports all active teams a few times a second.
void to_json(json& out, const TeamUnits& units) { out = json::array({ units.team, units.units }); }

void from_json(const json& document, TeamUnits& out)
{
    document.at(0).get_to(out.team);
    document.at(1).get_to(out.units);
}

/// An array [team, units, share], for the same reason.
void to_json(json& out, const TeamCredit& credit) { out = json::array({ credit.team, credit.units, credit.share }); }

void from_json(const json& document, TeamCredit& out)
{
    document.at(0).get_to(out.team);
    document.at(1).get_to(out.units);
    document.at(2).get_to(out.share);
}

void to_json(json& out, const CreditUse& use)
{
    out = { { "instance", use.instance }, { "process", use.process }, { "totals", use.totals } };
}

void from_json(const json& document, CreditUse& out)
{
    document.at("instance").get_to(out.instance);
    document.at("process").get_to(out.process);
    document.at("totals").get_to(out.totals);
}

// Instances of the previous version require the field "crashes", which held another type.
void to_json(json& out, const DemandMessage& message)
{
    out = { { "instance", message.instance }, { "models", message.models }, { "adapters", message.adapters },
        { "crashes", json::array() }, { "upstreamCrashes", message.crashes },
        { "crashFingerprint", message.crashFingerprint }, { "unreachable", message.unreachable },
        { "reporters", message.reporters }, { "peerFingerprint", message.peerFingerprint } };
    if (!message.creditUses.empty())
        out["creditUses"] = message.creditUses;
}

// Fields that instances of the previous version do not send are optional.
void from_json(const json& document, DemandMessage& out)
{
    document.at("instance").get_to(out.instance);
    document.at("models").get_to(out.models);
    document.at("adapters").get_to(out.adapters);
    out.crashes = document.value("upstreamCrashes", std::vector<UpstreamCrash>());
    out.crashFingerprint = document.value("crashFingerprint", std::uint64_t { 0 });
    document.at("unreachable").get_to(out.unreachable);
    out.reporters = document.value("reporters", std::vector<RelayMember>());
    out.peerFingerprint = document.value("peerFingerprint", std::uint64_t { 0 });
    out.creditUses = document.value("creditUses", std::vector<CreditUse>());
}

void to_json(json& out, const DemandReply& reply)
{
    out = { { "isHolder", reply.isHolder }, { "leaseVersion", reply.leaseVersion }, { "instances", reply.instances },
        { "retiring", reply.retiring }, { "crashes", json::array() }, { "upstreamCrashes", reply.crashes },
        { "crashFingerprint", reply.crashFingerprint }, { "holder", reply.holder },
        { "holderAddress", reply.holderAddress.toString() }, { "ageMs", reply.age.count() },
        { "reporters", reply.reporters }, { "isReader", reply.isReader } };
    if (reply.readers)
        out["readers"] = *reply.readers;
    if (reply.peers)
        out["peers"] = *reply.peers;
    if (!reply.credits.empty())
        out["credits"] = reply.credits;
}

void from_json(const json& document, DemandReply& out)
{
    document.at("isHolder").get_to(out.isHolder);
    document.at("leaseVersion").get_to(out.leaseVersion);
    document.at("instances").get_to(out.instances);
    document.at("retiring").get_to(out.retiring);
    out.crashes = document.value("upstreamCrashes", std::vector<UpstreamCrash>());
    out.crashFingerprint = document.value("crashFingerprint", std::uint64_t { 0 });
    out.holder = document.value("holder", "");
    out.holderAddress = readAddress(document, "holderAddress");
    out.age = std::chrono::milliseconds(document.value("ageMs", std::uint32_t { 0 }));
    out.reporters = document.value("reporters", 0U);
    out.isReader = document.value("isReader", false);
    if (document.contains("readers"))
        out.readers = document.at("readers").get<std::vector<StoreReader>>();
    if (document.contains("peers"))
        out.peers = document.at("peers").get<std::vector<Peer>>();
    out.credits = document.value("credits", std::vector<TeamCredit>());
}

void to_json(json& out, const OriginRequest& request)
{
    out = { { "request", request.request }, { "service", request.service } };
}

void from_json(const json& document, OriginRequest& out)
{
    document.at("request").get_to(out.request);
    document.at("service").get_to(out.service);
}

void to_json(json& out, const OriginReply& reply)
{
    out = { { "isVersionAmbiguous", reply.isVersionAmbiguous } };
    if (reply.origin)
        out["origin"] = *reply.origin;
}

void from_json(const json& document, OriginReply& out)
{
    document.at("isVersionAmbiguous").get_to(out.isVersionAmbiguous);
    if (document.contains("origin"))
        out.origin = document.at("origin").get<StreamOrigin>();
}

void to_json(json& out, const PermitRequest& request)
{
    out = { { "upstream", request.upstream }, { "startedAt", request.startedAt },
        { "requestsPerSecond", request.requestsPerSecond }, { "ageMs", request.age.count() } };
}

void from_json(const json& document, PermitRequest& out)
{
    document.at("upstream").get_to(out.upstream);
    document.at("startedAt").get_to(out.startedAt);
    document.at("requestsPerSecond").get_to(out.requestsPerSecond);
    out.age = std::chrono::milliseconds(document.at("ageMs").get<std::uint32_t>());
}

void to_json(json& out, const PermitReply& reply)
{
    out = { { "isGranted", reply.isGranted }, { "retryAfterMs", reply.retryAfter.count() } };
}

void from_json(const json& document, PermitReply& out)
{
    document.at("isGranted").get_to(out.isGranted);
    out.retryAfter = std::chrono::milliseconds(document.at("retryAfterMs").get<std::uint32_t>());
}

/// A suspect of a trial is an array [kind, id].
void to_json(json& out, const SuspectId& suspect)
{
    out = json::array({ suspect.kind == SuspectKind::PromptPart, suspect.id });
}

void from_json(const json& document, SuspectId& out)
{
    out.kind = document.at(0).get<bool>() ? SuspectKind::PromptPart : SuspectKind::Request;
    document.at(1).get_to(out.id);
}

void to_json(json& out, const TrialRequest& request) { out = { { "suspects", request.suspects } }; }

void from_json(const json& document, TrialRequest& out) { document.at("suspects").get_to(out.suspects); }

void to_json(json& out, const TrialReply& reply) { out = { { "isGranted", reply.isGranted } }; }

void from_json(const json& document, TrialReply& out) { document.at("isGranted").get_to(out.isGranted); }

void to_json(json& out, const QuotaRequest& request)
{
    out = { { "instance", request.instance }, { "team", request.team }, { "units", request.units },
        { "share", request.share }, { "isForDeputy", request.isForDeputy } };
}

void from_json(const json& document, QuotaRequest& out)
{
    document.at("instance").get_to(out.instance);
    document.at("team").get_to(out.team);
    document.at("units").get_to(out.units);
    document.at("share").get_to(out.share);
    document.at("isForDeputy").get_to(out.isForDeputy);
}

void to_json(json& out, const QuotaReply& reply)
{
    out = { { "isGranted", reply.isGranted }, { "retryAfterMs", reply.retryAfter.count() } };
}

void from_json(const json& document, QuotaReply& out)
{
    document.at("isGranted").get_to(out.isGranted);
    out.retryAfter = std::chrono::milliseconds(document.at("retryAfterMs").get<std::uint32_t>());
}

namespace {

template <typename T> std::string encodeAs(const T& value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <typename T> Result<T> decodeAs(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    try {
        return document.get<T>();
    } catch (const nlohmann::json::exception& error) {
        return Failure { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = error.what() };
    }
}

} // namespace

json encodeCrashes(const std::vector<UpstreamCrash>& crashes) { return { { "crashes", crashes } }; }

Result<std::vector<UpstreamCrash>> decodeCrashes(const json& document)
{
    try {
        return document.at("crashes").get<std::vector<UpstreamCrash>>();
    } catch (const json::exception& error) {
        return Failure { .code = Errc::Malformed, .verdict = Verdict::NotRun, .detail = error.what() };
    }
}

std::string encode(const DemandMessage& message) { return encodeAs(message); }
std::string encode(const DemandReply& reply) { return encodeAs(reply); }
std::string encode(const AdapterDemand& demand) { return encodeAs(demand); }
std::string encode(const AdapterReply& reply) { return encodeAs(reply); }
std::string encode(const PermitRequest& request) { return encodeAs(request); }
std::string encode(const PermitReply& reply) { return encodeAs(reply); }
std::string encode(const QuotaRequest& request) { return encodeAs(request); }
std::string encode(const QuotaReply& reply) { return encodeAs(reply); }
std::string encode(const TrialRequest& request) { return encodeAs(request); }
std::string encode(const TrialReply& reply) { return encodeAs(reply); }
std::string encode(const OriginRequest& request) { return encodeAs(request); }
std::string encode(const OriginReply& reply) { return encodeAs(reply); }
std::string encode(const std::vector<StreamOrigin>& origins) { return encodeAs(origins); }

Result<DemandMessage> decodeDemandMessage(std::string_view text) { return decodeAs<DemandMessage>(text); }
Result<DemandReply> decodeDemandReply(std::string_view text) { return decodeAs<DemandReply>(text); }
Result<AdapterDemand> decodeAdapterDemand(std::string_view text) { return decodeAs<AdapterDemand>(text); }
Result<AdapterReply> decodeAdapterReply(std::string_view text) { return decodeAs<AdapterReply>(text); }
Result<PermitRequest> decodePermitRequest(std::string_view text) { return decodeAs<PermitRequest>(text); }
Result<PermitReply> decodePermitReply(std::string_view text) { return decodeAs<PermitReply>(text); }
Result<QuotaRequest> decodeQuotaRequest(std::string_view text) { return decodeAs<QuotaRequest>(text); }
Result<QuotaReply> decodeQuotaReply(std::string_view text) { return decodeAs<QuotaReply>(text); }
Result<TrialRequest> decodeTrialRequest(std::string_view text) { return decodeAs<TrialRequest>(text); }
Result<TrialReply> decodeTrialReply(std::string_view text) { return decodeAs<TrialReply>(text); }
Result<OriginRequest> decodeOriginRequest(std::string_view text) { return decodeAs<OriginRequest>(text); }
Result<OriginReply> decodeOriginReply(std::string_view text) { return decodeAs<OriginReply>(text); }

Result<std::vector<StreamOrigin>> decodeStreamOrigins(std::string_view text)
{
    return decodeAs<std::vector<StreamOrigin>>(text);
}

} // namespace bulrushstack
