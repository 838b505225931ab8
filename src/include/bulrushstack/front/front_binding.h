#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/platform/table_feed.h"
#include "bulrushstack/platform/table_service.h"
#include "bulrushstack/serving/residency_tracker.h"
#include "bulrushstack/serving/serving_configuration.h"
#include "bulrushstack/serving/serving_request.h"
#include "bulrushstack/serving/upstream_directory.h"
#include "bulrushstack/serving/upstream_loads.h"
#include "bulrushstack/serving/upstream_order.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace bulrushstack {

/// Values that the front sets on a request when it forwards the request to an upstream.
struct ForwardingFields {
    std::string upstreamId;
    /// Time after which the upstream may stop working on the request.
    std::chrono::milliseconds timeLeft {};
    /// Priority of the request, from 0 (admitted first) to 9 (admitted last).
    unsigned urgency = 0;
    /// Id of the last event that the client has received, if a stream is resumed; empty otherwise.
    std::optional<std::string> resumeAfterEventId;
    /// Whether callers identify themselves with keys of teams. The upstream then gets neither the key nor a team that
    /// the client named.
    bool hasTeams = false;
    std::string team; ///< Name of the caller's team; empty if the caller belongs to none.

    friend bool operator==(const ForwardingFields&, const ForwardingFields&) = default;
};

/// Status and headers of an upstream's response, decoded.
struct UpstreamResponseHead {
    /// Id of the request that the response belongs to; empty if the response names none.
    std::string requestId;
    /// Whether the response carries the header that upstreams set only on responses to requests that they executed.
    bool hasResponseSeal = false;
    /// Whether the upstream states that it did not execute the request.
    bool isNotExecuted = false;
    /// Whether the request reached the wrong upstream: the address belongs to another one now, or the model or adapter
    /// is not loaded there.
    bool isMisdirected = false;
    /// Whether the body has a content encoding, which no client asked for.
    bool isContentEncoded = false;
    /// Whether the upstream announces that it is shutting down.
    bool isLeaving = false;
    /// Time for which an upstream that refused the request wants no further requests; empty if it states none.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Requests per second that the upstream accepts from all instances together; empty if it states no limit.
    std::optional<double> rateLimit;
    /// Requests per second that a brittle upstream can refuse for want of room without failing; empty if it does not
    /// say that it is brittle.
    std::optional<double> refusalLimit;
    std::optional<ReportedLoad> load;

    friend bool operator==(const UpstreamResponseHead&, const UpstreamResponseHead&) = default;
};

/// Translates between the HTTP requests and responses of a platform and the types of the front. Implementations consist
/// of pure functions.
class RequestFormat {
public:
    virtual ~RequestFormat() = default;

    /// Decodes the request of a client. Fails with Errc::Malformed.
    virtual Result<ServingRequest> decode(const HttpRequest& request) const = 0;

    /// Returns the id of a request from its headers; empty if they name none.
    virtual std::string requestId(const HttpHeaders& headers) const = 0;

    /// Returns the request to send to an upstream.
    virtual HttpRequest encode(const HttpRequest& request, const ForwardingFields& forwardingFields) const = 0;

    /// Returns the request to send to another instance, which handles it like one of a client with the given time left.
    virtual HttpRequest encodeForPeer(const HttpRequest& request, std::chrono::milliseconds timeLeft) const = 0;

    virtual UpstreamResponseHead decodeResponseHead(unsigned status, const HttpHeaders& headers) const = 0;

    /// Returns the headers of an upstream's response that are forwarded to the client.
    virtual HttpHeaders forwardedResponseHeaders(const HttpHeaders& headers) const = 0;

    /// Adds the headers of the platform to an error response that the front itself generates. `retryAfter` is empty if
    /// a retry would not help.
    virtual void completeErrorResponse(HttpResponse& response, const std::string& requestId,
        std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    /// Returns whether the headers announce a stream of server-sent events.
    virtual bool isEventStream(const HttpHeaders& headers) const = 0;
};

/// Decodes the rows that the operator and the upstreams keep in the platform's store. Implementations consist of pure
/// functions.
class RowFormat {
public:
    virtual ~RowFormat() = default;

    virtual std::string configurationTable() const = 0;
    virtual std::string upstreamTable() const = 0;

    /// Decodes the row that contains the configuration. Returns a null pointer for rows of other kinds. Fails with
    /// Errc::Malformed.
    virtual Result<ServingConfigurationPtr> decodeConfiguration(const Row& row) const = 0;

    /// Decodes a row in which an upstream describes itself. Fails with Errc::Malformed.
    virtual Result<UpstreamEntry> decodeUpstream(const Row& row) const = 0;
};

/// Result of an order to an upstream.
struct OrderReply {
    OrderResult result = OrderResult::Unknown;
    /// Whether the upstream announces that it is shutting down.
    bool isLeaving = false;

    friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

/// Times of an order.
struct OrderTimes {
    SteadyTime deadline {}; ///< Time by which the response must have arrived, as a reading of Clock::now().
    SteadyTime sendBy {}; ///< End of the sender's lease, as a reading of Clock::bootNow(); the order is not sent later.

    friend bool operator==(const OrderTimes&, const OrderTimes&) = default;
};

/// Sends orders to load and unload models and adapters to upstreams, and fetches reports of their state.
class UpstreamControl {
public:
    virtual ~UpstreamControl() = default;

    /// Sends an order. The result is OrderResult::Unknown if it is uncertain whether the upstream accepted the order,
    /// and OrderResult::Conflict if it was not sent in time.
    virtual boost::asio::awaitable<OrderReply> sendOrder(Address address, UpstreamOrder order, OrderTimes times) = 0;

    /// Fetches a report of the upstream's state. Fails with the error of the call, with Errc::Unavailable for a
    /// response without a report, or with Errc::Malformed.
    virtual boost::asio::awaitable<Result<UpstreamReport>> fetchReport(
        Address address, std::string upstreamId, SteadyTime deadline)
        = 0;
};

/// Connects the front to one platform: the formats of its requests and rows, its store, and the control of its
/// upstreams.
class FrontBinding {
public:
    virtual ~FrontBinding() = default;

    virtual const RequestFormat& requestFormat() const = 0;
    virtual const RowFormat& rowFormat() const = 0;
    virtual TableFeed& tableFeed() = 0;
    virtual TableService& tableService() = 0;
    virtual UpstreamControl& upstreamControl() = 0;

    /// Returns the path of the load balancer's readiness check on this instance.
    virtual std::string readinessPath() const = 0;

    /// Sets the address of the store for all further calls.
    virtual void setStoreAddress(Address address) = 0;
};

} // namespace bulrushstack
