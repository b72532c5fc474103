// HTTP status codes used by the system.

#ifndef HARECRANK_CORE_HTTP_STATUS_H_
#define HARECRANK_CORE_HTTP_STATUS_H_

namespace harecrank::http_status {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kTemporaryRedirect = 307;
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
// The request reached another endpoint than the intended one, which has not run
// it.
constexpr int kMisdirected = 421;
constexpr int kFailedDependency = 424;
// The request needs a ticket, which ensures that it is executed at most once.
constexpr int kPreconditionRequired = 428;
constexpr int kTooManyRequests = 429;
constexpr int kHeadTooLarge = 431;
// Non-standard, for logs: the caller has disconnected.
constexpr int kClientClosed = 499;
constexpr int kInternalError = 500;
constexpr int kNotImplemented = 501;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace harecrank::http_status

#endif  // HARECRANK_CORE_HTTP_STATUS_H_
