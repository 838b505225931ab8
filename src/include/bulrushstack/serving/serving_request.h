#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushstack {

/// One part of a prompt. Parts with equal ids have equal tokens.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// A request of a caller, independent of its wire format.
struct ServingRequest {
    std::string id; ///< Request id, unique for each time that the caller sends the request.
    std::string host;
    std::string path; ///< Path of the request target, without the query.
    std::string key; ///< Key of the caller's team; empty if the request has none, or more than one.
    std::string model; ///< Requested model; empty for calls to plain services.
    std::string adapter; ///< Requested adapter; empty for the base model.
    /// Parts of the prompt in order; the last one is specific to this request or its session.
    std::vector<PromptPart> prompt;
    std::uint32_t promptTokens = 0; ///< Length of the whole prompt.
    std::uint32_t maxOutputTokens = 0; ///< Upper limit of the output length.
    std::optional<std::uint32_t> expectedOutputTokens; ///< Estimate of the output length by the caller.
    /// Id of the request that got the first event of the stream that the caller takes up again; empty for a new stream.
    std::string resumedRequest;
    std::optional<std::chrono::milliseconds> callerTimeout; ///< Time for which the caller waits for the response.

    friend bool operator==(const ServingRequest&, const ServingRequest&) = default;
};

/// Returns the number of tokens in the last prompt part, which is specific to the request; the whole prompt length if
/// its parts are not known.
double unsharedPromptTokens(const ServingRequest& request);

/// Returns a key that is equal for requests to the same model and adapter whose prompts differ only in the last part.
std::string prefixKey(const ServingRequest& request);

/// Returns a digest of the request that is equal when the caller sends the same content again under another id. The
/// prompt parts are included only if there is no body, because a caller may assign new part ids when it sends the same
/// body again.
std::string requestDigest(const ServingRequest& request, const std::string& target, const std::string& body);

} // namespace bulrushstack
