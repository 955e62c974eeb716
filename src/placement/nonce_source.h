#ifndef MEADOWTHREAD_PLACEMENT_NONCE_SOURCE_H_
#define MEADOWTHREAD_PLACEMENT_NONCE_SOURCE_H_

#include <string>

#include "absl/random/random.h"

namespace meadowthread {

/// @brief Generates values that are unique over all processes.
class NonceSource {
 public:
  virtual ~NonceSource() = default;

  /// @brief A new value; it contains no '.'.
  virtual std::string Next() = 0;
};

/// @brief Generates 128 random bits in hexadecimal.
class RandomNonceSource final : public NonceSource {
 public:
  std::string Next() override;

 private:
  absl::BitGen generator;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_NONCE_SOURCE_H_
