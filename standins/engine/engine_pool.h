#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_

#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine_service.h"

namespace meadowthread::standins {

/// @brief Several engines in one process, each on its own port, all driven by
/// one timer.
class EnginePool {
 public:
  explicit EnginePool(int tick_ms);

  /// @brief Adds an engine and starts to listen.
  /// @return whether its port could be bound
  bool Add(const EngineOptions& options, const std::string& name,
           const std::string& address, std::uint16_t port);

 private:
  void CrashEngine(std::size_t n);
  void RestartEngine(std::size_t n);

  struct Member {
    std::unique_ptr<EngineService> service;
    /// Null between a crash and the restart.
    std::unique_ptr<HttpListener> listener;
    std::string name;
    std::string address;
    std::uint16_t port = 0;
  };

  std::vector<Member> members;
  QTimer timer;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_
