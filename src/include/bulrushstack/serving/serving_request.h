#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// One part of a prompt. Equal ids have equal tokens.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// What a caller asks for, independent of the format in which it came.
struct ServingRequest {
    std::string id; ///< unique for each attempt of the caller
    std::string host;
    std::string path; ///< without the query
    std::string model; ///< empty for calls of plain services
    std::string adapter; ///< empty for the base model
    std::vector<PromptPart> prompt; ///< in order; the last part belongs to this request or its session
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0; ///< at most
    std::optional<std::uint32_t> expectedOutputTokens; ///< the caller's estimate
    std::optional<std::chrono::milliseconds> callerTimeout; ///< how long the caller waits

    friend bool operator==(const ServingRequest&, const ServingRequest&) = default;
};

/// Returns the tokens of the part that belongs to the request itself; all of them if its parts are not known.
double unsharedPromptTokens(const ServingRequest& request);

/// Returns a key that is equal for requests whose prompts share everything but their own last part.
std::string prefixKey(const ServingRequest& request);

/// Returns a digest of what the caller asked for, equal when it sends the same again under another id. The parts of the
/// prompt count only where there is no body: a caller that sends a body again may name its parts anew.
std::string requestDigest(const ServingRequest& request, const std::string& target, const std::string& body);

} // namespace bulrushstack
