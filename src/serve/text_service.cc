#include "serve/text_service.h"

#include "net/http_code.h"

namespace meadowthread {
namespace {

constexpr char kType[] = "text/plain";

}  // namespace

void ReadyService::Serve(const ServerRequest& request,
                         std::unique_ptr<ResponseWriter> writer) {
  if (request.path != this->path) {
    writer->SendWhole({http_code::kNotFound, kType, {}, "not found\n"});
    return;
  }
  const bool ready = this->is_ready();
  writer->SendWhole({ready ? http_code::kOk : http_code::kUnavailable,
                     kType,
                     {},
                     ready ? "ready\n" : "not ready\n"});
}

void TextService::Serve(const ServerRequest& request,
                        std::unique_ptr<ResponseWriter> writer) {
  const bool found = request.path == this->path;
  writer->SendWhole({found ? http_code::kOk : http_code::kNotFound,
                     kType,
                     {},
                     found ? this->text() : "not found\n"});
}

}  // namespace meadowthread
