#include "policy/detail/fleet_state_helpers.h"

#include <algorithm>

namespace meadowthread::detail {
namespace {

// Assumed decode speed of one stream.
constexpr double kDecodeTokensPerMs = 0.03;

}  // namespace

std::string ModelKey(std::string_view service, const ServedModel& model) {
  std::string key(service);
  for (const std::string& part : {model.model, model.adapter, model.version}) {
    key += '\0';
    key += part;
  }
  return key;
}

std::int64_t EstimateDecodedTokens(std::int64_t elapsed_ms) {
  const auto span = static_cast<double>(std::max<std::int64_t>(elapsed_ms, 0));
  return static_cast<std::int64_t>(span * kDecodeTokensPerMs);
}

}  // namespace meadowthread::detail
