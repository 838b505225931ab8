#pragma once

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/serving/retry_after.h"
#include "peer_relay.h"
#include "raw_server.h"
#include "refusing_server.h"
#include "request_forwarder.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>
#include <sstream>

namespace bulrushstack {

/// Minimal request format of the tests, with the headers X-Id, X-Seal, X-Not-Run, X-Model, X-Parts, X-Leaving, X-Pause,
/// X-Limit, X-Brittle, X-Resumes, X-Key, X-Team and X-Retry-Ms.
class TestFormat final : public RequestFormat {
public:
    std::string requestId(const HttpHeaders& headers) const override { return headers.find("X-Id").value_or(""); }

    Result<ServingRequest> decode(const HttpRequest& request) const override
    {
        ServingRequest out;
        out.id = requestId(request.headers);
        out.host = "host";
        out.path = std::string(request.path());
        out.model = request.headers.find("X-Model").value_or("");
        out.resumedRequest = request.headers.find("X-Resumes").value_or("");
        out.key = request.headers.find("X-Key").value_or("");
        std::istringstream parts(request.headers.find("X-Parts").value_or(""));
        for (std::string part; std::getline(parts, part, ',');)
            out.prompt.push_back({ .id = part, .tokens = 10 });
        if (out.id.empty())
            return Failure { .code = Errc::Malformed, .detail = "no id" };
        return out;
    }

    bool failsToEncode = false;

    HttpRequest encode(const HttpRequest& request, const ForwardingFields& forwardingFields) const override
    {
        if (failsToEncode)
            throw std::invalid_argument("the request can't be encoded");
        HttpRequest out { .method = request.method, .target = request.target, .body = request.body };
        out.headers.set("X-Id", request.headers.find("X-Id").value());
        if (forwardingFields.hasTeams)
            out.headers.set("X-Team", forwardingFields.team);
        if (forwardingFields.resumeAfterEventId)
            out.headers.set("X-After", *forwardingFields.resumeAfterEventId);
        return out;
    }

    UpstreamResponseHead decodeResponseHead(unsigned status, const HttpHeaders& headers) const override
    {
        return { .requestId = headers.find("X-Id").value_or(""),
            .hasResponseSeal = headers.find("X-Seal").has_value(),
            .isNotExecuted = headers.find("X-Not-Run").has_value(),
            .isMisdirected = status == 421,
            .isContentEncoded = headers.find("Content-Encoding").has_value(),
            .isLeaving = headers.find("X-Leaving").has_value(),
            .retryAfter
            = headers.find("X-Pause") ? std::optional(parseRetryAfter(*headers.find("X-Pause"))) : std::nullopt,
            .rateLimit = headers.find("X-Limit") ? std::optional(std::stod(*headers.find("X-Limit"))) : std::nullopt,
            .refusalLimit
            = headers.find("X-Brittle") ? std::optional(std::stod(*headers.find("X-Brittle"))) : std::nullopt };
    }

    HttpRequest encodeForPeer(const HttpRequest& request, std::chrono::milliseconds) const override { return request; }

    HttpHeaders forwardedResponseHeaders(const HttpHeaders& headers) const override
    {
        HttpHeaders out;
        for (const auto* name : { "X-Id", "X-Seal" }) {
            if (auto value = headers.find(name))
                out.set(name, *value);
        }
        return out;
    }

    void completeErrorResponse(
        HttpResponse& response, const std::string&, std::optional<std::chrono::milliseconds> retryAfter) const override
    {
        if (!retryAfter)
            response.headers.remove("Retry-After");
        else
            response.headers.set("X-Retry-Ms", std::to_string(retryAfter->count()));
    }

    bool isEventStream(const HttpHeaders& headers) const override
    {
        return headers.find("Content-Type").value_or("") == "text/event-stream";
    }
};

class NoAdapters final : public AdapterPlacement {
public:
    boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand, SteadyTime) override
    {
        co_return Failure { .code = Errc::Unavailable };
    }
};

class FixedOrigin final : public StreamOriginSource {
public:
    OriginReply reply;
    bool isPeerReached = true;
    std::vector<StreamOrigin> recorded;

    void recordOrigin(StreamOrigin origin) override { recorded.push_back(std::move(origin)); }

    boost::asio::awaitable<OriginLookup> findOrigin(OriginRequest, SteadyTime) override
    {
        co_return OriginLookup { .reply = reply, .isPeerReached = isPeerReached };
    }
};

/// A store whose rows are those of the directory, except the ones that a test sets.
class FixedRows final : public UpstreamReader {
public:
    explicit FixedRows(FrontState& state)
        : m_state(state)
    {
    }

