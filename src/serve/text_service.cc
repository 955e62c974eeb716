#include "serve/text_service.h"

namespace meadowthread {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

void SendText(ResponseWriter& writer, int http_status, std::string_view text) {
  WholeResponse response;
  response.http_status = http_status;
  response.content_type = "text/plain";
  response.body = std::string(text);
  writer.SendWhole(response);
}

}  // namespace

void ReadyService::Serve(const ServerRequest& request,
                         std::unique_ptr<ResponseWriter> writer) {
  if (request.path != this->path) {
    SendText(*writer, kNotFound, "not found\n");
    return;
  }
  const bool ready = this->is_ready();
  SendText(*writer, ready ? kOk : kUnavailable,
           ready ? "ready\n" : "not ready\n");
}

void TextService::Serve(const ServerRequest& request,
                        std::unique_ptr<ResponseWriter> writer) {
  const bool found = request.path == this->path;
  SendText(*writer, found ? kOk : kNotFound,
           found ? this->text() : "not found\n");
}

}  // namespace meadowthread
