#include "store/store_era.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "base/absl_view.h"
#include "base/log_line.h"
#include "store/store_errors.h"
#include "store/store_revision.h"

namespace meadowthread {

absl::StatusOr<std::int64_t> StoreEra::Read(std::string_view named,
                                            std::string_view step,
                                            std::string_view peer) {
  if (named.empty()) {
    return this->known;
  }
  std::int64_t era = 0;
  const bool is_valid = absl::SimpleAtoi(AbslView(named), &era) && era >= 0 &&
                        era <= StoreRevision::kMaxEra;
  if (!is_valid || era < this->known) {
    LogLine("store-era-refused")
        .Add("named", named)
        .Add("known", this->known)
        .Add("step", step)
        .Add("peer", peer)
        .WriteImportant();
    return StoreError(
        is_valid ? ErrorId::kStoreUnavailable : ErrorId::kStoreMalformed, step,
        peer);
  }
  if (era > this->known) {
    this->Begin(era, peer);
  }
  this->has_answer = true;
  return era;
}

// The era of the first answer is no news: this process knows nothing of any
// earlier one.
void StoreEra::Begin(std::int64_t era, std::string_view peer) {
  LogLine("store-era")
      .Add("era", era)
      .Add("before", this->known)
      .Add("first", this->has_answer ? "no" : "yes")
      .Add("peer", peer)
      .WriteImportant();
  this->known = era;
  if (!this->has_answer) {
    return;
  }
  for (const Listener& listener : this->listeners) {
    listener();
  }
}

}  // namespace meadowthread
