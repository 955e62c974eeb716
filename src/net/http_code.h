#ifndef MEADOWTHREAD_NET_HTTP_CODE_H_
#define MEADOWTHREAD_NET_HTTP_CODE_H_

/// HTTP status codes (RFC 9110). They are plain integers because peers may send
/// any value.
namespace meadowthread::http_code {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;

/// A response has a code from kMin to kMax.
inline constexpr int kMin = 100;
inline constexpr int kMax = 599;
/// Lower codes are interim (1xx) responses.
inline constexpr int kFirstFinal = 200;
inline constexpr int kFirstSuccess = 200;
inline constexpr int kFirstRedirect = 300;
inline constexpr int kFirstClientError = 400;
inline constexpr int kFirstServerError = 500;

}  // namespace meadowthread::http_code

#endif  // MEADOWTHREAD_NET_HTTP_CODE_H_
