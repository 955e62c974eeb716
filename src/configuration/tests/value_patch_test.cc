// Differences between versions of a long value.
#include "configuration/value_patch.h"

#include <criterion/criterion.h>

#include <string>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::size_t kLimit = std::size_t{1} << 20;

std::string Document(int version, int changed_part) {
  std::string text = absl::StrCat("{\"version\": ", version, ", \"parts\": [");
  for (int n = 0; n < 1'500; ++n) {
    absl::StrAppend(&text, "{\"name\": \"part-", n, "\", \"key\": \"",
                    n * 7'919 % 10'007,
                    "\", \"limit\": ", n == changed_part ? version : n, "},");
  }
  return text + "]}";
}

Test(a_patch, rebuilds_a_long_value_and_fits_a_datagram) {
  constexpr std::size_t kDatagramBytes = 1'200;
  const std::string base = Document(1, -1);
  const std::string value = Document(2, 700);
  const std::string patch = MakePatch(base, value);
  cr_assert(base.size() > 50'000);
  cr_assert(patch.size() < kDatagramBytes, "%zu bytes", patch.size());
  const absl::StatusOr<std::string> rebuilt = ApplyPatch(base, patch, kLimit);
  cr_assert(rebuilt.ok() && *rebuilt == value);
}

Test(a_patch, is_refused_with_another_base) {
  const std::string patch = MakePatch(Document(1, -1), Document(2, 700));
  cr_assert(!ApplyPatch(Document(3, 20), patch, kLimit).ok());
  cr_assert(!ApplyPatch("", patch, kLimit).ok());
}

Test(a_patch, is_refused_if_malformed_or_too_long) {
  const std::string base = Document(1, -1);
  const std::string patch = MakePatch(base, Document(2, 700));
  cr_assert(!ApplyPatch(base, patch, 1'000).ok());
  cr_assert(!ApplyPatch(base, "", kLimit).ok());
  cr_assert(!ApplyPatch(base, "no patch", kLimit).ok());
  for (std::size_t length = 0; length < patch.size(); ++length) {
    cr_assert(!ApplyPatch(base, patch.substr(0, length), kLimit).ok());
  }
}

Test(compressed_bytes, are_restored) {
  const std::string bytes = Document(1, -1);
  const std::string compressed = Compress(bytes);
  cr_assert(compressed.size() < bytes.size() / 2);
  const absl::StatusOr<std::string> restored = Decompress(compressed, kLimit);
  cr_assert(restored.ok() && *restored == bytes);
  cr_assert(Decompress(Compress(""), kLimit)->empty());
}

}  // namespace
}  // namespace meadowthread
