#include "configuration/template_edit.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "configuration/text_difference.h"
#include "configuration/view_messages.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

// An object that cannot be decoded is treated as empty; the change then
// overwrites it.
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

TemplateEdit::TemplateEdit(std::string_view name, TemplateEntry entry)
    : name(name), entry(std::move(entry)) {}

std::string_view TemplateEdit::Kind() const { return kTemplatesKind; }

PresenceResult TemplateEdit::FindIn(const StoredObject& stored) const {
  const TemplateObject object = ReadOrEmpty(stored);
  if (object.current.operation == this->entry.operation) {
    return {ChangePresence::kCurrent, stored.version};
  }
  for (const TemplateEntry& earlier : object.history) {
    if (earlier.operation == this->entry.operation) {
      return {ChangePresence::kSuperseded, earlier.version};
    }
  }
  if (object.current.yaml == this->entry.yaml) {
    return {ChangePresence::kSameContent, stored.version};
  }
  return {ChangePresence::kAbsent, 0};
}

std::string TemplateEdit::NextValue(const StoredObject* stored) const {
  TemplateObject next;
  next.current = this->entry;
  if (stored != nullptr) {
    next =
        NextTemplateObject(ReadOrEmpty(*stored), this->entry, kMaxObjectBytes);
  }
  return TemplateToJson(next);
}

std::string TemplateEdit::Explain(const StoredObject* base,
                                  const StoredObject* stored) const {
  if (stored == nullptr) {
    return "the template was removed\n";
  }
  const TemplateObject object = ReadOrEmpty(*stored);
  std::string text =
      absl::StrCat(object.current.author, " changed it to version ",
                   stored->version, " at ", object.current.unix_ms, ":\n");
  // Shows what the other operator changed in the version that this operator
  // edited. If that version is no longer known, compares the two new versions.
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