    std::map<std::string, UpstreamEntry> rows;
    bool isStoreAway = false;

    boost::asio::awaitable<Result<std::optional<UpstreamEntry>>> readUpstream(std::string id, SteadyTime) override
    {
        if (isStoreAway)
            co_return Failure { .code = Errc::Unavailable };
        if (const auto it = rows.find(id); it != rows.end())
            co_return it->second;
        const auto* entry = m_state.directory().find(id);
        co_return entry ? std::optional(*entry) : std::nullopt;
    }

    boost::asio::awaitable<Result<std::set<std::string>>> readVersions(std::string service, SteadyTime) override
    {
        if (isStoreAway)
            co_return Failure { .code = Errc::Unavailable };
        std::set<std::string> out;
        for (const auto* it : m_state.directory().all()) {
            if (it->service == service && rows.count(it->id) == 0)
                out.insert(it->softwareVersion);
        }
        for (const auto& [id, entry] : rows) {
            if (entry.service == service)
                out.insert(entry.softwareVersion);
        }
        co_return out;
    }

private:
    FrontState& m_state;
};

/// Counts refusals without acting on them.
class CountedRefusals final : public RefusalObserver {
public:
    std::vector<std::string> upstreams;

    void recordRefusal(const std::string& upstream, std::uint64_t, double) override { upstreams.push_back(upstream); }
};

/// Names the peers that a test sets.
class FixedPeers final : public PeerSource {
public:
    std::vector<Peer> list;

    const std::vector<Peer>& peers() const override { return list; }
};

/// Grants a number of permits and then tells each request that the next one comes after a time.
class CountedPermits final : public PermitSource {
public:
    explicit CountedPermits(FrontState& state)
        : m_state(state)
    {
    }

    unsigned left = 0;
    std::chrono::milliseconds retryAfter { 30'000 };
    unsigned asked = 0;
    Permit permit; ///< The permits that are granted.

    boost::asio::awaitable<std::optional<Permit>> obtain(
        std::string upstream, std::uint64_t startedAt, SteadyTime) override
    {
        ++asked;
        const bool isGranted = left > 0;
        if (isGranted)
            --left;
        else
            m_state.directory().recordNoPermit(upstream, startedAt, retryAfter);
        co_return isGranted ? std::optional(permit) : std::nullopt;
    }

private:
    FrontState& m_state;
};

/// Grants units of quotas until a test says otherwise.
class CountedQuotas final : public QuotaSource {
public:
    QuotaReply reply { .isGranted = true };
    double granted = 0;
    double givenBack = 0;

    boost::asio::awaitable<QuotaReply> obtain(const TeamSpec&, double units, SteadyTime) override
    {
        granted += reply.isGranted ? units : 0;
        co_return reply;
    }

    void giveBack(const std::string&, double units) override { givenBack += units; }
};

/// Grants trials of what is quarantined if a test says so.
class CountedTrials final : public TrialSource {
public:
    bool isGranted = false;
    unsigned asked = 0;

    boost::asio::awaitable<bool> obtain(TrialRequest, SteadyTime) override
    {
        ++asked;
        co_return isGranted;
    }
};

class Ingress final : public HttpHandler {
public:
    explicit Ingress(RequestDependencies dependencies)
        : m_dependencies(dependencies)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        RequestForwarder forwarder(m_dependencies, exchange);
        co_await forwarder.run();
    }

private:
    RequestDependencies m_dependencies;
};

inline RouteSpec route(const std::string& prefix, CallKind kind, unsigned attemptLimit, bool isResumable = false)
{
    return { .name = prefix,
        .host = "host",
        .prefix = prefix,
        .kind = kind,
        .timeout = std::chrono::milliseconds(3000),
        .latencyObjective = std::chrono::milliseconds(1000),
        .attemptLimit = attemptLimit,
        .isResumable = isResumable,
        .services = { { .service = "s" } } };
}

inline std::string rawResponse(std::string_view status, std::string_view headers, std::string_view body)
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + std::string(headers)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

inline const std::string okResponse = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\n", "whole");
inline const std::string okResponseTo8 = rawResponse("200 OK", "X-Id: 8\r\nX-Seal: s\r\n", "whole");
inline const std::string notExecutedResponse = rawResponse("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\n", "");
inline const std::string okResponseWhileLeaving
    = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\nX-Leaving: 1\r\n", "whole");
inline const std::string notExecutedWithRetryAfter
    = rawResponse("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\nX-Pause: 30\r\n", "");
