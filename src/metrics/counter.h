#ifndef MEADOWTHREAD_METRICS_COUNTER_H_
#define MEADOWTHREAD_METRICS_COUNTER_H_

#include <cstdint>

namespace meadowthread {

/// @brief A monotonically increasing counter.
class Counter {
 public:
  void Add(std::uint64_t by = 1) { this->total += by; }
  std::uint64_t Total() const { return this->total; }

 private:
  std::uint64_t total = 0;
};

/// @brief A value that can go up and down.
class Gauge {
 public:
  void Set(double to) { this->value = to; }
  double Value() const { return this->value; }

 private:
  double value = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_COUNTER_H_
