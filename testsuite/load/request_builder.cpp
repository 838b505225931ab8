#include "request_builder.h"

#include <array>
#include <random>

namespace bulrushstack::load {

using json = nlohmann::json;

namespace {

std::string randomWords(std::uint64_t seed, unsigned count)
{
    static constexpr std::array vocabulary { "aria", "bell", "cantata", "duet", "encore", "finale", "gavotte", "harp",
        "interlude", "largo", "motif", "nocturne", "overture", "prelude", "rondo", "sonata" };
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::size_t> choice(0, vocabulary.size() - 1);
    std::string out;
    for (unsigned i = 0; i < count; ++i) {
        out += vocabulary[choice(random)];
        out += ' ';
    }
    return out;
}

std::string chatBody(const RequestSpec& spec, const PlannedRequest& planned)
{
    auto message = json::object();
    message["role"] = "user";
    message["content"] = randomWords(planned.prompt, spec.promptWords) + "request " + std::to_string(planned.number);
    auto body = json::object();
    body["model"] = spec.model;
    body["messages"] = json::array();
    body["messages"].push_back(std::move(message));
    body["max_tokens"] = spec.maxTokens;
    if (spec.kind == RequestKind::Stream)
        body["stream"] = true;
    return body.dump();
}

} // namespace

HttpRequest buildRequest(const Experiment& experiment, const PlannedRequest& planned, const std::string& runId)
{
    const auto& spec = experiment.requests[planned.request];
    HttpRequest request;
    request.headers.set("Authorization", "Bearer " + experiment.teams[planned.team].token);
    if (!spec.urgency.empty())
        request.headers.set("Bulrush-Urgency", spec.urgency);
    if (spec.deadline > std::chrono::nanoseconds(0)) {
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(spec.deadline);
        request.headers.set("Bulrush-Deadline", std::to_string(milliseconds.count()) + "ms");
    }
    request.target = spec.path;
    if (spec.kind == RequestKind::ServiceRead)
        return request;
    request.method = "POST";
    request.headers.set("Content-Type", "application/json");
    if (spec.kind == RequestKind::ServicePost) {
        request.headers.set("Idempotency-Key", runId + "-" + std::to_string(planned.number));
        request.body = spec.body;
    } else {
        request.target = "/v1/chat/completions";
        request.body = chatBody(spec, planned);
    }
    return request;
}

} // namespace bulrushstack::load
