#ifndef MEADOWTHREAD_TESTS_SOAK_DRAW_H_
#define MEADOWTHREAD_TESTS_SOAK_DRAW_H_

#include <cstdint>
#include <random>

namespace meadowthread::soak {

/// @brief What a seed decides; the same on every machine.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : generator(seed) {}

  /// @brief A number from 0 to `limit` - 1.
  int Below(int limit) {
    return static_cast<int>(this->generator() %
                            static_cast<std::uint64_t>(limit));
  }
  int Between(int least, int most) {
    return least + this->Below(most - least + 1);
  }
  /// @brief Decisions of their own, which take nothing from these.
  Draw Fork() { return Draw(this->generator()); }
  bool OneIn(int cases) { return this->Below(cases) == 0; }

 private:
  std::mt19937_64 generator;
};

}  // namespace meadowthread::soak

#endif  // MEADOWTHREAD_TESTS_SOAK_DRAW_H_
