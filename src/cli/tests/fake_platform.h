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

/// @brief Queues tasks and runs them one at a time, ignoring their delays.
class QueueScheduler final : public Scheduler {
 public:
  void After(std::int64_t /*delay_ms*/, std::function<void()> task) override {
    this->tasks.push_back(std::move(task));
  }

  /// @brief Runs the oldest task.
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

/// @brief The state and scripted replies of a fake platform; outlives the
/// platforms.
struct FakePlatformState {
  MemoryStore store;
  QueueScheduler tasks;
  ManualClock clock{1'000'000};
  absl::StatusOr<HostList> hosts = HostList{};
  std::vector<HostReply> replies;  ///< returned by AskStatuses and CallAll
  std::vector<std::string> calls;  ///< parameters of CallAll
  /// Runs once, before the first queued task: between a write and its retry.
  std::function<void()> before_first_task = [] {};

  void Put(std::string_view kind, std::string_view name,
           std::string_view value) {
    this->store.Put(kind, name, value, 0, [](const auto&) {});
    this->store.Settle();
  }
};

/// @brief An in-memory platform that delivers replies while a command waits.
class FakePlatform final : public Platform {
 public:
  explicit FakePlatform(FakePlatformState& state) : state(state) {}

  ObjectStore& Store() override { return this->state.store; }

  Scheduler& Tasks() override { return this->state.tasks; }

  bool Wait(const std::function<bool()>& is_done) override {
    this->state.store.Settle();
    while (!is_done()) {
      std::exchange(this->state.before_first_task, [] {})();
      if (!this->state.tasks.RunOne()) {
        break;
      }
      this->state.store.Settle();
    }
    return is_done();
  }

  void Pause(std::int64_t pause_ms) override {
    this->state.store.Settle();
    this->state.clock.Advance(pause_ms);
  }

  absl::StatusOr<HostList> ListHosts() override { return this->state.hosts; }

  std::vector<HostReply> AskStatuses(
      std::span<const HostEntry> /*hosts*/) override {
    return this->state.replies;
  }

  std::vector<HostReply> CallAll(std::span<const HostEntry> /*hosts*/,
                                 std::string_view /*method*/,
                                 std::string_view params) override {
    this->state.calls.emplace_back(params);
    return this->state.replies;
  }

 private:
  FakePlatformState& state;
};

class FakeConnector final : public PlatformConnector {
 public:
  explicit FakeConnector(FakePlatformState& state) : state(state) {}

  std::unique_ptr<Platform> Connect(
      const PlatformAddress& /*address*/) override {
    return std::make_unique<FakePlatform>(this->state);
  }

 private:
  FakePlatformState& state;
};

/// @brief The output and exit code of a command.
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
