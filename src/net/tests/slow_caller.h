#ifndef MEADOWTHREAD_NET_TESTS_SLOW_CALLER_H_
#define MEADOWTHREAD_NET_TESTS_SLOW_CALLER_H_

#include <QTimer>
#include <cstddef>
#include <string>

#include "net/http_client.h"

namespace meadowthread::tests {

/// @brief A caller whose kernel holds little for it, and who reads only as fast
/// as it is told to.
class SlowCaller {
 public:
  enum class End { kOpen, kFinished, kReset };

  enum class Sends { kRequest, kNothing };
  static constexpr int kReceiveBytes = 2'048;

  /// @brief Connects to the request's host and sends it.
  /// @param[in] receive_bytes what its kernel is to hold for it
  explicit SlowCaller(const HttpRequest& request, Sends sends = Sends::kRequest,
                      int receive_bytes = kReceiveBytes);
  ~SlowCaller();
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  /// @brief Sends further bytes on the same connection.
  void Send(const std::string& bytes) const;

  /// @brief Sends no more, and reads on.
  void FinishSending() const;

  /// @brief From now on reads so many bytes every ten milliseconds.
  void Read(std::size_t bytes_per_10_ms);

  /// @brief How the connection ended, kOpen while it stands.
  End Ended() const { return this->end; }
  const std::string& Got() const { return this->got; }
  /// @brief Whether the last chunk of a streamed answer came.
  bool IsWhole() const { return this->got.ends_with("\r\n0\r\n\r\n"); }

 private:
  void ReadSome(std::size_t bytes);

  int descriptor;
  QTimer timer;
  std::string got;
  End end = End::kOpen;
};

/// @brief A request as bytes, to a host and port of its URL.
std::string BytesOf(const HttpRequest& request);

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_NET_TESTS_SLOW_CALLER_H_
