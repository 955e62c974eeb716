#ifndef MEADOWTHREAD_BASE_SHA256_H_
#define MEADOWTHREAD_BASE_SHA256_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief A SHA-256 hash.
using Hash256 = std::array<std::uint8_t, 32>;

/// @brief Computes the SHA-256 hash of `bytes`.
Hash256 Sha256Of(std::string_view bytes);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SHA256_H_
