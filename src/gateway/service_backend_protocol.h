#ifndef MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_PROTOCOL_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_PROTOCOL_H_

#include <span>

#include "relay/backend_protocol.h"

namespace meadowthread {

/// @brief Protocol of plain backend servers (docs/INTERFACES.md): calls are
/// passed on as the caller sent them, with the request id as an extra header.
class ServiceBackendProtocol final : public BackendProtocol {
 public:
  HttpRequest RequestFor(const RelayRequest& request,
                         const SendTerms& terms) const override;

  /// @brief Always AnswerMeaning::kRan, for any response.
  AnswerMeaning Read(int http_status,
                     std::span<const HttpHeader> headers) const override;

  /// @brief Always none: this protocol has no header for it.
  NamedRate RateIn(std::span<const HttpHeader> headers) const override;
  NamedRate BrittleRateIn(std::span<const HttpHeader> headers) const override;
  ServerNotice NoticeIn(int http_status,
                        std::span<const HttpHeader> headers) const override;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_PROTOCOL_H_
