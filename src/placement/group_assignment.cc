#include "placement/group_assignment.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kRankDelayMs = 1'000;
constexpr int kPreferredHosts = 3;
constexpr double kNonPreferredJitterMs = 10'000;
constexpr double kHashRange = 18446744073709551616.0;  // 2^64

std::uint64_t Hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t Preference(std::string_view host, std::string_view lease) {
  return Hash(absl::StrCat(std::string(host), "\n", std::string(lease)));
}

}  // namespace

// The name includes the number of groups. While a change of that number is
// rolled out, hosts use different numbers, and an engine may belong to the
// groups of two lease holders. It then obeys the holder with the newer fencing
// token.
std::string PlacementLeaseName(std::string_view deployment, int groups,
                               int group) {
  return absl::StrCat("placement.", std::string(deployment), ".", groups, ".",
                      group);
}

int GroupOfEngine(std::string_view engine, int groups) {
  return static_cast<int>(Hash(engine) % static_cast<std::uint64_t>(groups));
}

std::int64_t TakeoverDelayMs(std::string_view host, std::string_view lease,
                             std::span<const std::string> hosts) {
  const std::uint64_t own = Preference(host, lease);
  int rank = 0;
  for (const std::string& other : hosts) {
    rank += Preference(other, lease) > own ? 1 : 0;
  }
  if (rank < kPreferredHosts) {
    return rank * kRankDelayMs;
  }
  const double jitter =
      HashFraction(absl::StrCat(std::string(lease), "\n", own));
  return kPreferredHosts * kRankDelayMs +
         static_cast<std::int64_t>(jitter * kNonPreferredJitterMs);
}

double HashFraction(std::string_view name) {
  return static_cast<double>(Hash(name)) / kHashRange;
}

}  // namespace meadowthread
