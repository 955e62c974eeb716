#include "quarantine/content_key.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/sha256.h"

namespace meadowthread {
namespace {

// Half of a SHA-256: two of a million contents meet by chance once in 10^26.
constexpr std::size_t kKeyBytes = 16;
constexpr std::size_t kKeyDigits = 2 * kKeyBytes;

bool IsLowerHex(char one) {
  return absl::ascii_isdigit(static_cast<unsigned char>(one)) ||
         (one >= 'a' && one <= 'f');
}

}  // namespace

std::string ContentKeyOf(const RunContent& content) {
  std::string joined;
  // With the length of each part, so that no two contents run into each other.
  for (const std::string_view part :
       {content.workspace, content.host, content.target, content.body}) {
    absl::StrAppend(&joined, part.size(), ":", AbslView(part));
  }
  const Hash256 hash = Sha256Of(joined);
  const std::string bytes(hash.begin(), hash.begin() + kKeyBytes);
  return absl::BytesToHexString(bytes);
}

bool IsContentKey(std::string_view text) {
  return text.size() == kKeyDigits &&
         std::all_of(text.begin(), text.end(), IsLowerHex);
}

}  // namespace meadowthread
