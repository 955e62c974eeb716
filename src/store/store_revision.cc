#include "store/store_revision.h"

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr int kRevisionBits = 40;

}  // namespace

std::int64_t StoreRevision::Ordinal() const {
  return (this->era << kRevisionBits) | this->revision;
}

StoreRevision StoreRevision::Of(std::int64_t ordinal) {
  if (ordinal < 0) {
    return {};
  }
  return {ordinal >> kRevisionBits, ordinal & kMaxRevision};
}

std::int64_t EraOf(std::int64_t ordinal) {
  return StoreRevision::Of(ordinal).era;
}

std::string RevisionText(std::int64_t ordinal) {
  const StoreRevision at = StoreRevision::Of(ordinal);
  return at.era == 0 ? absl::StrCat(at.revision)
                     : absl::StrCat(at.era, ":", at.revision);
}

}  // namespace meadowthread
