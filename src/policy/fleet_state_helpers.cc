#include "policy/detail/fleet_state_helpers.h"

#include <algorithm>

namespace meadowthread::detail {
namespace {

// Assumed decode speed of one stream.
constexpr double kDecodeTokensPerMs = 0.03;

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

std::int64_t EstimateDecodedTokens(std::int64_t elapsed_ms) {
  const auto span = static_cast<double>(std::max<std::int64_t>(elapsed_ms, 0));
  return static_cast<std::int64_t>(span * kDecodeTokensPerMs);
}

}  // namespace meadowthread::detail
