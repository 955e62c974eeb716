#ifndef MEADOWTHREAD_NET_CURL_MULTI_H_
#define MEADOWTHREAD_NET_CURL_MULTI_H_

#include <curl/curl.h>

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/curl_call.h"

namespace meadowthread::detail {

/// @brief libcurl's multi handle driven by Qt's event loop.
///
/// Its sockets stand behind one epoll descriptor: Qt's loop looks at every
/// descriptor it knows in each turn, which costs more than the streams
/// themselves once there are thousands.
class CurlMulti final : public QObject {
 public:
  CurlMulti();
  ~CurlMulti() override;
  CurlMulti(const CurlMulti&) = delete;
  CurlMulti& operator=(const CurlMulti&) = delete;

  HttpCallId Start(const HttpRequest& request, HttpHandler* handler);
  void Cancel(HttpCallId id);
  void SetPaused(HttpCallId id, bool paused);

 private:
  void Act(curl_socket_t socket, int events);
  void Settle();
  void FinishCalls();
  void RemoveSilenced();
  /// @brief Takes a call out of libcurl's hands; null where it is gone.
  std::unique_ptr<CurlCall> Take(HttpCallId id);
  void Watch(curl_socket_t socket, int what);
  void TakeEvents();

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self,
                      void* socket_data);
  // NOLINTNEXTLINE(google-runtime-int): libcurl's signature
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);

  CURLM* multi;
  QTimer timer;
  int epoll;  ///< holds every socket that libcurl watches
  std::unique_ptr<QSocketNotifier> notifier;
  std::unordered_set<curl_socket_t> watched;
  std::unordered_map<HttpCallId, std::unique_ptr<CurlCall>> calls;
  std::vector<HttpCallId> silenced;
  HttpCallId last_id = 0;
  int depth = 0;  ///< how many times libcurl is on the stack
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_NET_CURL_MULTI_H_
