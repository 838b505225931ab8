#pragma once

#include "bulrushstack/net/http_client.h"

#include <memory>
#include <string_view>

namespace bulrushstack::detail {

/// Whether an answer without X-Request-Id is accepted. One with another id never is.
enum class RequestIdEcho {
    Required, ///< answers to attempts
    Optional, ///< load reports and orders, for which the protocol does not demand the echo
};

/// Removes the header fields that concern one connection only (RFC 9110, section 7.6.1): the named ones, Proxy-*,
/// those listed in Connection, and the framing of the body.
void removeHopByHop(HttpHeaders& headers);

/// Sends the request with X-Request-Id and returns the answer once its header is checked.
///
/// Fails with Errc::MismatchedResponse (MayHaveRun, connection closed) if the answer belongs to another request, and
/// with Errc::Refused (NotRun) for 429 or 503 with X-Not-Started: 1. A timeout retires the idle connections to the
/// address.
boost::asio::awaitable<Result<std::unique_ptr<HttpStream>>> openChecked(HttpClient& client, Address address,
    HttpRequest request, std::string requestId, HttpCallOptions options, RequestIdEcho rule = RequestIdEcho::Required);

/// As openChecked(), and reads the whole body. The header of the response is without hop-by-hop fields.
boost::asio::awaitable<Result<HttpResponse>> callChecked(HttpClient& client, Address address, HttpRequest request,
    std::string requestId, HttpCallOptions options, RequestIdEcho rule = RequestIdEcho::Required);

/// Retires the idle connections to the address if the failure is a timeout.
void closeIdleAfterTimeout(HttpClient& client, const Address& address, const Failure& failure);

/// Returns the failure with the verdict MayHaveRun; for operations on an attempt that was sent earlier.
Failure withMayHaveRun(Failure failure);

} // namespace bulrushstack::detail
