#include "bulrushstack/execution/admission.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace bulrushstack {

namespace {

using nlohmann::json;

constexpr std::size_t maxPromptPrefixBytes = 256;

/// Thrown for a body that is not valid; caught in admitModelRequest().
struct BodyError {
    std::string detail;
};

[[noreturn]] void throwTypeError(const std::string& field, const json& value, std::string_view permitted)
{
    throw BodyError { "the field '" + field + "' is of type " + value.type_name() + "; permitted is "
        + std::string(permitted) };
}

/// Parses a body. A repeated field of the outermost object is an error, because the parser of the engine might use the
/// other value, and the request would run on another model than the one that was authorized.
json parseBody(const std::string& body, const BodyLimits& limits)
{
    std::set<std::string> fields;
    auto onParseEvent = [&](int depth, json::parse_event_t event, json& parsed) {
        const bool isStart = event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        if (isStart && depth >= limits.maxNestingDepth)
            throw BodyError { "the body is nested too deeply; permitted are " + std::to_string(limits.maxNestingDepth)
                + " levels" };
        if (event == json::parse_event_t::key && depth == 1 && !fields.insert(parsed.get<std::string>()).second)
            throw BodyError { "the body has a field twice; permitted is each field once" };
        return true;
    };
    try {
        return json::parse(body, onParseEvent);
    } catch (const json::parse_error& error) {
        throw BodyError { "the body is not valid JSON at byte " + std::to_string(error.byte) };
    } catch (const json::out_of_range&) {
        throw BodyError { "the body has a number out of range" };
    }
}

/// Returns an optional field, or null if it is absent. A JSON null counts as absent, as in the OpenAI API.
const json* findField(const json& body, const char* name)
{
    auto it = body.find(name);
    return it == body.end() || it->is_null() ? nullptr : &*it;
}

const json& requireField(const json& body, const char* name, std::string_view permitted)
{
    auto it = body.find(name);
    if (it == body.end())
        throw BodyError { "the field '" + std::string(name) + "' is missing; permitted is " + std::string(permitted) };
    return *it;
}

bool isTokenList(const json& value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const json& it) { return it.is_number_unsigned(); });
}

std::string promptPrefixFrom(const json& body)
{
    static constexpr std::string_view permitted
        = "a string, or a list that is not empty, of strings, of token ids or of lists of token ids";
    const auto& prompt = requireField(body, "prompt", permitted);
    if (prompt.is_string())
        return prompt.get<std::string>();
    if (!prompt.is_array() || prompt.empty())
        throwTypeError("prompt", prompt, permitted);
    if (std::all_of(prompt.begin(), prompt.end(), [](const json& it) { return it.is_string(); }))
        return prompt.front().get<std::string>();
    if (isTokenList(prompt) || std::all_of(prompt.begin(), prompt.end(), isTokenList))
        return prompt.dump();
    throwTypeError("prompt", prompt, permitted);
}

std::string messageText(const json& message, const std::string& name)
{
    if (!message.is_object())
        throwTypeError(name, message, "an object");
    auto role = message.find("role");
    if (role == message.end())
        throw BodyError { "the field '" + name + ".role' is missing; permitted is a string" };
    if (!role->is_string())
        throwTypeError(name + ".role", *role, "a string");
    auto content = message.find("content");
    std::string out = role->get<std::string>() + "\n";
    if (content == message.end() || content->is_null())
        return out;
    if (!content->is_string() && !content->is_array())
        throwTypeError(name + ".content", *content, "a string or a list of parts");
    return out + (content->is_string() ? content->get<std::string>() : content->dump()) + "\n";
}

std::string messagesPrefixFrom(const json& body)
{
    static constexpr std::string_view permitted = "a list of messages that is not empty";
    const auto& messages = requireField(body, "messages", permitted);
    if (!messages.is_array())
        throwTypeError("messages", messages, permitted);
    if (messages.empty())
        throw BodyError { "the field 'messages' is empty; permitted is " + std::string(permitted) };
    std::string prefix;
    for (std::size_t i = 0; i < messages.size(); ++i) {
        auto text = messageText(messages[i], "messages[" + std::to_string(i) + "]");
        if (prefix.size() < maxPromptPrefixBytes)
            prefix += text;
    }
    return prefix;
}

void checkPositiveInteger(const json& body, const char* name, std::uint64_t maximum)
{
    const auto* value = findField(body, name);
    if (!value)
        return;
    const auto permitted = "a whole number from 1 to " + std::to_string(maximum);
    if (!value->is_number_integer())
        throwTypeError(name, *value, permitted);
    const auto number = value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
    if (number < 1 || number > maximum)
        throw BodyError { "the field '" + std::string(name) + "' is " + value->dump() + "; permitted is " + permitted };
}

bool streamFlagFrom(const json& body)
{
    const auto* value = findField(body, "stream");
    if (value && !value->is_boolean())
        throwTypeError("stream", *value, "true or false");
    return value && value->get<bool>();
}

/// Returns whether a retry produces the same stream of events. With several choices it does not, since their events
/// interleave in random order.
bool isDeterministicRequest(const json& body)
{
    const auto* temperature = findField(body, "temperature");
    if (temperature && !temperature->is_number())
        throwTypeError("temperature", *temperature, "a number");
    const auto* seed = findField(body, "seed");
    if (seed && !seed->is_number_integer())
        throwTypeError("seed", *seed, "a whole number");
    const auto* choices = findField(body, "n");
    const bool isOneChoice = !choices || choices->get<std::uint64_t>() == 1;
    return isOneChoice && (seed || (temperature && temperature->get<double>() == 0));
}

ModelRequest parseModelRequest(std::string_view path, std::string body, const BodyLimits& limits)
{
    static constexpr std::uint64_t maxChoices = 128;
    const auto document = parseBody(body, limits);
    if (!document.is_object())
        throw BodyError { "the body is of type " + std::string(document.type_name()) + "; permitted is an object" };
    const auto& model = requireField(document, "model", "a string");
    if (!model.is_string())
        throwTypeError("model", model, "a string");
    checkPositiveInteger(document, "max_tokens", limits.maxTokens);
    checkPositiveInteger(document, "max_completion_tokens", limits.maxTokens);
    checkPositiveInteger(document, "n", maxChoices);
    ModelRequest out;
    out.path = std::string(path);
    out.model = model.get<std::string>();
    out.promptPrefix = path == "/v1/completions" ? promptPrefixFrom(document) : messagesPrefixFrom(document);
    if (out.promptPrefix.size() > maxPromptPrefixBytes)
        out.promptPrefix.resize(maxPromptPrefixBytes);
    out.isStream = streamFlagFrom(document);
    out.isDeterministic = isDeterministicRequest(document);
    out.body = std::move(body);
    return out;
}

} // namespace

AdmissionResult<ModelRequest> admitModelRequest(
    const RequestContext& context, std::string_view path, std::string body, const BodyLimits& limits)
{
    try {
        auto request = parseModelRequest(path, std::move(body), limits);
        if (!context.team->models.contains(request.model) || !context.configuration->model(request.model))
            return Problem { .code = ProblemCode::UnknownModel,
                .detail = "the model named in the field 'model' does not exist" };
        return request;
    } catch (const BodyError& error) {
        return Problem { .code = ProblemCode::MalformedRequest, .detail = error.detail };
    }
}

} // namespace bulrushstack
