#include "engine/token_events.h"

#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"
#include "engine/prompt.h"

namespace meadowthread::standins {
namespace {

constexpr std::size_t kDigits = 20;

bool IsEveryNth(std::int64_t count, std::int64_t every) {
  return every > 0 && count % every == 0;
}

}  // namespace

TokenEvents::TokenEvents(Generation* generation, std::int64_t from)
    : generation(generation),
      next_index(from),
      data_start(
          absl::StrCat("\ndata: {\"g\":\"", generation->id, "\",\"i\":")) {}

std::string TokenEvents::StartEvent() const {
  return absl::StrCat("event: start\ndata: {\"generation\":\"",
                      this->generation->id, "\"}\n\n");
}

void TokenEvents::AppendNew(const EngineFaults& faults, std::int64_t* count,
                            std::string* out) {
  while (this->next_index < this->generation->generated) {
    const std::int64_t index = this->next_index++;
    ++*count;
    if (IsEveryNth(*count, faults.drop_every) &&
        this->generation->dropped_indexes.insert(index).second) {
      continue;
    }
    if (IsEveryNth(*count, faults.reorder_every) && this->held_back.empty()) {
      this->AppendToken(index, &this->held_back);
      continue;
    }
    this->AppendToken(index, out);
    if (IsEveryNth(*count, faults.duplicate_every)) {
      this->AppendToken(index, out);
    }
    out->append(std::exchange(this->held_back, {}));
  }
  if (!this->generation->IsActive() && !this->over) {
    out->append(std::exchange(this->held_back, {}));
    this->AppendEnd(out);
  }
}

void TokenEvents::AppendToken(std::int64_t index, std::string* out) const {
  char digits[kDigits];
  const char* end = std::to_chars(digits, digits + kDigits, index).ptr;
  const std::string_view number(digits, static_cast<std::size_t>(end - digits));
  out->append("id: ");
  out->append(number);
  out->append(this->data_start);
  out->append(number);
  out->append(",\"t\":\"");
  standins::AppendToken(*this->generation, index, out);
  out->append("\"}\n\n");
}

void TokenEvents::AppendEnd(std::string* out) {
  this->over = true;
  const Generation& ended = *this->generation;
  if (ended.state == GenerationState::kFinished) {
    const bool cut = ended.spec.finish == Finish::kLength;
    absl::StrAppend(out, "event: end", this->data_start);
    out->resize(out->size() - std::string_view("\"i\":").size());
    absl::StrAppend(out, "\"count\":", ended.generated, ",\"finish\":\"",
                    cut ? "length" : "stop", "\"}\n\n");
    return;
  }
  const std::string_view reason = ended.state == GenerationState::kLost
                                      ? std::string_view{ended.lost_reason}
                                      : StateName(ended.state);
  absl::StrAppend(out, "event: lost\ndata: {\"g\":\"", ended.id,
                  "\",\"reason\":\"",
                  absl::string_view(reason.data(), reason.size()), "\"}\n\n");
}

}  // namespace meadowthread::standins
