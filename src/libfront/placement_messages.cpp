#include "bulrushstack/front/placement_messages.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ModelDemand, service, model, requests, workMs, unplaced)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashCount, digest, crashes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdapterDemand, service, model, adapter, refusedBy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandMessage, instance, models, adapters, crashes, unreachable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RetiringReplica, upstream, model)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandReply, isHolder, leaseVersion, instances, retiring, crashes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdapterReply, upstream)

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

std::string encode(const DemandMessage& message) { return encodeAs(message); }
std::string encode(const DemandReply& reply) { return encodeAs(reply); }
std::string encode(const AdapterDemand& demand) { return encodeAs(demand); }
std::string encode(const AdapterReply& reply) { return encodeAs(reply); }

Result<DemandMessage> decodeDemandMessage(std::string_view text) { return decodeAs<DemandMessage>(text); }
Result<DemandReply> decodeDemandReply(std::string_view text) { return decodeAs<DemandReply>(text); }
Result<AdapterDemand> decodeAdapterDemand(std::string_view text) { return decodeAs<AdapterDemand>(text); }
Result<AdapterReply> decodeAdapterReply(std::string_view text) { return decodeAs<AdapterReply>(text); }

} // namespace bulrushstack
