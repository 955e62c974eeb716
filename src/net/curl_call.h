#ifndef MEADOWTHREAD_NET_CURL_CALL_H_
#define MEADOWTHREAD_NET_CURL_CALL_H_

#include <curl/curl.h>

#include <cstddef>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace meadowthread::detail {

/// @brief One call of the client: libcurl's easy handle and what it tells.
class CurlCall {
 public:
  CurlCall(HttpCallId id, const HttpRequest& request, HttpHandler* handler);
  ~CurlCall();
  CurlCall(const CurlCall&) = delete;
  CurlCall& operator=(const CurlCall&) = delete;

  CURL* Easy() const { return this->easy; }
  HttpCallId Id() const { return this->id; }

  /// @brief From now on the handler hears nothing.
  void Silence() { this->handler = nullptr; }
  bool IsSilenced() const { return this->handler == nullptr; }

  /// @brief Tells the handler how the call ended.
  void End(CURLcode code);

  /// @brief Stops or goes on reading the answer.
  void SetPaused(bool paused);

 private:
  void SetOptions(const HttpRequest& request);
  void SetTimeouts(const HttpRequest& request);
  void ReadHeaderLine(std::string_view line);
  absl::Status StatusOf(CURLcode code) const;

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);
  static int OnBeforeRequest(void* self, char* remote, char* local,
                             int remote_port, int local_port);

  CURL* easy;
  curl_slist* header_list = nullptr;
  HttpCallId id;
  HttpHandler* handler;
  std::string url;
  std::string body;
  std::vector<HttpHeader> headers;
  int http_status = 0;
  bool request_may_have_left = false;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CURL_CALL_H_
