#pragma once

#include "bulrushstack/net/http_client.h"

#include <memory>
#include <string_view>

namespace bulrushstack::detail {

/// Whether a response must repeat the X-Request-Id of its request. A response with another id is never accepted.
enum class RequestIdEcho {
    Required, ///< a response without the field is rejected; for attempts
    Optional, ///< a response without the field is accepted; for load reports and orders, as the protocol permits
};

/// Removes the hop-by-hop header fields (RFC 9110, section 7.6.1): Connection and the fields listed in it, the other
/// standard ones, and Proxy-*. Also removes Content-Length and Host, which are set again for the next connection.
void removeHopByHop(HttpHeaders& headers);

/// Sends the request with X-Request-Id, reads the response header and validates it. The caller reads the body from the
/// returned stream.
///
/// Fails with Errc::MismatchedResponse (MayHaveRun, connection closed) if the response belongs to another request, and
/// with Errc::Refused (NotRun) for 429 or 503 with X-Not-Started: 1. A timeout closes all idle connections to the
/// address.
boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> openChecked(HttpClient& client, Address address,
    HttpRequest request, std::string requestId, HttpCallOptions options, RequestIdEcho rule = RequestIdEcho::Required);

/// Like openChecked(), but also reads the complete body. Hop-by-hop fields are removed from the response header.
boost::asio::awaitable<Result<HttpResponse>> callChecked(HttpClient& client, Address address, HttpRequest request,
    std::string requestId, HttpCallOptions options, RequestIdEcho rule = RequestIdEcho::Required);

/// Closes the idle connections to the address if the failure is a timeout, since they probably stopped responding too.
void closeIdleAfterTimeout(HttpClient& client, const Address& address, const Failure& failure);

/// Returns the failure with at least the verdict MayHaveRun. Used for operations that concern a request sent earlier:
/// their own verdict does not show whether that request ran.
Failure withMayHaveRun(Failure failure);

} // namespace bulrushstack::detail
