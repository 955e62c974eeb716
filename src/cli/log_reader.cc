#include "cli/log_reader.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/absl_view.h"

namespace meadowthread {
namespace {

constexpr std::string_view kEventKey = "event=";
constexpr std::string_view kLevels = "IWEF";
constexpr std::size_t kShortDate = 4;  // MMDD
constexpr std::size_t kLongDate = 8;   // YYYYMMDD

std::size_t FindEvent(std::string_view line) {
  std::size_t at = line.find(kEventKey);
  // A value may end in "event="; only a match at the start of a word is the
  // key.
  while (at != std::string_view::npos && at > 0 && line[at - 1] != ' ') {
    at = line.find(kEventKey, at + 1);
  }
  return at;
}

bool IsLevelAndDate(std::string_view word) {
  if (word.size() != 1 + kShortDate && word.size() != 1 + kLongDate) {
    return false;
  }
  const auto is_digit = [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
  };
  return kLevels.find(word.front()) != std::string_view::npos &&
         std::all_of(word.begin() + 1, word.end(), is_digit);
}

/// The time from glog's prefix ("I1202 14:30:25.123456 77 file.cc:3] "), which
/// may itself follow other text, such as a process name.
std::string ReadTime(std::string_view prefix) {
  const std::vector<std::string> words =
      absl::StrSplit(AbslView(prefix), ' ', absl::SkipEmpty());
  for (std::size_t i = 0; i + 1 < words.size(); ++i) {
    if (IsLevelAndDate(words[i])) {
      const std::string date = words[i].substr(words[i].size() - kShortDate);
      return absl::StrCat(date, " ", words[i + 1]);
    }
  }
  return "";
}

/// Parses a quoted value and removes it from the front of `rest`.
std::optional<std::string> TakeQuoted(std::string_view* rest) {
  std::size_t end = 1;
  while (end < rest->size() && (*rest)[end] != '"') {
    end += (*rest)[end] == '\\' ? 2 : 1;
  }
  if (end >= rest->size()) {
    return std::nullopt;
  }
  std::string value;
  if (!absl::CUnescape(absl::string_view(rest->data() + 1, end - 1), &value)) {
    return std::nullopt;
  }
  rest->remove_prefix(end + 1);
  return value;
}

std::string TakePlain(std::string_view* rest) {
  const std::size_t end = std::min(rest->find(' '), rest->size());
  std::string value(rest->substr(0, end));
  rest->remove_prefix(end);
  return value;
}

/// Parses one key=value pair and removes it from the front of `rest`; empty at
/// the end of the line or if the line is truncated.
std::optional<LogField> TakeField(std::string_view* rest) {
  rest->remove_prefix(std::min(rest->find_first_not_of(' '), rest->size()));
  const std::size_t equals = rest->find('=');
  if (equals == std::string_view::npos) {
    return std::nullopt;
  }
  LogField field;
  field.key = std::string(rest->substr(0, equals));
  rest->remove_prefix(equals + 1);
  if (!rest->starts_with('"')) {
    field.value = TakePlain(rest);
    return field;
  }
  std::optional<std::string> value = TakeQuoted(rest);
  if (!value.has_value()) {
    return std::nullopt;
  }
  field.value = std::move(*value);
  return field;
}

}  // namespace

std::string_view LogRecord::Field(std::string_view key) const {
  for (const LogField& field : this->fields) {
    if (field.key == key) {
      return field.value;
    }
  }
  return {};
}

std::optional<LogRecord> ReadLogLine(std::string_view line) {
  const std::size_t at = FindEvent(line);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  while (line.ends_with('\r') || line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  LogRecord record;
  record.time = ReadTime(line.substr(0, at));
  std::string_view rest = line.substr(at + kEventKey.size());
  record.event = TakePlain(&rest);
  for (auto field = TakeField(&rest); field.has_value();
       field = TakeField(&rest)) {
    record.fields.push_back(std::move(*field));
  }
  return record;
}

}  // namespace meadowthread
