#ifndef MEADOWTHREAD_TESTS_SOAK_FAULT_PROXY_H_
#define MEADOWTHREAD_TESTS_SOAK_FAULT_PROXY_H_

#include <QTimer>
#include <cstdint>
#include <list>
#include <memory>

namespace meadowthread::soak {

/// @brief How a link treats the bytes of one direction.
struct LinkFault {
  int delay_ms = 0;
  int bytes_per_tick = 0;  ///< of two milliseconds; 0: as many as come
  bool held = false;       ///< nothing passes, and nothing is lost
};

/// @brief A TCP link on loopback that can be made bad while it is used.
class FaultProxy {
 public:
  /// @param[in] target_port the port that its connections lead to
  explicit FaultProxy(int target_port);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  int Port() const { return this->port; }

  /// @brief From now on, for the connections that stand and for new ones.
  void SetFaults(const LinkFault& to_target, const LinkFault& to_caller);
  void Heal() { this->SetFaults({}, {}); }

  /// @brief Resets every connection that stands, on both sides.
  void ResetAll();

  /// @brief Every connection that stands passes nothing any more, for good and
  /// without an end; new ones work.
  void SilenceStanding();

 private:
  class Connection;

  void Turn();
  void Accept();

  int target_port;
  int port = 0;
  int listener;
  LinkFault to_target;
  LinkFault to_caller;
  std::list<std::unique_ptr<Connection>> connections;
  QTimer timer;
};

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_FAULT_PROXY_H_
