#include "policy/detail/fleet_keys.h"

#include <algorithm>

namespace meadowthread::detail {
namespace {

// Decoding speed assumed where only the time passed is known.
constexpr double kTokensPerMs = 0.03;

}  // namespace

std::string ModelKey(std::string_view model, std::string_view adapter,
                     std::string_view version) {
  std::string key(model);
  key += '\0';
  key += adapter;
  key += '\0';
  key += version;
  return key;
}

std::int64_t TokensIn(std::int64_t span_ms) {
  const auto span = static_cast<double>(std::max<std::int64_t>(span_ms, 0));
  return static_cast<std::int64_t>(span * kTokensPerMs);
}

}  // namespace meadowthread::detail
