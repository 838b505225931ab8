#include "peer_envelope.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>

namespace bulrushstack {

namespace {

constexpr std::size_t macSize = 32; // size of an HMAC-SHA256 in bytes
constexpr unsigned protocolVersion = 1;

Failure envelopeFailure(Errc code, std::string detail)
{
    return { .code = code, .verdict = Verdict::NotRun, .detail = std::move(detail) };
}

} // namespace

std::string encodeSignedEnvelope(const PeerEnvelope& envelope, std::string_view key)
{
    const nlohmann::json map {
        { "v", protocolVersion },
        { "from", envelope.from },
        { "incarnation", envelope.incarnation },
        { "sequence", envelope.sequence },
        { "to", envelope.to },
        { "tag", envelope.tag },
        { "body", envelope.body },
    };
    std::string payload;
    nlohmann::json::to_cbor(map, payload);
    return hmacSha256(key, payload) + payload;
}

Result<PeerEnvelope> decodeSignedEnvelope(
    std::string_view data, const std::vector<std::string>& keys, std::size_t messageLimit)
{
    if (data.size() > messageLimit)
        return envelopeFailure(Errc::TooLarge, "the message exceeds " + std::to_string(messageLimit) + " bytes");
    if (data.size() <= macSize)
        return envelopeFailure(Errc::Malformed, "the message is too short for an HMAC and a payload");
    const auto mac = data.substr(0, macSize);
    const auto payload = data.substr(macSize);
    const bool isAuthentic = std::any_of(keys.begin(), keys.end(),
        [&](const std::string& key) { return equalInConstantTime(hmacSha256(key, payload), mac); });
    if (!isAuthentic)
        return envelopeFailure(Errc::Unauthenticated, "the HMAC matches none of the accepted keys");

    try {
        const auto map = nlohmann::json::from_cbor(payload);
        if (map.is_object() && map.at("v") == protocolVersion && map.at("body").is_object()) {
            return PeerEnvelope {
                .from = map.at("from").get<std::string>(),
                .incarnation = map.at("incarnation").get<std::uint64_t>(),
                .sequence = map.at("sequence").get<std::uint64_t>(),
                .to = map.at("to").get<std::string>(),
                .tag = map.at("tag").get<std::string>(),
                .body = map.at("body"),
            };
        }
    } catch (const nlohmann::json::exception&) {
        return envelopeFailure(Errc::Malformed, "no CBOR, or a field is missing or has the wrong type");
    }
    return envelopeFailure(Errc::Malformed, "not a message of protocol version 1");
}

std::uint64_t ReplayGuard::incarnationOf(const std::string& from) const
{
    auto it = m_windows.find(from);
    return it == m_windows.end() ? 0 : it->second.incarnation;
}

bool ReplayGuard::accept(const std::string& from, std::uint64_t incarnation, std::uint64_t sequence)
{
    static constexpr std::uint64_t windowSize = 64;
    auto& window = m_windows[from];
    if (incarnation < window.incarnation)
        return false;
    if (incarnation > window.incarnation)
        window = Window { .incarnation = incarnation, .highest = sequence, .seen = 0 };
    if (sequence > window.highest) {
        const std::uint64_t shift = sequence - window.highest;
        window.seen = shift < windowSize ? window.seen << shift : 0;
        window.highest = sequence;
    }
    const std::uint64_t age = window.highest - sequence;
    if (age >= windowSize)
        return false;
    const std::uint64_t bit = std::uint64_t { 1 } << age;
    const bool isNew = !(window.seen & bit);
    window.seen |= bit;
    return isNew;
}

} // namespace bulrushstack
