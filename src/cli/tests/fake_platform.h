#ifndef MEADOWTHREAD_CLI_TESTS_FAKE_PLATFORM_H_
#define MEADOWTHREAD_CLI_TESTS_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "nlohmann/json.hpp"
#include "store/memory_store.h"

namespace meadowthread {

/// @brief Runs tasks one at a time, when a command waits for nothing else.
class QueueScheduler final : public Scheduler {
 public:
  void After(std::int64_t /*delay_ms*/, std::function<void()> task) override {
    this->tasks.push_back(std::move(task));
  }

  /// @return whether there was a task
  bool RunOne() {
    if (this->tasks.empty()) {
      return false;
    }
    const std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    task();
    return true;
  }

 private:
  std::deque<std::function<void()>> tasks;
};

/// @brief What the fake platform is made of; outlives the platforms.
struct FakeWorld {
  MemoryStore store;
  QueueScheduler tasks;
  ManualClock clock{1'000'000};
  absl::StatusOr<HostList> hosts = HostList{};
  std::vector<HostReply> replies;  ///< to AskStatuses and CallAll
  std::vector<std::string> calls;  ///< parameters of CallAll
  /// Happens once, before the first task: between a write and the next.
  std::function<void()> at_pause = [] {};

  void Put(std::string_view kind, std::string_view name,
           std::string_view value) {
    this->store.Put(kind, name, value, 0, [](const auto&) {});
    this->store.Settle();
  }
};

/// @brief A platform in memory, whose answers come while a command waits.
class FakePlatform final : public Platform {
 public:
  explicit FakePlatform(FakeWorld& world) : world(world) {}

  ObjectStore& Store() override { return this->world.store; }

  Scheduler& Tasks() override { return this->world.tasks; }

  bool Wait(const std::function<bool()>& is_done) override {
    this->world.store.Settle();
    while (!is_done()) {
      std::exchange(this->world.at_pause, [] {})();
      if (!this->world.tasks.RunOne()) {
        break;
      }
      this->world.store.Settle();
    }
    return is_done();
  }

  void Pause(std::int64_t pause_ms) override {
    this->world.store.Settle();
    this->world.clock.Advance(pause_ms);
  }

  absl::StatusOr<HostList> ListHosts() override { return this->world.hosts; }

  std::vector<HostReply> AskStatuses(
      std::span<const HostEntry> /*hosts*/) override {
    return this->world.replies;
  }

  std::vector<HostReply> CallAll(std::span<const HostEntry> /*hosts*/,
                                 std::string_view /*method*/,
                                 std::string_view params) override {
    this->world.calls.emplace_back(params);
    return this->world.replies;
  }

 private:
  FakeWorld& world;
};

class FakeConnector final : public PlatformConnector {
 public:
  explicit FakeConnector(FakeWorld& world) : world(world) {}

  std::unique_ptr<Platform> Connect(
      const PlatformAddress& /*address*/) override {
    return std::make_unique<FakePlatform>(this->world);
  }

 private:
  FakeWorld& world;
};

/// @brief What a command wrote and how it ended.
struct RunRecord {
  ExitCode code = ExitCode::kFailed;
  std::string out;
  std::string err;
};

inline RunRecord RunCommand(Command& command,
                            const std::vector<std::string>& arguments,
                            const std::string& input = "") {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  Console console = {in, out, err};
  const ExitCode code = command.Run(arguments, console);
  return {code, out.str(), err.str()};
}

inline bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

inline HostEntry EntryHost(const std::string& name) {
  HostEntry host;
  host.name = name;
  host.zone = "makati-hall";
  return host;
}

inline absl::Status NoAnswer() {
  ErrorDetail detail;
  detail.id = ErrorId::kConnectFailed;
  return MakeError(absl::StatusCode::kUnavailable, detail, "refused");
}

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_TESTS_FAKE_PLATFORM_H_
