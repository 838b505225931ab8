#pragma once

#include "bulrushstack/kernel/result.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// A message between instances with its sender, receiver and sequence number. The tag of a request is random and is
/// repeated in the reply, so that a recorded reply cannot be replayed as the reply to a later request.
struct PeerEnvelope {
    std::string from; ///< instance id of the sender
    std::uint64_t incarnation = 0; ///< incarnation of the sender; higher in each new process
    std::uint64_t sequence = 0; ///< increases with each message that the sender's process sends
    std::string to; ///< address of the receiver of a request; empty in replies
    std::string tag; ///< random id that ties a reply to its request
    nlohmann::json body;

    friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};

/// Encodes the envelope as a CBOR map and returns the HMAC-SHA256 of the map followed by the map.
std::string encodeSignedEnvelope(const PeerEnvelope& envelope, std::string_view key);

/// Verifies and decodes a message. Fails with Errc::TooLarge above `messageLimit` bytes, with Errc::Unauthenticated if
/// the HMAC matches none of the keys, and with Errc::Malformed if the message has another format.
Result<PeerEnvelope> decodeSignedEnvelope(
    std::string_view data, const std::vector<std::string>& keys, std::size_t messageLimit);

/// Rejects replayed messages by their sequence numbers. For each sender it keeps a sliding window of 64 numbers; older
/// numbers count as replayed. A higher incarnation of a sender starts a new window; a lower one is rejected.
class ReplayGuard {
public:
    /// Returns whether the message is new and records its sequence number.
    bool accept(const std::string& from, std::uint64_t incarnation, std::uint64_t sequence);

    /// Returns the highest incarnation received from the sender; 0 if there is none.
    std::uint64_t incarnationOf(const std::string& from) const;

private:
    struct Window {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0; ///< highest sequence number received
        std::uint64_t seen = 0; ///< bitmap: bit i is set if number `highest - i` was received
    };

    std::map<std::string, Window, std::less<>> m_windows;
};

} // namespace bulrushstack
