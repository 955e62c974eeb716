#include "base/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace meadowthread {
namespace {

// Longer names are unlikely to be typing errors, and the cost grows with the
// length.
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kShortestPart = 3;

// Levenshtein distance, computed row by row.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// A name that contains the input counts as a close match: only its beginning or
// end is missing.
bool IsPartOf(std::string_view part, std::string_view name) {
  return part.size() >= kShortestPart &&
         name.find(part) != std::string_view::npos;
}

}  // namespace

std::string_view NearestName(std::string_view misspelt,
                             std::span<const std::string_view> known) {
  if (misspelt.size() > kMaxNameLength) {
    return {};
  }
  std::string_view nearest;
  std::size_t least = std::max<std::size_t>(2, misspelt.size() / 2) + 1;
  for (const std::string_view name : known) {
    const std::size_t distance =
        IsPartOf(misspelt, name) ? 1 : EditDistance(misspelt, name);
    if (distance < least) {
      least = distance;
      nearest = name;
    }
  }
  return nearest;
}

}  // namespace meadowthread
