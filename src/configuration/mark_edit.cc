#include "configuration/mark_edit.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {

MarkEdit::MarkEdit(MarkDocument document, std::string_view kind)
    : document(std::move(document)), kind(kind) {}

std::string_view MarkEdit::Kind() const { return this->kind; }

PresenceResult MarkEdit::FindIn(const StoredObject& stored) const {
  const absl::StatusOr<MarkDocument> read = MarkFromJson(stored.value);
  if (!read.ok()) {
    return {ChangePresence::kAbsent, 0};
  }
  if (read->operation == this->document.operation) {
    return {ChangePresence::kCurrent, stored.version};
  }
  const bool is_same = read->mark == this->document.mark &&
                       read->handover == this->document.handover;
  return is_same ? PresenceResult{ChangePresence::kSameContent, stored.version}
                 : PresenceResult{ChangePresence::kAbsent, 0};
}

std::string MarkEdit::NextValue(const StoredObject* /*stored*/) const {
  return MarkToJson(this->document);
}

std::string MarkEdit::Explain(const StoredObject* /*base*/,
                              const StoredObject* stored) const {
  if (stored == nullptr) {
    return "the mark was removed\n";
  }
  const absl::StatusOr<MarkDocument> read = MarkFromJson(stored->value);
  if (!read.ok()) {
    return absl::StrCat("version ", stored->version, " cannot be read\n");
  }
  return absl::StrCat(read->set_by, " set it to ",
                      std::string(HostMarkName(read->mark)),
                      read->handover ? " with handover" : "", ", version ",
                      stored->version, " at ", read->unix_ms, "\n");
}

}  // namespace meadowthread
