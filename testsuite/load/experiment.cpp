#include "experiment.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <initializer_list>
#include <stdexcept>

namespace bulrushstack::load {

using json = nlohmann::json;

namespace {

constexpr std::array requestKinds { RequestKind::Chat, RequestKind::Stream, RequestKind::ServiceRead,
    RequestKind::ServicePost };

// Upper limits of a run, so that a wrong unit in an experiment file cannot overload the machine or run for hours.
constexpr std::chrono::hours maxRunDuration { 1 };
constexpr double maxArrivalRate = 20'000;
constexpr double maxRequestCount = 1'000'000;

[[noreturn]] void throwInvalidMember(const std::string& where, const std::string& expected)
{
    throw std::runtime_error(where + ": expected " + expected);
}

/// Provides typed access to the members of a JSON object. Throws std::runtime_error that names the member if it is
/// unknown or has an invalid value.
class ObjectReader {
public:
    ObjectReader(const json& value, std::string where, std::initializer_list<const char*> names)
        : m_value(value)
        , m_where(std::move(where))
    {
        if (!value.is_object())
            throwInvalidMember(m_where, "an object");
        for (const auto& [name, member] : value.items()) {
            if (std::find(names.begin(), names.end(), name) == names.end())
                throw std::runtime_error(m_where + "." + name + ": unknown member");
        }
    }

    std::string text(const char* name, const char* fallback) const
    {
        const auto* member = find(name);
        if (member && !member->is_string())
            throwInvalidMember(path(name), "a string");
        return member ? member->get<std::string>() : fallback;
    }

    std::string requiredText(const char* name) const
    {
        auto value = text(name, "");
        if (value.empty())
            throwInvalidMember(path(name), "a non-empty string");
        return value;
    }

