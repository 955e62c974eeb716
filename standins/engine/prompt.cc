#include "engine/prompt.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace meadowthread::standins {
namespace {

constexpr std::string_view kTokensDirective = "[tokens=";
constexpr std::string_view kEchoDirective = "[echo-generation]";
constexpr std::string_view kCrashDirective = "[ends-engine]";
constexpr std::size_t kMaxPrefixBytes = 256;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kMinOutputTokens = 16;
constexpr std::uint64_t kOutputRangeTokens = 240;
constexpr std::size_t kDigits = 20;

std::int64_t LengthFor(std::string_view prompt) {
  const std::size_t at = prompt.find(kTokensDirective);
  if (at != std::string_view::npos) {
    const std::string_view digits = prompt.substr(at + kTokensDirective.size());
    std::int64_t length = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return std::max<std::int64_t>(1, length);
  }
  const std::uint64_t hash = XXH64(prompt.data(), prompt.size(), 0);
  return kMinOutputTokens +
         static_cast<std::int64_t>(hash % kOutputRangeTokens);
}

}  // namespace

void ApplyPrompt(std::string_view prompt, std::int64_t max_tokens,
                 GenerationSpec* spec) {
  const auto bytes = static_cast<std::int64_t>(prompt.size());
  spec->prompt_tokens = bytes / kBytesPerToken + 1;
  const std::size_t prefix_bytes = std::min(prompt.size(), kMaxPrefixBytes);
  spec->prefix = XXH64(prompt.data(), prefix_bytes, 0);
  spec->echo_generation = prompt.find(kEchoDirective) != std::string_view::npos;
  spec->crashes_engine = prompt.find(kCrashDirective) != std::string_view::npos;
  spec->length = LengthFor(prompt);
  spec->finish = Finish::kStop;
  if (max_tokens > 0 && spec->length > max_tokens) {
    spec->length = max_tokens;
    spec->finish = Finish::kLength;
  }
}

void AppendToken(const Generation& generation, std::int64_t index,
                 std::string* out) {
  char digits[kDigits];
  const char* end = std::to_chars(digits, digits + kDigits, index).ptr;
  out->push_back('w');
  out->append(digits, static_cast<std::size_t>(end - digits));
  if (generation.spec.echo_generation) {
    out->push_back('@');
    out->append(generation.id);
  }
  out->push_back(' ');
}

}  // namespace meadowthread::standins
