#include "bulrushstack/platform/http_platform.h"

#include "bulrushstack/platform/bounded_json.h"
#include "platform_call.h"
#include "platform_json.h"

#include <algorithm>
#include <limits>

namespace bulrushstack {

using namespace detail;
namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

/// Returns the port number, 0 if the member is absent, or an empty optional if it is not a valid port number.
std::optional<std::uint16_t> parsePort(const json& value, const char* name)
{
    if (!findMember(value, name))
        return std::uint16_t { 0 };
    const auto port = unsignedMember(value, name);
    if (!port || *port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return static_cast<std::uint16_t>(*port);
}

std::optional<Address> parseHostAndPort(const json& value)
{
    auto host = stringMember(value, "host");
    const auto port = parsePort(value, "port");
    if (!host || !port || *port == 0)
        return std::nullopt;
    // The host becomes part of request headers, so an IPv6 scope id after '%' could inject a line break.
    if (host->find_first_not_of("0123456789abcdefABCDEF.:") != std::string::npos)
        return std::nullopt;
    Address address { .host = std::move(*host), .port = *port };
    if (parseAddress(address.toString()) != address)
        return std::nullopt;
    return address;
}

std::optional<InstanceRecord> parseRecord(const json& value)
{
    auto id = stringMember(value, "id");
    auto zone = stringMember(value, "zone");
    const auto role = parseInstanceRole(stringMember(value, "role").value_or(""));
    const auto state = parseInstanceState(stringMember(value, "state").value_or(""));
    auto address = parseHostAndPort(value);
    const auto peerPort = parsePort(value, "peer_port");
    const auto incarnation = unsignedMember(value, "incarnation");
    const auto checksFencing = findMember(value, "checks_fencing") ? boolMember(value, "checks_fencing") : false;
    if (!id || id->empty() || !zone || !role || !state || !address || !peerPort || !incarnation || !checksFencing)
        return std::nullopt;

    InstanceRecord record;
    record.id = std::move(*id);
    record.role = *role;
    record.address = std::move(*address);
    record.zone = std::move(*zone);
    record.state = *state;
    record.incarnation = *incarnation;
    record.checksFencing = *checksFencing;
    if (record.role == InstanceRole::Entry)
        record.peerPort = *peerPort;
    if (record.role == InstanceRole::Service)
        record.service = stringMember(value, "service").value_or("");
    const bool lacksPeerPort = record.role == InstanceRole::Entry && record.peerPort == 0;
    const bool lacksService = record.role == InstanceRole::Service && record.service.empty();
    if (lacksPeerPort || lacksService)
        return std::nullopt;
    return record;
}

std::optional<std::vector<InstanceRecord>> parseRecords(const json& document)
{
    const auto* instances = findMember(document, "instances");
    if (!instances || !instances->is_array())
        return std::nullopt;
    std::vector<InstanceRecord> out;
    out.reserve(instances->size());
    for (const auto& it : *instances) {
        auto record = parseRecord(it);
        if (!record)
            return std::nullopt;
        out.push_back(std::move(*record));
    }
    const auto byId = [](const InstanceRecord& a, const InstanceRecord& b) { return a.id < b.id; };
    const auto haveSameId = [](const InstanceRecord& a, const InstanceRecord& b) { return a.id == b.id; };
    std::sort(out.begin(), out.end(), byId);
    if (std::adjacent_find(out.begin(), out.end(), haveSameId) != out.end())
        return std::nullopt;
    return out;
}

} // namespace

HttpInstanceList::HttpInstanceList(HttpClient& client, Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

asio::awaitable<Result<std::vector<InstanceRecord>>> HttpInstanceList::list(SteadyTime deadline)
{
    HttpRequest request;
    request.target = "/instances";
    auto response
        = co_await callPlatform(m_client, m_address, std::move(request), deadline, RetryMode::OnNewConnection);
    if (!response)
        co_return response.error();
    if (response->status != 200)
        co_return unexpectedStatus(*response, "instance list");
    auto records = parseRecords(parseBoundedJson(response->body));
    if (!records)
        co_return malformedResponse("instance list", Verdict::MayHaveRun);
    co_return std::move(*records);
}

} // namespace bulrushstack
