#include "configuration/template_subject.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "configuration/text_difference.h"
#include "configuration/view_messages.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

// An object that cannot be read holds nothing worth keeping; the change then
// repairs it.
TemplateObject ReadOrEmpty(const StoredObject& object) {
  absl::StatusOr<TemplateObject> read =
      TemplateFromJson(object.value, object.version);
  TemplateObject empty;
  empty.current.version = object.version;
  return read.ok() ? *std::move(read) : empty;
}

std::optional<TemplateEntry> EntryAt(const TemplateObject& object,
                                     std::int64_t version) {
  if (object.current.version == version) {
    return object.current;
  }
  for (const TemplateEntry& entry : object.history) {
    if (entry.version == version) {
      return entry;
    }
  }
  return std::nullopt;
}

}  // namespace

TemplateSubject::TemplateSubject(std::string_view name, TemplateEntry entry)
    : name(name), entry(std::move(entry)) {}

std::string_view TemplateSubject::Kind() const { return kTemplatesKind; }

StandingVerdict TemplateSubject::Judge(const StoredObject& standing) const {
  const TemplateObject object = ReadOrEmpty(standing);
  if (object.current.operation == this->entry.operation) {
    return {Standing::kOurs, standing.version};
  }
  for (const TemplateEntry& earlier : object.history) {
    if (earlier.operation == this->entry.operation) {
      return {Standing::kOursBefore, earlier.version};
    }
  }
  if (object.current.yaml == this->entry.yaml) {
    return {Standing::kSame, standing.version};
  }
  return {Standing::kOther, 0};
}

std::string TemplateSubject::NextValue(const StoredObject* standing) const {
  TemplateObject next;
  next.current = this->entry;
  if (standing != nullptr) {
    next = NextTemplateObject(ReadOrEmpty(*standing), this->entry,
                              kMaxObjectBytes);
  }
  return TemplateToJson(next);
}

std::string TemplateSubject::Explain(const StoredObject* base,
                                     const StoredObject* standing) const {
  if (standing == nullptr) {
    return "the template was removed\n";
  }
  const TemplateObject object = ReadOrEmpty(*standing);
  std::string text =
      absl::StrCat(object.current.author, " changed it to version ",
                   standing->version, " at ", object.current.unix_ms, ":\n");
  // Best is the difference to what this operator worked from. Where that is no
  // longer known, the two rivals are shown side by side.
  std::optional<TemplateEntry> before;
  if (base != nullptr) {
    before = base->value.empty() ? EntryAt(object, base->version)
                                 : ReadOrEmpty(*base).current;
  }
  const std::string& from =
      before.has_value() ? before->yaml : this->entry.yaml;
  if (!before.has_value()) {
    absl::StrAppend(&text, "(- your text, + theirs)\n");
  }
  return text + LineDifference(from, object.current.yaml);
}

}  // namespace meadowthread
