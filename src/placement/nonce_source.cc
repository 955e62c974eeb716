#include "placement/nonce_source.h"

#include <cstdint>

#include "absl/strings/str_format.h"

namespace meadowthread {

std::string RandomNonceSource::Next() {
  const auto high = absl::Uniform<std::uint64_t>(this->generator);
  const auto low = absl::Uniform<std::uint64_t>(this->generator);
  return absl::StrFormat("%016x%016x", high, low);
}

}  // namespace meadowthread
