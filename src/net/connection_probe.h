#ifndef MEADOWTHREAD_NET_CONNECTION_PROBE_H_
#define MEADOWTHREAD_NET_CONNECTION_PROBE_H_

namespace meadowthread {

/// @brief Tells how a TCP connection ended after the owner of its socket has
/// closed it. Keeps a duplicate of the descriptor, so that the connection is
/// closed only once the probe is closed as well.
class ConnectionProbe {
 public:
  ConnectionProbe() = default;
  ~ConnectionProbe() { this->Close(); }
  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

  /// @brief Starts to observe a connection.
  void Open(int descriptor);

  /// @brief Whether the connection was reset, or has failed otherwise.
  bool IsBroken() const;

  void Close();

 private:
  int duplicate = -1;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_CONNECTION_PROBE_H_
