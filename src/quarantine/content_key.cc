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

// Half of a SHA-256: the chance that two of a million contents have the same
// key is one in 10^26.
constexpr std::size_t kKeyBytes = 16;
constexpr std::size_t kKeyDigits = 2 * kKeyBytes;
// As long as the hash of a part may be; longer texts are no IDs.
constexpr std::size_t kMaxPartIdBytes = 64;

bool IsLowerHex(char character) {
  return absl::ascii_isdigit(static_cast<unsigned char>(character)) ||
         (character >= 'a' && character <= 'f');
}

}  // namespace

std::string ContentKeyOf(const RequestContent& content) {
  std::string joined;
  // Each part is preceded by its length, so that different contents can't be
  // joined to the same text.
  for (const std::string_view part :
       {content.workspace, content.http_host, content.target, content.body}) {
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

bool IsPartId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPartIdBytes &&
         std::all_of(text.begin(), text.end(), IsLowerHex);
}

}  // namespace meadowthread
