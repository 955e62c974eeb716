#include "engine/engine_pool.h"

#include <chrono>
#include <utility>

namespace meadowthread::standins {
namespace {

// Delay from the start of a generation that crashes its engine to the crash,
// and from the crash to the engine's restart.
constexpr std::chrono::milliseconds kCrashDelay{20};
constexpr std::chrono::milliseconds kRestartDelay{1'000};

}  // namespace

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
  member.name = name;
  member.address = address;
  member.port = actual;
  member.service->OnEngineCrash([this, n = this->members.size()] {
    QTimer::singleShot(kCrashDelay, [this, n] { this->CrashEngine(n); });
  });
  this->members.push_back(std::move(member));
  return actual != 0;
}

void EnginePool::CrashEngine(std::size_t n) {
  Member& member = this->members[n];
  if (member.listener == nullptr) {
    return;  // another generation has already crashed it
  }
  member.service->LoseAll();
  member.listener.reset();
  QTimer::singleShot(kRestartDelay, [this, n] { this->RestartEngine(n); });
}

void EnginePool::RestartEngine(std::size_t n) {
  Member& member = this->members[n];
  member.listener = std::make_unique<HttpListener>(member.service.get());
  member.listener->Listen(member.address, member.port, "engine", member.name);
}

}  // namespace meadowthread::standins
