#ifndef MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_
#define MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "net/listen_check.h"

namespace meadowthread::testing {

/// @brief Connections that are tried, answered by the test.
class FakeListenCheck final : public ListenCheck {
 public:
  void Ask(std::string_view address, std::int64_t /*limit_ms*/,
           const Done& done) override {
    this->asked.emplace_back(address, done);
  }

  /// @brief Answers the oldest question.
  void Answer(ListenState state) {
    const Done done = this->asked.front().second;
    this->asked.pop_front();
    done(state);
  }

  std::deque<std::pair<std::string, Done>> asked;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_QUARANTINE_TESTS_FAKE_LISTEN_CHECK_H_