inline const std::string okResponseWithLimit = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\nX-Limit: 1\r\n", "whole");
inline const std::string serverErrorResponse = rawResponse("500 Error", "X-Id: 7\r\nX-Seal: s\r\n", "error");

inline std::string chunk(std::string_view text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

/// Head of a stream whose body ends when the upstream closes the connection.
inline const std::string closeDelimitedStreamHead
    = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
inline const std::string streamResponseHead
    = closeDelimitedStreamHead.substr(0, closeDelimitedStreamHead.size() - 2) + "Transfer-Encoding: chunked\r\n\r\n";

/// A front with scripted upstreams on the loopback address.
struct FrontFixture {
    boost::asio::io_context context;
    SystemClock clock;
    FrontState state { context, clock, "front-1", "z", { .retryRatio = 1, .retrySlack = 100 } };
    HttpClient client { context, clock };
    ProcessMonitors processes { context, clock, client };
    TestFormat format;
    NoAdapters adapters;
    CountedPermits permits { state };
    CountedQuotas quotas;
    CountedTrials trials;
    FixedOrigin origins;
    FixedRows rows { state };
    FixedPeers peers;
    PeerRelay relay { state, client, peers };
    CountedRefusals refusals;
    prometheus::Registry registry;
    FrontMetrics metrics { registry };
    Ingress ingress { dependencies() };
    HttpServer server { context, { .address = { .host = "127.0.0.1", .port = 0 } }, ingress };
    std::vector<std::unique_ptr<RawServer>> upstreams;
    std::vector<std::unique_ptr<RefusingServer>> refusingUpstreams;

    FrontFixture()
    {
        state.setInstanceCount(1);
        configure();
        BOOST_REQUIRE(!server.start());
    }

    RequestDependencies dependencies()
    {
        return { .state = state,
            .client = client,
            .processes = processes,
            .format = format,
            .adapters = adapters,
            .permits = permits,
            .quotas = quotas,
            .trials = trials,
            .origins = origins,
            .upstreams = rows,
            .relay = relay,
            .refusals = refusals,
            .metrics = metrics };
    }

    void configure()
    {
        std::vector<RouteSpec> routes { route("/once/", CallKind::NonIdempotent, 1),
            route("/read/", CallKind::Idempotent, 2), route("/events/", CallKind::Stream, 1),
            route("/resumable/", CallKind::Stream, 2, true) };
        state.updateConfiguration(std::make_shared<ServingConfiguration>(
            1, std::move(routes), std::vector<ServiceSpec> { { .name = "s" } }, RequestLimits()));
    }

    RawServer& addUpstream(std::vector<std::string> responses, bool isClosing = false, RawServerPace pace = {})
    {
        upstreams.push_back(std::make_unique<RawServer>(context, std::move(responses), isClosing, SIZE_MAX, pace));
        listUpstream(upstreams.back()->address());
        return *upstreams.back();
    }

    /// Adds an upstream that refuses the first request and sends its refusal again on the same connection.
    RefusingServer& addRefusingUpstream(std::string refusal, std::string response)
    {
        RefusingServer::Options options { .refusal = std::move(refusal), .response = std::move(response) };
        refusingUpstreams.push_back(std::make_unique<RefusingServer>(context, std::move(options)));
        listUpstream(refusingUpstreams.back()->address());
        return *refusingUpstreams.back();
    }

    void listUpstream(Address address)
    {
        // The first upstream is in the zone of the front, so that it is the preferred choice.
        const auto n = upstreams.size() + refusingUpstreams.size();
        state.directory().apply({ .id = "u" + std::to_string(n),
            .service = "s",
            .address = std::move(address),
            .zone = n == 1 ? "z" : "y",
            .slots = 4,
            .startedAt = 1 });
    }

    void runFor(std::chrono::milliseconds duration)
    {
        context.restart();
        context.run_for(duration);
    }

    Result<HttpResponse> call(std::string target, const std::string& id = "7", const std::string& resumes = "")
    {
        HttpHeaders headers { { "X-Id", id } };
        if (!resumes.empty())
            headers.set("X-Resumes", resumes);
        return callWith(std::move(target), std::move(headers));
    }

    Result<HttpResponse> callWith(std::string target, HttpHeaders headers)
    {
        HttpRequest request { .method = "POST", .target = std::move(target), .headers = std::move(headers) };
        const Address address { .host = "127.0.0.1", .port = server.port() };
        return runAwaitable(
            context, client.call(address, std::move(request), { .deadline = clock.now() + std::chrono::seconds(10) }));
    }
};

} // namespace bulrushstack
