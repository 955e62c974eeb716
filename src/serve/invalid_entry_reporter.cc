#include "serve/invalid_entry_reporter.h"

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
// Names and reasons may come from another writer and be of any length; a log
// line holds only this many bytes of them.
constexpr std::size_t kNameBytes = 64;
constexpr std::size_t kReasonBytes = 128;

}  // namespace

InvalidEntryReporter::InvalidEntryReporter(const Clock& clock,
                                           InvalidReadListener on_invalid_read)
    : clock(clock), on_invalid_read(std::move(on_invalid_read)) {}

void InvalidEntryReporter::Report(std::string_view kind, std::string_view name,
                                  std::int64_t revision,
                                  const absl::Status& why) {
  const std::string field = DetailOf(why).field;
  this->on_invalid_read(kind, field);
  const std::string message =
      std::string(why.message().data(), why.message().size())
          .substr(0, kReasonBytes);
  const Key key = {std::string(kind), std::string(name)};
  const auto found = this->invalid.find(key);
  if (found != this->invalid.end() && found->second == message) {
    return;
  }
  if (found != this->invalid.end()) {
    found->second = message;
  } else if (this->invalid.size() < kMaxRemembered) {
    this->invalid.emplace(key, message);
  }
  if (!this->MayLog()) {
    return;
  }
  LogLine("entry-refused")
      .Add("kind", kind)
      .Add("name", name.substr(0, kNameBytes))
      .Add("revision", revision)
      .Add("field", field)
      .Add("why", message)
      .WriteImportant();
}

void InvalidEntryReporter::Clear(std::string_view kind, std::string_view name) {
  const Key key = {std::string(kind), std::string(name)};
  if (this->invalid.erase(key) > 0 && this->MayLog()) {
    LogLine("entry-good-again")
        .Add("kind", kind)
        .Add("name", name.substr(0, kNameBytes))
        .WriteImportant();
  }
}

bool InvalidEntryReporter::MayLog() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->minute_start_ms < 0 ||
      now_ms - this->minute_start_ms >= kMinuteMs) {
    this->minute_start_ms = now_ms;
    this->lines = 0;
  }
  return ++this->lines <= kLinesPerMinute;
}

}  // namespace meadowthread
