#ifndef MEADOWTHREAD_NET_CURL_MULTI_H_
#define MEADOWTHREAD_NET_CURL_MULTI_H_

#include <curl/curl.h>

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/curl_call.h"

namespace meadowthread::detail {

/// @brief libcurl's multi handle driven by Qt's event loop.
class CurlMulti final : public QObject {
 public:
  CurlMulti();
  ~CurlMulti() override;
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler);
  void Cancel(HttpCallId id);
  void SetPaused(HttpCallId id, bool paused);
  std::size_t ActiveCalls() const { return this->calls.size(); }

 private:
  /// @brief The two notifiers of a socket that libcurl watches.
  struct SocketWatch {
    std::unique_ptr<QSocketNotifier> read;
    std::unique_ptr<QSocketNotifier> write;
  };

  void Act(curl_socket_t socket, int events);
  void FinishCalls();
  void RemoveSilenced();
  void Remove(HttpCallId id);
  void Watch(curl_socket_t socket, int what);
  std::unique_ptr<QSocketNotifier> MakeNotifier(curl_socket_t socket,
                                                QSocketNotifier::Type type,
                                                int event);

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* socket_data);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);

  CURLM* multi;
  QTimer timer;
  std::unordered_map<curl_socket_t, SocketWatch> watches;
  std::unordered_map<HttpCallId, std::unique_ptr<CurlCall>> calls;
  std::vector<HttpCallId> silenced;
  HttpCallId last_id = 0;
  int depth = 0;  ///< how many times libcurl is on the stack
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CURL_MULTI_H_
