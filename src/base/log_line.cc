#include "base/log_line.h"

#include <glog/logging.h>

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace meadowthread {
namespace {

// Control characters are quoted too, as they could manipulate the terminal that
// shows the line.
bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\\") != std::string_view::npos ||
         std::any_of(value.begin(), value.end(), [](char letter) {
           return absl::ascii_iscntrl(static_cast<unsigned char>(letter));
         });
}

}  // namespace

LogLine::LogLine(std::string_view event) : text("event=") {
  this->text.append(event);
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  this->text.append(" ").append(key).append("=");
  if (!NeedsQuotes(value)) {
    this->text.append(value);
    return *this;
  }
  absl::StrAppend(&this->text, "\"",
                  absl::CEscape({value.data(), value.size()}), "\"");
  return *this;
}

LogLine& LogLine::Add(std::string_view key, double value) {
  return this->Add(key, std::string_view(absl::StrFormat("%.4g", value)));
}

void LogLine::Write() const { LOG(INFO) << this->text; }

void LogLine::WriteImportant() const { LOG(WARNING) << this->text; }

}  // namespace meadowthread
