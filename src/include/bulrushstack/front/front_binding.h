#pragma once

#include "bulrushstack/kernel/result.h"
#include "bulrushstack/net/http.h"
#include "bulrushstack/platform/table_feed.h"
#include "bulrushstack/platform/table_service.h"
#include "bulrushstack/serving/residency_ledger.h"
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

/// What the front adds to a request when it goes to an upstream.
struct ForwardingFields {
    std::string upstreamId;
    std::chrono::milliseconds timeLeft {}; ///< until the upstream may stop working on it
    unsigned urgency = 0; ///< 0 is admitted first, 9 last
    std::optional<std::string> resumeAfterEventId; ///< id of the last event that the caller has

    friend bool operator==(const ForwardingFields&, const ForwardingFields&) = default;
};

/// What the header of an upstream's answer says.
struct UpstreamResponseHead {
    std::string requestId; ///< empty if it names none
    bool hasResponseSeal = false; ///< it bears the mark of an upstream that ran the request
    bool isNotExecuted = false; ///< the upstream states that it did not run the request
    bool isMisdirected = false; ///< another upstream has the address, or the model or adapter is not there
    bool isContentEncoded = false; ///< the body is encoded, which no caller asked for
    bool isLeaving = false; ///< the upstream states that it will end
    std::optional<std::chrono::milliseconds> retryAfter; ///< for which a refusing upstream wants no more requests
    std::optional<StatedLoad> load;

    friend bool operator==(const UpstreamResponseHead&, const UpstreamResponseHead&) = default;
};

/// How requests are written by callers and to upstreams. Pure functions.
class RequestFormat {
public:
    virtual ~RequestFormat() = default;

    /// Reads what the caller asks for. Fails with Errc::Malformed.
    virtual Result<ServingRequest> decode(const HttpRequest& request) const = 0;

    /// Writes the request for an upstream.
    virtual HttpRequest encode(const HttpRequest& request, const ForwardingFields& forwardingFields) const = 0;

    virtual UpstreamResponseHead decodeResponseHead(unsigned status, const HttpHeaders& headers) const = 0;

    /// Returns the fields of an upstream's answer that the caller gets.
    virtual HttpHeaders forwardedResponseHeaders(const HttpHeaders& headers) const = 0;

    /// Completes an error answer of the front itself; `retryAfter` is empty if another try is of no use.
    virtual void completeErrorResponse(HttpResponse& response, const std::string& requestId,
        std::optional<std::chrono::milliseconds> retryAfter) const = 0;

    /// Returns whether the headers announce a series of events.
    virtual bool isEventStream(const HttpHeaders& headers) const = 0;
};

/// How rows of the operator and of the upstreams are written. Pure functions.
class RowFormat {
public:
    virtual ~RowFormat() = default;

    virtual std::string configurationTable() const = 0;
    virtual std::string upstreamTable() const = 0;

    /// Reads the row that holds the configuration; an empty pointer for rows of other kinds. Fails with
    /// Errc::Malformed.
    virtual Result<ServingConfigurationPtr> decodeConfiguration(const Row& row) const = 0;

    /// Reads a row in which an upstream describes itself. Fails with Errc::Malformed.
    virtual Result<UpstreamEntry> decodeUpstream(const Row& row) const = 0;
};

/// What came of an order.
struct OrderReply {
    OrderAnswer answer = OrderAnswer::Unknown;
    bool isLeaving = false; ///< the upstream states that it will end

    friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

/// Orders to upstreams and questions about their state.
class UpstreamControl {
public:
    virtual ~UpstreamControl() = default;

    virtual boost::asio::awaitable<OrderReply> sendOrder(Address address, UpstreamOrder order, SteadyTime deadline) = 0;
    virtual boost::asio::awaitable<Result<UpstreamReport>> fetchReport(
        Address address, std::string upstreamId, SteadyTime deadline)
        = 0;
};

/// All that the front needs of a platform.
class FrontBinding {
public:
    virtual ~FrontBinding() = default;

    virtual const RequestFormat& requestFormat() const = 0;
    virtual const RowFormat& rowFormat() const = 0;
    virtual TableFeed& tableFeed() = 0;
    virtual TableService& tableService() = 0;
    virtual UpstreamControl& upstreamControl() = 0;

    /// Returns the path on which the load balancer asks whether this instance is ready.
    virtual std::string readinessPath() const = 0;

    /// Uses another address of the store from now on.
    virtual void setStoreAddress(Address address) = 0;
};

} // namespace bulrushstack
