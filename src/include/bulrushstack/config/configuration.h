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

/// Scheduling class of a request, most urgent first. The numeric value is the priority sent to engines.
enum class Urgency : std::uint8_t {
    Live = 0,
    Interactive = 1,
    Batch = 2,
};

std::string_view toString(Urgency urgency); ///< "live", "interactive" or "batch"
std::optional<Urgency> parseUrgency(std::string_view text);

/// Model that an engine can load, or an adapter for such a base model.
struct ModelDefinition {
    std::string id;
    std::string base; ///< id of the base model if this is an adapter; empty for a model
    std::string version;
    std::uint64_t size = 0; ///< size of the weights in bytes

    bool isAdapter() const { return !base.empty(); }
    friend bool operator==(const ModelDefinition&, const ModelDefinition&) = default;
};

/// HTTP service other than a model engine that requests are routed to.
struct ServiceDefinition {
    std::string name;
    std::string statusPath; ///< path for looking up the result of a request, with {key} in place of its
                            ///< idempotency key; empty if the service has no such endpoint
    bool checksFencing = false; ///< whether the service rejects requests with an outdated fencing number

    friend bool operator==(const ServiceDefinition&, const ServiceDefinition&) = default;
};

/// Matches requests to a service by method and path prefix. The prefix matches whole path segments: "/cues" matches
/// "/cues/7" but not "/cuesheet".
struct CallRule {
    std::string service;
    std::string method;
    std::string path;

    bool matches(std::string_view callService, std::string_view callMethod, std::string_view callPath) const;
    friend bool operator==(const CallRule&, const CallRule&) = default;
};

/// Team with the permissions and limits of its template, in which all parameters have been replaced by their values.
struct Team {
    std::string name;
    std::string templateName;
    std::set<std::string, std::less<>> models; ///< ids of models and adapters
    std::set<std::string, std::less<>> services;
    Urgency defaultUrgency = Urgency::Interactive;
    std::set<Urgency> permittedUrgencies;
    std::chrono::nanoseconds defaultDeadline {};
    std::chrono::nanoseconds maximumDeadline {};
    std::vector<CallRule> neverRepeat; ///< requests that are not idempotent, whatever their method
    std::vector<CallRule> repeatable; ///< POST and PATCH requests that are idempotent
    std::uint64_t share = 1; ///< relative weight of the team when requests compete for capacity

    /// Returns whether the request to the service may be sent more than once. GET and HEAD always may. A request that
    /// matches a rule of `neverRepeat` may not, and POST and PATCH may only if they match a rule of `repeatable`.
    /// Returns false if the path is ambiguous and some interpretation of it is not idempotent, or if the path cannot be
    /// decoded.
    bool isIdempotent(std::string_view service, std::string_view method, std::string_view path) const;
    friend bool operator==(const Team&, const Team&) = default;
};

/// One error that the validation of a document or a change has found.
struct ValidationError {
    std::string path; ///< JSON pointer to the invalid value
    std::string value; ///< the invalid value as text, shortened or redacted if necessary
    std::string permitted; ///< description of the permitted values

    friend bool operator==(const ValidationError&, const ValidationError&) = default;
};

class Configuration;
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Result of validating a document: either a configuration and no errors, or a null pointer and at least one error.
struct ConfigurationParseResult {
    ConfigurationPtr configuration;
    std::vector<ValidationError> errors;
};

/// One validated revision of the configuration. Instances are immutable and may be read from any thread. A request
/// keeps the revision under which it was admitted.
class Configuration {
public:
    /// Validates a document and reports all its errors at once.
    static ConfigurationParseResult parse(const nlohmann::json& document);

    /// Returns revision 0, which has no teams, models or services. It is in force until a change is accepted.
    static ConfigurationPtr empty();

    std::uint64_t revision() const { return m_revision; }

    /// Returns the SHA-256 digest of text().
    const std::string& digest() const { return m_digest; }

    /// Returns the document as canonical JSON text.
    const std::string& text() const { return m_text; }

    /// Returns the document that was parsed.
    const nlohmann::json& document() const { return m_document; }

    /// Returns the team that the bearer token identifies; null if the token is unknown.
    const Team* teamByToken(std::string_view token) const;

    /// Returns the object of that name; null if there is none.
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
    std::map<std::string, std::string, std::less<>> m_teamsByTokenDigest; ///< SHA-256 digest of a token to a team name
};

} // namespace bulrushstack
