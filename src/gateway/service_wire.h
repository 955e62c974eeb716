#ifndef MEADOWTHREAD_GATEWAY_SERVICE_WIRE_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_WIRE_H_

#include <span>

#include "relay/backend_protocol.h"

namespace meadowthread {

/// @brief Plain backend servers of our own interface (docs/INTERFACES.md): a
/// call reaches them as its caller sent it, under the request's name.
class ServiceWire final : public BackendProtocol {
 public:
  HttpRequest RequestFor(const RelayRequest& request,
                         const SendTerms& terms) const override;

  /// @brief Whatever such a server answers, it ran the call.
  AnswerMeaning Read(int http_status,
                     std::span<const HttpHeader> headers) const override;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_WIRE_H_
