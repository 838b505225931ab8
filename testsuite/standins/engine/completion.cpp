#include "completion.h"

#include "bulrushstack/kernel/ids.h"

#include <array>

namespace bulrushstack::standins {

using json = nlohmann::json;

namespace {

constexpr std::size_t maxTokensLimit = 65536;

std::optional<std::string> parseMessages(const json& messages)
{
    if (!messages.is_array() || messages.empty())
        return std::nullopt;
    std::string out;
    for (const auto& it : messages) {
        if (!it.is_object() || !it.value("role", json()).is_string() || !it.value("content", json()).is_string())
            return std::nullopt;
        out += it.at("role").get<std::string>() + ": " + it.at("content").get<std::string>() + "\n";
    }
    return out;
}

std::optional<std::string> parsePrompt(const json& document, bool isChat)
{
    if (isChat)
        return parseMessages(document.value("messages", json()));
    const auto prompt = document.value("prompt", json());
    return prompt.is_string() ? std::optional(prompt.get<std::string>()) : std::nullopt;
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(const HttpRequest& request)
{
    const auto document = json::parse(request.body, nullptr, false);
    if (!document.is_object() || !document.value("model", json()).is_string())
        return std::nullopt;
    CompletionRequest out;
    out.isChat = request.path() == "/v1/chat/completions";
    auto prompt = parsePrompt(document, out.isChat);
    const auto maxTokens = document.value("max_tokens", json(out.maxTokens));
    const auto stream = document.value("stream", json(false));
    if (!prompt || !maxTokens.is_number_unsigned() || !stream.is_boolean())
        return std::nullopt;
    out.maxTokens = maxTokens;
    if (out.maxTokens == 0 || out.maxTokens > maxTokensLimit)
        return std::nullopt;
    out.attempt = request.headers.find("X-Request-Id").value_or("");
    out.salt = request.headers.find("X-Cache-Salt").value_or("");
    const auto priority = request.headers.find("X-Priority").value_or("1");
    out.priority = priority == "0" ? 0 : priority == "2" ? 2 : 1;
    out.digest = sha256Hex(request.body);
    out.model = document.at("model");
    out.prompt = std::move(*prompt);
    out.seed = document.value("seed", json(0)).dump();
    out.isStream = stream;
    return out;
}

Completion::Completion(CompletionRequest completionRequest)
    : request(std::move(completionRequest))
    , m_contentDigest(sha256Hex(json({ request.model, request.prompt, request.seed }).dump()))
{
}

std::string Completion::word(std::size_t offset) const
{
    static constexpr std::array<const char*, 32> words { "amber", "bell", "cloud", "door", "ember", "field", "garden",
        "harbour", "island", "journey", "kettle", "lantern", "meadow", "night", "ocean", "paper", "quiet", "river",
        "silver", "tower", "under", "velvet", "water", "yellow", "stone", "rain", "bread", "candle", "summer", "glass",
        "thread", "winter" };
    const auto digest = sha256Hex(m_contentDigest + std::to_string(offset));
    return std::string(offset == 0 ? "" : " ") + words.at(std::stoul(digest.substr(0, 4), nullptr, 16) % words.size());
}

json Completion::commonFields(const char* object) const
{
    return { { "id", (request.isChat ? "chatcmpl-" : "cmpl-") + m_contentDigest.substr(0, 16) }, { "object", object },
        { "created", 0 }, { "model", request.model } };
}

std::string Completion::eventData(std::size_t offset) const
{
    auto out = commonFields(request.isChat ? "chat.completion.chunk" : "text_completion");
    json choice { { "index", 0 }, { "finish_reason", nullptr } };
    if (offset + 1 == request.maxTokens)
        choice["finish_reason"] = "length";
    if (request.isChat)
        choice["delta"] = { { "content", word(offset) } };
    else
        choice["text"] = word(offset);
    out["choices"] = json::array({ choice });
    return out.dump();
}

std::string Completion::responseBody() const
{
    std::string text;
    for (std::size_t i = 0; i < request.maxTokens; ++i)
        text += word(i);
    auto out = commonFields(request.isChat ? "chat.completion" : "text_completion");
    json choice { { "index", 0 }, { "finish_reason", "length" } };
    if (request.isChat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    out["choices"] = json::array({ choice });
    out["usage"] = { { "prompt_tokens", promptTokens }, { "completion_tokens", request.maxTokens },
        { "total_tokens", promptTokens + request.maxTokens } };
    return out.dump();
}

void Completion::notify()
{
    for (auto* it : attachedClients)
        it->timer.cancel();
}

void Completion::stopAttachedClients(FaultAction action)
{
    for (auto* it : attachedClients) {
        if (it->faultAfterTokens != SIZE_MAX)
            continue;
        it->faultAfterTokens = tokens;
        it->action = action;
    }
    notify();
}

} // namespace bulrushstack::standins
