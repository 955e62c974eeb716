#ifndef MEADOWTHREAD_SERVE_TEXT_SERVICE_H_
#define MEADOWTHREAD_SERVE_TEXT_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_server.h"

namespace meadowthread {

/// @brief Answers the load balancer's readiness check at one path with 200 or
/// 503.
class ReadyService final : public HttpService {
 public:
  ReadyService(std::string_view path, std::function<bool()> is_ready)
      : path(path), is_ready(std::move(is_ready)) {}

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

 private:
  std::string path;
  std::function<bool()> is_ready;
};

/// @brief Serves a plain text at one path.
class TextService final : public HttpService {
 public:
  TextService(std::string_view path, std::function<std::string()> text)
      : path(path), text(std::move(text)) {}

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

 private:
  std::string path;
  std::function<std::string()> text;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_TEXT_SERVICE_H_
