#pragma once

#include "standin.h"

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace bulrushstack::standins {

/// One client connection that waits for the tokens of a work item. A fault may stop it at a token.
struct AttachedClient {
    explicit AttachedClient(boost::asio::io_context& context)
        : timer(context)
    {
    }

    boost::asio::steady_timer timer; ///< cancelled when the work item changes
    std::size_t faultAfterTokens = SIZE_MAX; ///< tokens to deliver before `action` strikes
    FaultAction action = FaultAction::Drop;
};

/// What a request asks for.
struct CompletionRequest {
    std::string attempt;
    std::string salt;
    std::string digest; ///< of the body
    std::string model;
    std::string prompt;
    std::string seed;
    std::size_t maxTokens = 16;
    unsigned priority = 1;
    bool isChat = false;
    bool isStream = false;
};

/// Parses the body of a completion request; empty if a field is missing or has another type.
std::optional<CompletionRequest> parseCompletionRequest(const HttpRequest& request);

enum class CompletionState {
    Queued,
    Running,
    Ended,
    Cancelled,
    Failed,
};

/// A request that the engine has accepted. The text depends on model, prompt and seed only.
class Completion {
public:
    explicit Completion(CompletionRequest completionRequest);

    bool isFinished() const { return state != CompletionState::Queued && state != CompletionState::Running; }

    /// Returns the word at the offset; offsets up to the requested number of tokens may be asked for at any time.
    std::string word(std::size_t offset) const;

    /// Returns the data of the stream event at the offset.
    std::string eventData(std::size_t offset) const;

    /// Returns the whole answer.
    std::string responseBody() const;

    /// Wakes the attached connections.
    void notify();

    /// Lets a fault strike the attached connections once they have delivered the tokens that exist.
    void stopAttachedClients(FaultAction action);

    CompletionRequest request;
    std::string version; ///< of the model that runs it
    std::uint64_t sequence = 0; ///< order of arrival
    CompletionState state = CompletionState::Queued;
    bool wasStarted = false;
    std::size_t tokens = 0; ///< generated
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    double remainingPrefillTokens = 0; ///< prompt tokens
    SteadyTime pausedUntil {};
    std::optional<FaultAction> pendingFault; ///< strikes at `pausedUntil`
    SteadyTime endedAt {};
    std::set<AttachedClient*> attachedClients;

private:
    nlohmann::json commonFields(const char* object) const;

    std::string m_contentDigest;
};

using CompletionPtr = std::shared_ptr<Completion>;

} // namespace bulrushstack::standins
