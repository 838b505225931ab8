#pragma once

#include "standin.h"

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace bulrushstack::standins {

/// Client connection that receives the tokens of a completion. A fault can interrupt it after a number of tokens.
struct AttachedClient {
    explicit AttachedClient(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer; ///< cancelled when the state or the token count of the completion changes
    std::size_t faultAfterTokens = SIZE_MAX; ///< tokens to deliver before `action` is applied; SIZE_MAX: no fault
    FaultAction action = FaultAction::Drop;
};

/// Parsed body and headers of a completion request.
struct CompletionRequest {
    std::string attempt; ///< attempt ID, from X-Request-Id
    std::string salt; ///< from X-Cache-Salt; requests share prefix cache blocks only if their salts are equal
    std::string digest; ///< SHA-256 of the request body
    std::string model;
    std::string prompt;
    std::string seed;
    std::size_t maxTokens = 16;
    unsigned priority = 1; ///< 0 to 2; lower values are admitted first
    bool isChat = false;
    bool isStream = false;
};

/// Parses a completion request. Returns an empty optional if a required field is missing, or if a value has the wrong
/// type or is out of range.
std::optional<CompletionRequest> parseCompletionRequest(const HttpRequest& request);

enum class CompletionState {
    Queued,
    Running,
    Ended,
    Cancelled,
    Failed,
};

/// A request that the engine has accepted. The generated text is a function of model, prompt and seed only, so that a
/// resumed or repeated request yields the same text.
class Completion {
public:
    explicit Completion(CompletionRequest completionRequest);

    bool isFinished() const { return state != CompletionState::Queued && state != CompletionState::Running; }

    /// Returns the generated word at the token offset. Any offset below the requested number of tokens is valid, also
    /// before that token counts as generated.
    std::string word(std::size_t offset) const;

    /// Returns the JSON data of the server-sent event for the token at the offset.
    std::string eventData(std::size_t offset) const;

    /// Returns the JSON body of the complete, non-streaming response.
    std::string responseBody() const;

    /// Wakes the coroutines of the attached connections.
    void notify();

    /// Applies the fault action to each attached connection once it has delivered the tokens generated so far.
    /// Connections that already have a fault keep it.
    void stopAttachedClients(FaultAction action);

    CompletionRequest request;
    std::string version; ///< version of the model that executes the request
    std::uint64_t sequence = 0; ///< arrival number, which orders requests of equal priority
    CompletionState state = CompletionState::Queued;
    bool wasStarted = false;
    std::size_t tokens = 0; ///< number of tokens generated so far
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    double remainingPrefillTokens = 0; ///< prompt tokens that are still to be processed
    SteadyTime pausedUntil {};
    std::optional<FaultAction> pendingFault; ///< applied when `pausedUntil` has passed
    SteadyTime endedAt {};
    std::set<AttachedClient*> attachedClients;

private:
    nlohmann::json commonFields(const char* object) const;

    std::string m_contentDigest;
};

using CompletionPtr = std::shared_ptr<Completion>;

} // namespace bulrushstack::standins
