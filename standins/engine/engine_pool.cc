#include "engine/engine_pool.h"

#include <utility>

namespace meadowthread::standins {

EnginePool::EnginePool(int tick_ms) {
  this->timer.setTimerType(Qt::PreciseTimer);
  this->timer.setInterval(tick_ms);
  QObject::connect(&this->timer, &QTimer::timeout, &this->timer, [this] {
    for (const Member& member : this->members) {
      member.service->Tick();
    }
  });
  this->timer.start();
}

bool EnginePool::Add(const EngineOptions& options, const std::string& name,
                     const std::string& address, std::uint16_t port) {
  Member member;
  member.service = std::make_unique<EngineService>(options, name);
  member.listener = std::make_unique<HttpListener>(member.service.get());
  const std::uint16_t actual =
      member.listener->Listen(address, port, "engine", name);
  this->members.push_back(std::move(member));
  return actual != 0;
}

}  // namespace meadowthread::standins
