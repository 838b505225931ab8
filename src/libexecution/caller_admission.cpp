#include "bulrushstack/execution/admission.h"

#include "caller_text.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bulrushstack {

using namespace detail;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view systemHeaderPrefix = "bulrush-";
constexpr std::array<std::string_view, 4> singleValueHeaders { "Authorization", "Idempotency-Key", "Bulrush-Deadline",
    "Bulrush-Urgency" };
constexpr std::size_t maxIdempotencyKeyLength = 128;

/// Quotes a value sent by the caller for the detail of a problem: truncates it and replaces unprintable characters.
std::string quoteForDetail(std::string_view value)
{
    static constexpr std::size_t maxQuotedLength = 64;
    std::string out = "'";
    for (unsigned char c : value.substr(0, maxQuotedLength))
        out += std::isprint(c) ? static_cast<char>(c) : '?';
    return out + (value.size() > maxQuotedLength ? "...'" : "'");
}

std::string permittedUrgencies(const Team& team)
{
    std::string out;
    for (auto it : team.permittedUrgencies)
        out += (out.empty() ? "" : ", ") + std::string(toString(it));
    return out.empty() ? "none" : out;
}

std::string formatMilliseconds(std::chrono::nanoseconds duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + "ms";
}

} // namespace

std::optional<Problem> checkRequestHeaders(const HttpHeaders& headers)
{
    for (const auto& [name, value] : headers) {
        const auto lower = toLower(name);
        if (lower.starts_with(systemHeaderPrefix) && lower != "bulrush-deadline" && lower != "bulrush-urgency")
            return malformedRequest("unknown header " + quoteForDetail(name)
                + "; permitted with this prefix are Bulrush-Deadline and Bulrush-Urgency");
    }
    for (auto name : singleValueHeaders) {
        if (headers.count(name) > 1)
            return malformedRequest("the header " + std::string(name) + " is given more than once");
    }
    return std::nullopt;
}

AdmissionResult<const Team*> authenticate(const Configuration& configuration, const HttpHeaders& headers)
{
    const auto value = headers.find("Authorization");
    if (!value)
        return Problem { .code = ProblemCode::MissingToken,
            .detail = "the header Authorization is missing; permitted is 'Bearer TOKEN'" };
    // The authentication scheme is case-insensitive (RFC 9110, 11.1).
    if (toLower(value->substr(0, bearerPrefix.size())) != toLower(bearerPrefix) || value->size() == bearerPrefix.size())
        return Problem { .code = ProblemCode::MissingToken,
            .detail = "the header Authorization has no bearer token; permitted is 'Bearer TOKEN'" };
    const auto* team = configuration.teamByToken(std::string_view(*value).substr(bearerPrefix.size()));
    if (!team)
        return Problem { .code = ProblemCode::InvalidToken, .detail = "the bearer token belongs to no team" };
    return team;
}

AdmissionResult<std::chrono::nanoseconds> deadlineFromHeaders(const Team& team, const HttpHeaders& headers)
{
    const auto value = headers.find("Bulrush-Deadline");
    if (!value)
        return team.defaultDeadline;
    const auto deadline = parseDuration(*value);
    if (!deadline || *deadline <= std::chrono::nanoseconds(0) || *deadline > team.maximumDeadline)
        return malformedRequest("the header Bulrush-Deadline is " + quoteForDetail(*value)
            + "; permitted is a duration above 0 and up to " + formatMilliseconds(team.maximumDeadline)
            + ", such as 1500ms");
    return *deadline;
}

AdmissionResult<Urgency> urgencyFromHeaders(const Team& team, const HttpHeaders& headers)
{
    const auto value = headers.find("Bulrush-Urgency");
    if (!value)
        return team.defaultUrgency;
    const auto urgency = parseUrgency(*value);
    if (!urgency)
        return malformedRequest(
            "the header Bulrush-Urgency is " + quoteForDetail(*value) + "; permitted is live, interactive or batch");
    if (!team.permittedUrgencies.contains(*urgency))
        return Problem { .code = ProblemCode::UrgencyNotPermitted,
            .detail
            = "the urgency is " + std::string(toString(*urgency)) + "; the team may use: " + permittedUrgencies(team) };
    return *urgency;
}

AdmissionResult<std::string> idempotencyKeyFromHeaders(const HttpHeaders& headers)
{
    const auto value = headers.find("Idempotency-Key");
    if (!value)
        return std::string();
    const bool isPrintable
        = std::all_of(value->begin(), value->end(), [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
    if (value->empty() || value->size() > maxIdempotencyKeyLength || !isPrintable)
        return malformedRequest("the header Idempotency-Key has " + std::to_string(value->size())
            + " bytes; permitted are 1 to 128 printable ASCII characters");
    return *value;
}

AdmissionResult<RequestContext> admitRequest(
    ConfigurationPtr configuration, const HttpHeaders& headers, std::string requestId, SteadyTime now)
{
    auto team = authenticate(*configuration, headers);
    if (auto* problem = std::get_if<Problem>(&team))
        return std::move(*problem);
    if (auto problem = checkRequestHeaders(headers))
        return std::move(*problem);
    const auto* teamConfiguration = std::get<const Team*>(team);
    auto deadline = deadlineFromHeaders(*teamConfiguration, headers);
    if (auto* problem = std::get_if<Problem>(&deadline))
        return std::move(*problem);
    auto urgency = urgencyFromHeaders(*teamConfiguration, headers);
    if (auto* problem = std::get_if<Problem>(&urgency))
        return std::move(*problem);
    RequestContext context;
    context.requestId = std::move(requestId);
    context.configuration = std::move(configuration);
    context.team = teamConfiguration;
    context.urgency = std::get<Urgency>(urgency);
    context.deadline
        = now + std::chrono::duration_cast<SteadyTime::duration>(std::get<std::chrono::nanoseconds>(deadline));
    return context;
}

} // namespace bulrushstack
