#include "quarantine/content_key.h"

#include <algorithm>
#include <array>
#include <span>

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

// Each text is preceded by its length, so that different ones can't be joined
// to the same bytes.
std::string KeyOf(std::span<const std::string_view> texts) {
  std::string joined;
  for (const std::string_view text : texts) {
    absl::StrAppend(&joined, text.size(), ":", AbslView(text));
  }
  const Hash256 hash = Sha256Of(joined);
  const std::string bytes(hash.begin(), hash.begin() + kKeyBytes);
  return absl::BytesToHexString(bytes);
}

}  // namespace

std::string ContentKeyOf(const RequestContent& content) {
  const std::array<std::string_view, 4> texts = {
      content.workspace, content.http_host, content.target, content.body};
  return KeyOf(texts);
}

std::string PartKeyOf(std::string_view workspace, std::string_view part) {
  const std::array<std::string_view, 3> texts = {workspace, "part", part};
  return KeyOf(texts);
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
