#include "cli/line_difference.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMostCells = 4'000'000;

using Lines = std::vector<std::string>;

Lines LinesOf(std::string_view text) {
  if (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  if (text.empty()) {
    return {};
  }
  return absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
}

/// Lengths of the longest common subsequences of all pairs of suffixes.
class CommonLengths {
 public:
  CommonLengths(std::span<const std::string> first,
                std::span<const std::string> second)
      : width(second.size() + 1), cells((first.size() + 1) * this->width) {
    for (std::size_t i = first.size(); i-- > 0;) {
      for (std::size_t j = second.size(); j-- > 0;) {
        this->cells[i * this->width + j] =
            first[i] == second[j]
                ? this->At(i + 1, j + 1) + 1
                : std::max(this->At(i + 1, j), this->At(i, j + 1));
      }
    }
  }

  std::uint32_t At(std::size_t i, std::size_t j) const {
    return this->cells[i * this->width + j];
  }

 private:
  std::size_t width;
  std::vector<std::uint32_t> cells;
};

void Append(char sign, std::size_t line, std::string_view text,
            std::string* out) {
  absl::StrAppend(out, std::string(1, sign), " ", line, ": ", std::string(text),
                  "\n");
}

void AppendBlock(char sign, std::span<const std::string> lines,
                 std::size_t offset, std::string* out) {
  for (std::size_t i = 0; i < lines.size(); ++i) {
    Append(sign, offset + i + 1, lines[i], out);
  }
}

std::string Differences(std::span<const std::string> first,
                        std::span<const std::string> second,
                        std::size_t offset) {
  std::string out;
  if ((first.size() + 1) * (second.size() + 1) > kMostCells) {
    AppendBlock('-', first, offset, &out);
    AppendBlock('+', second, offset, &out);
    return out;
  }
  const CommonLengths common(first, second);
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < first.size() || j < second.size()) {
    const bool both = i < first.size() && j < second.size();
    if (both && first[i] == second[j]) {
      ++i;
      ++j;
    } else if (j == second.size() ||
               (both && common.At(i + 1, j) >= common.At(i, j + 1))) {
      Append('-', offset + i + 1, first[i], &out);
      ++i;
    } else {
      Append('+', offset + j + 1, second[j], &out);
      ++j;
    }
  }
  return out;
}

}  // namespace

std::string LineDifference(std::string_view first, std::string_view second) {
  const Lines ours = LinesOf(first);
  const Lines theirs = LinesOf(second);
  // Most of two versions is the same: only what lies between is compared.
  std::size_t begin = 0;
  const std::size_t shorter = std::min(ours.size(), theirs.size());
  while (begin < shorter && ours[begin] == theirs[begin]) {
    ++begin;
  }
  std::size_t end = 0;
  while (end < shorter - begin &&
         ours[ours.size() - 1 - end] == theirs[theirs.size() - 1 - end]) {
    ++end;
  }
  const std::span<const std::string> first_lines(ours);
  const std::span<const std::string> second_lines(theirs);
  return Differences(first_lines.subspan(begin, ours.size() - begin - end),
                     second_lines.subspan(begin, theirs.size() - begin - end),
                     begin);
}

}  // namespace meadowthread
