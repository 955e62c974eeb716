#include "gateway/service_backend_protocol.h"

#include "absl/strings/str_cat.h"

namespace meadowthread {

HttpRequest ServiceBackendProtocol::RequestFor(const RelayRequest& request,
                                               const SendTerms& terms) const {
  HttpRequest http;
  http.method = request.method;
  http.url = absl::StrCat("http://", terms.address, request.target);
  http.headers = request.headers;
  http.headers.push_back({"Meadowthread-Request", request.id});
  http.body = request.body;
  return http;
}

// The interface of plain servers has no response for "call not run", so every
// response is taken to mean that the call ran.
AnswerMeaning ServiceBackendProtocol::Read(
    int /*http_status*/, std::span<const HttpHeader> /*headers*/) const {
  return AnswerMeaning::kRan;
}

NamedRate ServiceBackendProtocol::RateIn(
    std::span<const HttpHeader> /*headers*/) const {
  return {};
}

ServerNotice ServiceBackendProtocol::NoticeIn(
    int /*http_status*/, std::span<const HttpHeader> /*headers*/) const {
  return {};
}

NamedRate ServiceBackendProtocol::BrittleRateIn(
    std::span<const HttpHeader> /*headers*/) const {
  return {};
}

}  // namespace meadowthread
