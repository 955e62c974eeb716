#ifndef MEADOWTHREAD_RELAY_TESTS_FAKE_GRACE_PERIOD_H_
#define MEADOWTHREAD_RELAY_TESTS_FAKE_GRACE_PERIOD_H_

#include <cstdint>

#include "relay/entry_grace_period.h"

namespace meadowthread::testing {

/// @brief A grace period whose end is set by the test.
struct FakeGracePeriod final : public EntryGracePeriod {
  std::int64_t GraceEndsMs(std::int64_t, std::int64_t) const override {
    return this->until_ms;
  }
  std::int64_t until_ms = 0;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_RELAY_TESTS_FAKE_GRACE_PERIOD_H_
