#include "serve/refused_entries.h"

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
// Names are another writer's: as much of one as tells it from others.
constexpr std::size_t kNameBytes = 64;
constexpr std::size_t kWhyBytes = 128;

}  // namespace

RefusedEntries::RefusedEntries(const Clock& clock, Counted counted)
    : clock(clock), counted(std::move(counted)) {}

void RefusedEntries::Refuse(std::string_view kind, std::string_view name,
                            std::int64_t revision, const absl::Status& why) {
  const std::string field = DetailOf(why).field;
  this->counted(kind, field);
  const std::string message =
      std::string(why.message().data(), why.message().size())
          .substr(0, kWhyBytes);
  const Key key = {std::string(kind), std::string(name)};
  const auto found = this->standing.find(key);
  if (found != this->standing.end() && found->second == message) {
    return;
  }
  if (found != this->standing.end()) {
    found->second = message;
  } else if (this->standing.size() < kMostRemembered) {
    this->standing.emplace(key, message);
  }
  if (!this->MayTell()) {
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

void RefusedEntries::Forget(std::string_view kind, std::string_view name) {
  const Key key = {std::string(kind), std::string(name)};
  if (this->standing.erase(key) > 0 && this->MayTell()) {
    LogLine("entry-good-again")
        .Add("kind", kind)
        .Add("name", name.substr(0, kNameBytes))
        .WriteImportant();
  }
}

bool RefusedEntries::MayTell() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->minute_begun_ms < 0 ||
      now_ms - this->minute_begun_ms >= kMinuteMs) {
    this->minute_begun_ms = now_ms;
    this->lines = 0;
  }
  return ++this->lines <= kLinesPerMinute;
}

}  // namespace meadowthread
