#ifndef MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_

#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine_service.h"

namespace meadowthread::standins {

/// @brief Several engines in one process, each on its own port, moved on by
/// one shared timer.
class EnginePool {
 public:
  explicit EnginePool(int tick_ms);

  /// @brief Adds an engine and listens.
  /// @return whether its port could be had
  bool Add(const EngineOptions& options, const std::string& name,
           const std::string& address, std::uint16_t port);

 private:
  void End(std::size_t n);
  void StartAgain(std::size_t n);

  struct Member {
    std::unique_ptr<EngineService> service;
    std::unique_ptr<HttpListener> listener;  ///< null: it has ended
    std::string name;
    std::string address;
    std::uint16_t port = 0;
  };

  std::vector<Member> members;
  QTimer timer;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ENGINE_POOL_H_
