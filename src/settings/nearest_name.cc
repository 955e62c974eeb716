#include "settings/nearest_name.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace meadowthread {
namespace {

/// Levenshtein's distance, one row at a time.
std::size_t EditDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < to.size(); ++j) {
      const std::size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(std::string_view name,
                        std::span<const std::string> known) {
  std::string nearest;
  std::size_t least = 0;
  for (const std::string& candidate : known) {
    // A name that only lacks its beginning or end was surely meant.
    const bool contains =
        name.size() > 2 && candidate.find(name) != candidate.npos;
    const std::size_t distance = contains ? 1 : EditDistance(name, candidate);
    const bool is_near = distance <= 1 + candidate.size() / 3;
    if (is_near && (nearest.empty() || distance < least)) {
      nearest = candidate;
      least = distance;
    }
  }
  return nearest;
}

}  // namespace meadowthread
