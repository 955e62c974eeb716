#ifndef MEADOWTHREAD_NET_HTTP_CODE_H_
#define MEADOWTHREAD_NET_HTTP_CODE_H_

/// Status codes of HTTP (RFC 9110), as plain numbers: peers may send any.
namespace meadowthread::http_code {

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

/// Lower ones are interim answers.
inline constexpr int kFirstFinal = 200;
inline constexpr int kFirstSuccess = 200;
inline constexpr int kFirstRedirect = 300;
inline constexpr int kFirstClientError = 400;
inline constexpr int kFirstServerError = 500;

}  // namespace meadowthread::http_code

#endif  // MEADOWTHREAD_NET_HTTP_CODE_H_
