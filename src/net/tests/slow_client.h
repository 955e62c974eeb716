#ifndef MEADOWTHREAD_NET_TESTS_SLOW_CLIENT_H_
#define MEADOWTHREAD_NET_TESTS_SLOW_CLIENT_H_

#include <QTimer>
#include <cstddef>
#include <string>

#include "net/http_client.h"

namespace meadowthread::tests {

/// @brief A client with a small receive buffer that reads at a set rate.
class SlowClient {
 public:
  enum class End { kOpen, kFinished, kReset };

  enum class FirstSent { kRequest, kNothing };
  static constexpr int kReceiveBytes = 2'048;

  /// @brief Connects to the request's host and sends it.
  /// @param[in] receive_bytes size of its kernel receive buffer
  explicit SlowClient(const HttpRequest& request,
                      FirstSent sends = FirstSent::kRequest,
                      int receive_bytes = kReceiveBytes);
  ~SlowClient();
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  /// @brief Sends further bytes on the same connection.
  void Send(const std::string& bytes) const;

  /// @brief Shuts down sending; reading continues.
  void FinishSending() const;

  /// @brief Starts to read up to this many bytes every 10 ms.
  void Read(std::size_t bytes_per_10_ms);

  /// @brief How the connection ended; kOpen until then.
  End Ended() const { return this->end; }
  const std::string& Got() const { return this->got; }
  /// @brief Whether the last chunk of a chunked response was received.
  bool IsWhole() const { return this->got.ends_with("\r\n0\r\n\r\n"); }

 private:
  void ReadSome(std::size_t bytes);

  int descriptor;
  QTimer timer;
  std::string got;
  End end = End::kOpen;
};

/// @brief Serializes a request for the host of its URL.
std::string BytesOf(const HttpRequest& request);

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_NET_TESTS_SLOW_CLIENT_H_
