#ifndef MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_
#define MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace meadowthread::fuzz {

/// @brief The fuzzer's bytes as text.
inline std::string_view TextOf(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// @brief Ends the run, so that the input is kept, where a promise is broken.
inline void Require(bool holds, std::string_view what) {
  if (!holds) {
    std::cerr << "broken promise: " << what << '\n';
    std::abort();
  }
}

}  // namespace meadowthread::fuzz

#endif  // MEADOWTHREAD_FUZZ_FUZZ_INPUT_H_
