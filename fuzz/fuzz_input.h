#ifndef MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_
#define MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace meadowthread::fuzz {

/// @brief The fuzzer's input as text.
inline std::string_view TextOf(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// @brief Aborts if an invariant doesn't hold, so that the fuzzer saves the
/// input.
inline void Require(bool holds, std::string_view what) {
  if (!holds) {
    std::cerr << "invariant violated: " << what << '\n';
    std::abort();
  }
}

}  // namespace meadowthread::fuzz

#endif  // MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_
