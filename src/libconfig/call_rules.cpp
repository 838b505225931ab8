#include "call_rules.h"

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/net/http.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using Segments = std::vector<std::string>;

std::string_view withoutQuery(std::string_view path) { return path.substr(0, path.find_first_of("?#")); }

Segments split(std::string_view path)
{
    Segments out;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (slash != 0)
            out.emplace_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return out;
}

Segments resolveDots(Segments segments)
{
    Segments out;
    for (auto& it : segments) {
        if (it == "..") {
            if (!out.empty())
                out.pop_back();
        } else if (it != ".") {
            out.push_back(std::move(it));
        }
    }
    return out;
}

bool startsWith(const Segments& segments, const Segments& prefix)
{
    return segments.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), segments.begin());
}

std::string upperCase(std::string_view text)
{
    std::string out(text);
    for (auto& c : out) {
        if (c >= 'a' && c <= 'z')
            c = static_cast<char>(c - 'a' + 'A');
    }
    return out;
}

/// Returns the segments of a path under each interpretation that a service may apply: undecoded and after each round of
/// percent-decoding until the text no longer changes, each with and without dot segments resolved. Returns an empty
/// vector if the path has an invalid percent escape or is still encoded after the maximum number of rounds.
std::vector<Segments> pathInterpretations(std::string_view path)
{
    // Each round that changes the text shortens it, so the loop ends; the limit bounds the work on malicious paths.
    static constexpr int maxDecodings = 8;
    std::vector<Segments> out;
    std::string text(withoutQuery(path));
    for (int i = 0; i < maxDecodings; ++i) {
        out.push_back(split(text));
        out.push_back(resolveDots(split(text)));
        const auto decoded = percentDecode(text);
        if (!decoded)
            return i == 0 ? std::vector<Segments>() : out;
        if (*decoded == text)
            return out;
        text = *decoded;
    }
    return {};
}

bool matchesServiceAndMethod(const CallRule& rule, std::string_view service, std::string_view method)
{
    return rule.service == service && upperCase(rule.method) == upperCase(method);
}

/// Returns whether any interpretation of the request path is under the path prefix of the rule.
bool anyInterpretationMatches(const CallRule& rule, const std::vector<Segments>& interpretations)
{
    const auto prefix = normalisedSegments(rule.path);
    return !prefix || std::any_of(interpretations.begin(), interpretations.end(), [&](const auto& it) {
        return startsWith(it, *prefix);
    });
}

/// Returns whether every interpretation of the request path is under the path prefix of the rule.
bool allInterpretationsMatch(const CallRule& rule, const std::vector<Segments>& interpretations)
{
    const auto prefix = normalisedSegments(rule.path);
    return prefix && std::all_of(interpretations.begin(), interpretations.end(), [&](const auto& it) {
        return startsWith(it, *prefix);
    });
}

} // namespace

std::optional<Segments> normalisedSegments(std::string_view path)
{
    const auto decoded = percentDecode(withoutQuery(path));
    return decoded ? std::optional(resolveDots(split(*decoded))) : std::nullopt;
}

bool isNormalisedRulePath(std::string_view path)
{
    if (!path.starts_with('/') || path.find_first_of("?#%") != std::string_view::npos
        || path.find("//") != std::string_view::npos)
        return false;
    return split(path) == resolveDots(split(path));
}

bool CallRule::matches(std::string_view callService, std::string_view callMethod, std::string_view callPath) const
{
    if (!matchesServiceAndMethod(*this, callService, callMethod))
        return false;
    const auto prefix = normalisedSegments(path);
    const auto segments = normalisedSegments(callPath);
    return prefix && segments && startsWith(*segments, *prefix);
}

bool Team::isIdempotent(std::string_view service, std::string_view method, std::string_view path) const
{
    const auto verb = upperCase(method);
    if (verb == "GET" || verb == "HEAD")
        return true;
    // Services differ in how they interpret paths with escapes, dot segments or empty segments. The request counts as
    // idempotent only if it is idempotent under every interpretation, because a request that is wrongly taken for
    // idempotent may be executed twice.
    const auto interpretations = pathInterpretations(path);
    if (interpretations.empty())
        return false;
    for (const auto& rule : neverRepeat) {
        if (matchesServiceAndMethod(rule, service, method) && anyInterpretationMatches(rule, interpretations))
            return false;
    }
    if (verb != "POST" && verb != "PATCH")
        return true;
    return std::any_of(repeatable.begin(), repeatable.end(), [&](const auto& rule) {
        return matchesServiceAndMethod(rule, service, method) && allInterpretationsMatch(rule, interpretations);
    });
}

} // namespace bulrushstack
