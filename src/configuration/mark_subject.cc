#include "configuration/mark_subject.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {

MarkSubject::MarkSubject(MarkDocument document, std::string_view kind)
    : document(std::move(document)), kind(kind) {}

std::string_view MarkSubject::Kind() const { return this->kind; }

StandingVerdict MarkSubject::Judge(const StoredObject& standing) const {
  const absl::StatusOr<MarkDocument> read = MarkFromJson(standing.value);
  if (!read.ok()) {
    return {Standing::kOther, 0};
  }
  if (read->operation == this->document.operation) {
    return {Standing::kOurs, standing.version};
  }
  const bool is_same = read->mark == this->document.mark &&
                       read->handover == this->document.handover;
  return is_same ? StandingVerdict{Standing::kSame, standing.version}
                 : StandingVerdict{Standing::kOther, 0};
}

std::string MarkSubject::NextValue(const StoredObject* /*standing*/) const {
  return MarkToJson(this->document);
}

std::string MarkSubject::Explain(const StoredObject* /*base*/,
                                 const StoredObject* standing) const {
  if (standing == nullptr) {
    return "the mark was removed\n";
  }
  const absl::StatusOr<MarkDocument> read = MarkFromJson(standing->value);
  if (!read.ok()) {
    return absl::StrCat("version ", standing->version, " cannot be read\n");
  }
  return absl::StrCat(read->set_by, " set it to ",
                      std::string(HostMarkName(read->mark)),
                      read->handover ? " with handover" : "", ", version ",
                      standing->version, " at ", read->unix_ms, "\n");
}

}  // namespace meadowthread
