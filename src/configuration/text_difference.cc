#include "configuration/text_difference.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/absl_view.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxCells = 4'000'000;

using Lines = std::vector<std::string>;

/// The lines between the common prefix and suffix of two texts.
struct Middle {
  std::span<const std::string> before;
  std::span<const std::string> after;
  std::size_t start = 0;  ///< lines in the common prefix
};

Lines SplitLines(std::string_view text) {
  return absl::StrSplit(AbslView(text), '\n');
}

Middle MiddleOf(const Lines& before, const Lines& after) {
  const std::size_t shorter = std::min(before.size(), after.size());
  std::size_t start = 0;
  while (start < shorter && before[start] == after[start]) {
    ++start;
  }
  std::size_t end = 0;
  while (end < shorter - start &&
         before[before.size() - 1 - end] == after[after.size() - 1 - end]) {
    ++end;
  }
  const std::span<const std::string> whole_before(before);
  const std::span<const std::string> whole_after(after);
  return {whole_before.subspan(start, before.size() - end - start),
          whole_after.subspan(start, after.size() - end - start), start};
}

std::string LineText(char sign, std::size_t number, std::string_view line) {
  return absl::StrCat(std::string(1, sign), number, ": ", std::string(line),
                      "\n");
}

// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::uint32_t> SuffixLcsLengths(const Middle& middle) {
  const std::size_t columns = middle.after.size() + 1;
  std::vector<std::uint32_t> lengths((middle.before.size() + 1) * columns, 0);
  for (std::size_t i = middle.before.size(); i-- > 0;) {
    for (std::size_t j = middle.after.size(); j-- > 0;) {
      const std::size_t at = i * columns + j;
      lengths[at] = middle.before[i] == middle.after[j]
                        ? lengths[at + columns + 1] + 1
                        : std::max(lengths[at + columns], lengths[at + 1]);
    }
  }
  return lengths;
}

std::string Replaced(const Middle& middle) {
  std::string text;
  for (std::size_t i = 0; i < middle.before.size(); ++i) {
    text += LineText('-', middle.start + i + 1, middle.before[i]);
  }
  for (std::size_t j = 0; j < middle.after.size(); ++j) {
    text += LineText('+', middle.start + j + 1, middle.after[j]);
  }
  return text;
}

}  // namespace

std::string LineDifference(std::string_view before, std::string_view after) {
  const Lines old_lines = SplitLines(before);
  const Lines new_lines = SplitLines(after);
  const Middle middle = MiddleOf(old_lines, new_lines);
  const std::size_t columns = middle.after.size() + 1;
  if (columns * (middle.before.size() + 1) > kMaxCells) {
    return Replaced(middle);
  }
  const std::vector<std::uint32_t> lengths = SuffixLcsLengths(middle);
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < middle.before.size() || j < middle.after.size()) {
    const bool has_both = i < middle.before.size() && j < middle.after.size();
    if (has_both && middle.before[i] == middle.after[j]) {
      ++i;
      ++j;
    } else if (j == middle.after.size() ||
               (has_both && lengths[(i + 1) * columns + j] >=
                                lengths[i * columns + j + 1])) {
      text += LineText('-', middle.start + i + 1, middle.before[i]);
      ++i;
    } else {
      text += LineText('+', middle.start + j + 1, middle.after[j]);
      ++j;
    }
  }
  return text;
}

}  // namespace meadowthread
