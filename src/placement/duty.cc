#include "placement/duty.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kRankDelayMs = 1'000;
constexpr int kPreferredHosts = 3;
constexpr double kOthersSpreadMs = 10'000;
constexpr double kHashRange = 18446744073709551616.0;  // 2^64

std::uint64_t Hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t Preference(std::string_view host, std::string_view duty) {
  return Hash(absl::StrCat(std::string(host), "\n", std::string(duty)));
}

}  // namespace

// The number of groups is part of the name: while hosts disagree on it, two
// may order one engine, and the fences settle it.
std::string PlacementDuty(std::string_view half, int groups, int group) {
  return absl::StrCat("placement.", std::string(half), ".", groups, ".", group);
}

int GroupOfEngine(std::string_view engine, int groups) {
  return static_cast<int>(Hash(engine) % static_cast<std::uint64_t>(groups));
}

std::int64_t TakeoverDelayMs(std::string_view host, std::string_view duty,
                             std::span<const std::string> hosts) {
  const std::uint64_t own = Preference(host, duty);
  int rank = 0;
  for (const std::string& other : hosts) {
    rank += Preference(other, duty) > own ? 1 : 0;
  }
  if (rank < kPreferredHosts) {
    return rank * kRankDelayMs;
  }
  const double spread = SpreadOf(absl::StrCat(std::string(duty), "\n", own));
  return kPreferredHosts * kRankDelayMs +
         static_cast<std::int64_t>(spread * kOthersSpreadMs);
}

double SpreadOf(std::string_view name) {
  return static_cast<double>(Hash(name)) / kHashRange;
}

}  // namespace meadowthread
