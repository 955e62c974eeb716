#include "base/json_slices.h"

#include <algorithm>
#include <string>

#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

constexpr std::string_view kSpaces = " \t\r\n";
constexpr std::string_view kAfterScalar = " \t\r\n,]}:\"[{";

/// @brief A read position in JSON text.
class Cursor {
 public:
  explicit Cursor(std::string_view text) : text(text) {}

  bool AtEnd() const { return this->at >= this->text.size(); }

  /// @brief Skips white space and then `wanted`, if it comes next.
  /// @return whether `wanted` was skipped
  bool SkipChar(char wanted) {
    this->SkipSpaces();
    if (this->AtEnd() || this->text[this->at] != wanted) {
      return false;
    }
    ++this->at;
    return true;
  }

  /// @brief Skips white space and one value.
  /// @return the text of the value, empty if there is none
  std::string_view ReadValue() {
    this->SkipSpaces();
    const std::size_t begin = this->at;
    const char first = this->AtEnd() ? '\0' : this->text[begin];
    const bool is_complete = first == '"' ? this->SkipString()
                             : first == '{' || first == '['
                                 ? this->SkipNested()
                                 : this->SkipScalar();
    return is_complete ? this->text.substr(begin, this->at - begin)
                       : std::string_view();
  }

  void SkipSpaces() {
    this->at = std::min(this->text.find_first_not_of(kSpaces, this->at),
                        this->text.size());
  }

  /// @brief Skips the string that starts at the current position.
  bool SkipString() {
    for (++this->at; !this->AtEnd(); ++this->at) {
      if (this->text[this->at] == '"') {
        ++this->at;
        return true;
      }
      if (this->text[this->at] == '\\') {
        ++this->at;
      }
    }
    return false;
  }

 private:
  bool SkipScalar() {
    const std::size_t begin = this->at;
    this->at = std::min(this->text.find_first_of(kAfterScalar, begin),
                        this->text.size());
    return this->at > begin;
  }

  bool SkipNested() {
    std::string open;
    while (!this->AtEnd()) {
      const char here = this->text[this->at];
      if (here == '"') {
        if (!this->SkipString()) {
          return false;
        }
        continue;
      }
      ++this->at;
      if (here == '{' || here == '[') {
        open.push_back(here == '{' ? '}' : ']');
      } else if (here == '}' || here == ']') {
        if (open.back() != here) {
          return false;
        }
        open.pop_back();
        if (open.empty()) {
          return true;
        }
      }
    }
    return false;
  }

  std::string_view text;
  std::size_t at = 0;
};

bool IsKey(std::string_view quoted, std::string_view name) {
  if (quoted.find('\\') == std::string_view::npos) {
    return quoted.substr(1, quoted.size() - 2) == name;
  }
  const nlohmann::json key = nlohmann::json::parse(quoted, nullptr, false);
  return key.is_string() && key.get_ref<const std::string&>() == name;
}

}  // namespace

bool ExceedsDepth(std::string_view json_text, std::size_t limit) {
  std::size_t depth = 0;
  for (std::size_t at = 0; at < json_text.size(); ++at) {
    const char here = json_text[at];
    if (here == '"') {
      // Skip to the closing quote, or to the end of the text if there is none.
      for (++at; at < json_text.size() && json_text[at] != '"'; ++at) {
        at += json_text[at] == '\\' ? 1 : 0;
      }
    } else if (here == '{' || here == '[') {
      ++depth;
    } else if ((here == '}' || here == ']') && depth > 0) {
      --depth;
    }
    if (depth > limit) {
      return true;
    }
  }
  return false;
}

std::optional<std::vector<std::string_view>> JsonElements(
    std::string_view array_text) {
  Cursor cursor(array_text);
  if (!cursor.SkipChar('[')) {
    return std::nullopt;
  }
  std::vector<std::string_view> elements;
  bool more = !cursor.SkipChar(']');
  while (more) {
    const std::string_view value = cursor.ReadValue();
    if (value.empty()) {
      return std::nullopt;
    }
    elements.push_back(value);
    more = cursor.SkipChar(',');
    if (!more && !cursor.SkipChar(']')) {
      return std::nullopt;
    }
  }
  cursor.SkipSpaces();
  return cursor.AtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> JsonMembers(
    std::string_view object_text) {
  Cursor cursor(object_text);
  if (!cursor.SkipChar('{')) {
    return std::nullopt;
  }
  std::vector<JsonMember> members;
  bool more = !cursor.SkipChar('}');
  while (more) {
    const std::string_view key = cursor.ReadValue();
    if (!key.starts_with('"') || !cursor.SkipChar(':')) {
      return std::nullopt;
    }
    const std::string_view value = cursor.ReadValue();
    if (value.empty()) {
      return std::nullopt;
    }
    members.emplace_back(key, value);
    more = cursor.SkipChar(',');
    if (!more && !cursor.SkipChar('}')) {
      return std::nullopt;
    }
  }
  cursor.SkipSpaces();
  return cursor.AtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::string_view JsonMemberText(std::string_view object_text,
                                std::string_view name) {
  const std::optional<std::vector<JsonMember>> members =
      JsonMembers(object_text);
  std::string_view found;
  if (members.has_value()) {
    for (const auto& [key, value] : *members) {
      found = IsKey(key, name) ? value : found;
    }
  }
  return found;
}

}  // namespace meadowthread
