#include "settings/secret_file.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "settings/text_file.h"

namespace meadowthread {

absl::StatusOr<std::string> ReadSecretFile(std::string_view field,
                                           std::string_view path) {
  absl::StatusOr<std::string> text = ReadTextFile(path);
  if (text.ok()) {
    absl::StripTrailingAsciiWhitespace(&*text);
  }
  // Anyone can guess an empty secret.
  if (text.ok() && !text->empty()) {
    return text;
  }
  ErrorDetail detail;
  detail.id = ErrorId::kSettingsInvalid;
  detail.step = "read-secret";
  detail.peer = std::string(path);
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   absl::StrCat(detail.field, ": the file ", detail.peer,
                                text.ok() ? " is empty" : " cannot be read"));
}

}  // namespace meadowthread