    double number(const char* name, double fallback, double minimum, double maximum) const
    {
        const auto* member = find(name);
        if (!member)
            return fallback;
        if (!member->is_number() || member->get<double>() < minimum || member->get<double>() > maximum)
            throwInvalidMember(
                path(name), "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return member->get<double>();
    }

    std::uint64_t count(const char* name, std::uint64_t fallback, std::uint64_t maximum) const
    {
        const auto* member = find(name);
        if (!member)
            return fallback;
        if (!member->is_number_unsigned() || member->get<std::uint64_t>() > maximum)
            throwInvalidMember(path(name), "a whole number up to " + std::to_string(maximum));
        return member->get<std::uint64_t>();
    }

    std::chrono::nanoseconds duration(const char* name, std::chrono::nanoseconds fallback) const
    {
        if (!find(name))
            return fallback;
        const auto value = parseDuration(text(name, ""));
        if (!value || *value > maxRunDuration)
            throwInvalidMember(path(name), "a duration with a unit, up to 1h");
        return *value;
    }

    const json& array(const char* name) const
    {
        const auto* member = find(name);
        if (!member || !member->is_array() || member->empty())
            throwInvalidMember(path(name), "a non-empty array");
        return *member;
    }

    const json* find(const char* name) const
    {
        const auto it = m_value.find(name);
        return it == m_value.end() ? nullptr : &*it;
    }

    std::string path(const char* name) const { return m_where + "." + name; }

private:
    const json& m_value;
    std::string m_where;
};

Address parseTarget(const json& value)
{
    const auto address = parseAddress(value.is_string() ? value.get<std::string>() : std::string());
    if (!address || !boost::asio::ip::make_address(address->host).is_loopback())
        throwInvalidMember("targets", "HOST:PORT on the loopback interface");
    return *address;
}

TeamSpec parseTeam(const json& value)
{
    const ObjectReader reader(value, "teams", { "name", "token", "weight" });
    TeamSpec team;
    team.name = reader.requiredText("name");
    team.token = reader.requiredText("token");
    team.weight = reader.number("weight", 1, 0, 1e6);
    return team;
}

PhaseSpec parsePhase(const json& value)
{
    const ObjectReader reader(value, "phases", { "name", "duration", "rate", "arrivals" });
    PhaseSpec phase;
    phase.name = reader.requiredText("name");
    phase.duration = reader.duration("duration", {});
    phase.rate = reader.number("rate", 0, 0, maxArrivalRate);
    const auto arrivals = reader.text("arrivals", "poisson");
    if (arrivals != "poisson" && arrivals != "uniform")
        throwInvalidMember(reader.path("arrivals"), "poisson or uniform");
    phase.isPoisson = arrivals == "poisson";
    return phase;
}

RequestKind parseKind(const ObjectReader& reader)
{
    const auto text = reader.text("kind", "");
    for (auto it : requestKinds) {
        if (toString(it) == text)
            return it;
    }
    throwInvalidMember(reader.path("kind"), "chat, stream, service-read or service-post");
}

RequestSpec parseRequest(const json& value)
{
    const ObjectReader reader(value, "requests",
        { "name", "kind", "weight", "urgency", "deadline", "model", "max_tokens", "prompt_words", "prompt_reuse",
            "repeat", "path", "body" });
    RequestSpec request;
    request.kind = parseKind(reader);
    request.name = reader.text("name", std::string(toString(request.kind)).c_str());
    request.weight = reader.number("weight", 1, 0, 1e6);
    request.urgency = reader.text("urgency", "");
    if (!request.urgency.empty() && request.urgency != "live" && request.urgency != "interactive"
        && request.urgency != "batch")
        throwInvalidMember(reader.path("urgency"), "live, interactive or batch");
    request.deadline = reader.duration("deadline", {});
    request.maxTokens = static_cast<unsigned>(reader.count("max_tokens", request.maxTokens, 100'000));
    request.promptWords = static_cast<unsigned>(reader.count("prompt_words", request.promptWords, 100'000));
    request.promptReuseProbability = reader.number("prompt_reuse", 0, 0, 1);
    request.repeatProbability = reader.number("repeat", 0, 0, 1);
    if (request.kind == RequestKind::Chat || request.kind == RequestKind::Stream)
        request.model = reader.requiredText("model");
    else
        request.path = reader.requiredText("path");
    if (const auto* body = reader.find("body"))
        request.body = body->dump();
    return request;
}

/// Checks the limits of the whole run, and that at least one team and one kind of request have a positive weight.
void checkTotals(const Experiment& experiment)
{
    double requests = 0;
    std::chrono::nanoseconds duration {};
    for (const auto& it : experiment.phases) {
        requests += it.rate * std::chrono::duration<double>(it.duration).count() * experiment.repeats;
        duration += it.duration * static_cast<int>(experiment.repeats);
    }
    if (requests > maxRequestCount || duration > maxRunDuration)
        throwInvalidMember("phases", "at most 1 hour and 1000000 requests in total");
    double weights = 0;
    for (const auto& it : experiment.requests)
        weights += it.weight;
    double teamWeights = 0;
    for (const auto& it : experiment.teams)
        teamWeights += it.weight;
    if (weights <= 0 || teamWeights <= 0)
        throwInvalidMember("weight", "a sum greater than 0");
}

} // namespace

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Chat:
        return "chat";
    case RequestKind::Stream:
        return "stream";
    case RequestKind::ServiceRead:
        return "service-read";
    case RequestKind::ServicePost:
        return "service-post";
    }
    return "unknown";
}

std::string RequestSpec::className() const { return urgency.empty() ? std::string(toString(kind)) : urgency; }

Experiment parseExperiment(const json& document)
{
    const ObjectReader reader(document, "experiment",
        { "seed", "targets", "teams", "phases", "requests", "repeats", "timeout", "in_flight_limit" });
    Experiment experiment;
    experiment.seed = reader.count("seed", experiment.seed, UINT64_MAX);
    for (const auto& it : reader.array("targets"))
        experiment.targets.push_back(parseTarget(it));
    for (const auto& it : reader.array("teams"))
        experiment.teams.push_back(parseTeam(it));
    for (const auto& it : reader.array("phases"))
        experiment.phases.push_back(parsePhase(it));
    for (const auto& it : reader.array("requests"))
        experiment.requests.push_back(parseRequest(it));
    experiment.repeats = static_cast<unsigned>(reader.count("repeats", experiment.repeats, 100));
    experiment.timeout = reader.duration("timeout", experiment.timeout);
    experiment.inFlightLimit = reader.count("in_flight_limit", experiment.inFlightLimit, 10'000);
    checkTotals(experiment);
    return experiment;
}

} // namespace bulrushstack::load
