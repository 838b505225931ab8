#pragma once

#include "bulrushstack/kernel/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushstack {

/// Order of importance of requests; the numeric value is the priority sent to engines.
enum class Urgency : std::uint8_t {
    Live = 0,
    Interactive = 1,
    Batch = 2,
};

std::string_view toString(Urgency urgency); ///< "live", "interactive" or "batch"
std::optional<Urgency> parseUrgency(std::string_view text);

/// A model, or an adapter of a base model.
struct ModelDefinition {
    std::string id;
    std::string base; ///< id of the base model of an adapter; empty for a model
    std::string version;
    std::uint64_t size = 0; ///< bytes

    bool isAdapter() const { return !base.empty(); }
    friend bool operator==(const ModelDefinition&, const ModelDefinition&) = default;
};

/// A plain service that the system routes to.
struct ServiceDefinition {
    std::string name;
    std::string statusPath; ///< path with {key} of the status read; empty if the service has none
    bool checksFencing = false;

    friend bool operator==(const ServiceDefinition&, const ServiceDefinition&) = default;
};

/// Matches calls of a service by method and path prefix. The prefix matches whole path segments.
struct CallRule {
    std::string service;
    std::string method;
    std::string path;

    bool matches(std::string_view callService, std::string_view callMethod, std::string_view callPath) const;
    friend bool operator==(const CallRule&, const CallRule&) = default;
};

/// A team with everything that its template grants, all parameters replaced.
struct Team {
    std::string name;
    std::string templateName;
    std::set<std::string, std::less<>> models; ///< ids of models and adapters
    std::set<std::string, std::less<>> services;
    Urgency defaultUrgency = Urgency::Interactive;
    std::set<Urgency> permittedUrgencies;
    std::chrono::nanoseconds defaultDeadline {};
    std::chrono::nanoseconds maximumDeadline {};
    std::vector<CallRule> neverRepeat;
    std::vector<CallRule> repeatable;
    std::uint64_t share = 1; ///< weight of the team when capacity is short

    /// Returns whether a call of a service may be repeated without harm.
    bool isIdempotent(std::string_view service, std::string_view method, std::string_view path) const;
    friend bool operator==(const Team&, const Team&) = default;
};

/// One finding of the validation.
struct ValidationError {
    std::string path; ///< JSON pointer into the document
    std::string value;
    std::string permitted;

    friend bool operator==(const ValidationError&, const ValidationError&) = default;
};

class Configuration;
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// A configuration that was validated, or what is wrong with it.
struct ConfigurationParseResult {
    ConfigurationPtr configuration;
    std::vector<ValidationError> errors;
};

/// One validated revision of the configuration. Immutable; shared by all requests admitted under it.
class Configuration {
public:
    /// Validates a document as a whole.
    static ConfigurationParseResult parse(const nlohmann::json& document);

    /// Returns revision 0, without teams and models.
    static ConfigurationPtr empty();

    std::uint64_t revision() const { return m_revision; }

    /// Returns the SHA-256 digest of text().
    const std::string& digest() const { return m_digest; }

    /// Returns the document as canonical JSON text.
    const std::string& text() const { return m_text; }
    const nlohmann::json& document() const { return m_document; }

    /// Lookups return null for an unknown name.
    const Team* teamByToken(std::string_view token) const;
    const Team* team(std::string_view name) const;
    const ModelDefinition* model(std::string_view id) const;
    const ServiceDefinition* service(std::string_view name) const;

    const std::map<std::string, Team, std::less<>>& teams() const { return m_teams; }
    const std::map<std::string, ModelDefinition, std::less<>>& models() const { return m_models; }
    const std::map<std::string, ServiceDefinition, std::less<>>& services() const { return m_services; }

private:
    friend class ConfigurationParser;
    Configuration() = default;

    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::string m_text;
    nlohmann::json m_document;
    std::map<std::string, Team, std::less<>> m_teams;
    std::map<std::string, ModelDefinition, std::less<>> m_models;
    std::map<std::string, ServiceDefinition, std::less<>> m_services;
    std::map<std::string, std::string, std::less<>> m_teamsByTokenDigest;
};

} // namespace bulrushstack
