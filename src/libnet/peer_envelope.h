#pragma once

#include "bulrushstack/kernel/result.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Who sent a message to whom. The tag of a request is random and is repeated in its reply, so that an old reply
/// cannot be passed off as the answer to a new request.
struct PeerEnvelope {
    std::string from;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string to; ///< address of the receiver of a request; empty in replies
    std::string tag;
    nlohmann::json body;

    friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};

/// Returns the HMAC-SHA256 of the CBOR map, followed by the map.
std::string encodeSignedEnvelope(const PeerEnvelope& envelope, std::string_view key);

/// Checks and decodes a message. Fails with Errc::TooLarge, Errc::Unauthenticated or Errc::Malformed.
Result<PeerEnvelope> decodeSignedEnvelope(
    std::string_view data, const std::vector<std::string>& keys, std::size_t messageLimit);

/// Detects repeated sequence numbers of each sender within a sliding window of 64; older numbers count as repeated.
/// A higher incarnation of a sender begins a new window, a lower one is refused.
class ReplayGuard {
public:
    /// Returns whether the message is new, and remembers it.
    bool accept(const std::string& from, std::uint64_t incarnation, std::uint64_t sequence);

private:
    struct Window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< bit i: highest - i was received
    };

    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace bulrushstack
