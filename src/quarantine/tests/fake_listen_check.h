#ifndef MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_
#define MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "net/listen_probe.h"

namespace meadowthread::testing {

/// @brief A probe whose connection attempts get their results from the test.
class FakeListenCheck final : public ListenProbe {
 public:
  void Ask(std::string_view address, std::int64_t /*limit_ms*/,
           const Done& done) override {
    this->asked.emplace_back(address, done);
  }

  /// @brief Gives the result of the oldest attempt.
  void Answer(ListenProbeResult state) {
    const Done done = this->asked.front().second;
    this->asked.pop_front();
    done(state);
  }

  std::deque<std::pair<std::string, Done>> asked;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_
