#ifndef MEADOWTHREAD_RELAY_TESTS_PLAYED_LAPSE_H_
#define MEADOWTHREAD_RELAY_TESTS_PLAYED_LAPSE_H_

#include <cstdint>

#include "relay/entry_lapse.h"

namespace meadowthread::testing {

/// @brief Entries lapse up to the time that the test says.
struct PlayedLapse final : public EntryLapse {
  std::int64_t LapsesUntilMs(std::int64_t, std::int64_t) const override {
    return this->until_ms;
  }
  std::int64_t until_ms = 0;
};

}  // namespace meadowthread::testing

#endif  // MEADOWTHREAD_RELAY_TESTS_PLAYED_LAPSE_H_
