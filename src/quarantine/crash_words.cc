#include "quarantine/crash_words.h"

#include <algorithm>
#include <span>

#include "base/log_line.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// With four each, all but two hosts in a hundred hear of news by it, after five
// steps among 350; comparing reaches the rest.
constexpr std::size_t kFanout = 4;
// A host that missed a word for any reason has it after a step or two: within
// the three seconds in which hosts are to agree there are six.
constexpr std::int64_t kCompareMs = 500;
constexpr std::size_t kComparedWith = 2;
// Records sent to a host whose book differs, of the newest and of all, and how
// often: some 6 KB each time, of a node's 29 KB a second for control.
constexpr std::int64_t kTellBookMs = 500;
constexpr std::size_t kNewest = 16;
constexpr std::size_t kDrawn = 8;
// Two of three ends each fit one packet of most networks.
constexpr std::size_t kRecordsTogether = 2;
// What is forgotten is looked for this often, of what lasts for minutes.
constexpr std::int64_t kForgetMs = 5'000;
constexpr std::size_t kDigestFields = 2;

}  // namespace

CrashWords::CrashWords(CrashBook& book, CrashChannel& channel,
                       const Clock& clock, Scheduler& scheduler,
                       std::uint64_t seed)
    : book(book),
      channel(channel),
      clock(clock),
      scheduler(scheduler),
      random(seed),
      book_told_ms(clock.MonotonicMs() - kTellBookMs) {
  book.AddListener([this](const CrashRecord& record) {
    std::erase(this->newest, record.id);
    this->newest.insert(this->newest.begin(), record.id);
    if (this->newest.size() > kNewest) {
      this->newest.pop_back();
    }
    this->channel.TellSome(kRecordsTopic,
                           json::array({CrashRecordJson(record)}), kFanout);
  });
}

void CrashWords::Start() {
  this->Compare();
  RunEvery(this->scheduler, kForgetMs, this->life.Guarded([this] {
    this->book.Forget(this->clock.WallMs());
  }));
}

// Also with an empty book: this host may have missed all that others know.
void CrashWords::Compare() {
  this->channel.TellSome(
      kDigestTopic, json::array({this->book.Digest(), false}), kComparedWith);
  this->scheduler.After(kCompareMs,
                        this->life.Guarded([this] { this->Compare(); }));
}

void CrashWords::TakeRecords(std::string_view host, const json& payload) {
  if (!payload.is_array()) {
    LogLine("crashes-malformed").Add("host", host).WriteImportant();
    return;
  }
  for (const json& one : payload) {
    const absl::StatusOr<CrashRecord> record = CrashRecordFrom(one);
    if (!record.ok()) {
      LogLine("crashes-malformed")
          .Add("host", host)
          .Add("why", std::string{record.status().message()})
          .WriteImportant();
      return;
    }
    this->book.Take(*record, this->clock.WallMs());
  }
}

void CrashWords::TakeDigest(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kDigestFields &&
                    payload[0].is_number_unsigned() && payload[1].is_boolean();
  if (!fits) {
    LogLine("crashes-malformed").Add("host", host).WriteImportant();
    return;
  }
  if (payload[0].get<std::uint64_t>() == this->book.Digest()) {
    return;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (now_ms - this->book_told_ms >= kTellBookMs) {
    this->book_told_ms = now_ms;
    this->TellBook(host);
  }
  // The other one may know what this one does not; it answers by its book, and
  // not by a question again.
  if (!payload[1].get<bool>()) {
    this->channel.TellOne(kDigestTopic,
                          json::array({this->book.Digest(), true}), host);
  }
}

std::vector<const CrashRecord*> CrashWords::Drawn() {
  std::vector<const CrashRecord*> drawn;
  for (const CrashRecordId& id : this->newest) {
    if (const CrashRecord* const record = this->book.Find(id)) {
      drawn.push_back(record);
    }
  }
  const std::vector<const CrashRecord*> all = this->book.All();
  std::vector<const CrashRecord*> others;
  std::sample(all.begin(), all.end(), std::back_inserter(others),
              static_cast<std::ptrdiff_t>(kDrawn), this->random);
  for (const CrashRecord* const record : others) {
    if (std::find(drawn.begin(), drawn.end(), record) == drawn.end()) {
      drawn.push_back(record);
    }
  }
  return drawn;
}

void CrashWords::TellBook(std::string_view host) {
  const std::vector<const CrashRecord*> drawn = this->Drawn();
  for (std::size_t from = 0; from < drawn.size(); from += kRecordsTogether) {
    json records = json::array();
    for (const CrashRecord* const record : std::span(drawn).subspan(
             from, std::min(kRecordsTogether, drawn.size() - from))) {
      records.push_back(CrashRecordJson(*record));
    }
    this->channel.TellOne(kRecordsTopic, records, host);
  }
}

}  // namespace meadowthread
