#include "quarantine/crash_gossip.h"

#include <algorithm>
#include <span>

#include "base/log_line.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// Number of hosts that a new record is forwarded to. With four, it reaches all
// but 2 % of the hosts, within five rounds in a fleet of 350 hosts. The others
// get it after an exchange of digests.
constexpr std::size_t kFanout = 4;
// A host that missed a record gets it after one or two digests; six are sent
// within the three seconds after which all hosts should have equal records.
constexpr std::int64_t kDigestPeriodMs = 500;
constexpr std::size_t kDigestFanout = 2;
// A host whose digest differs is sent the newest records and a random sample of
// all, at most once per period for all hosts together. Each time about 6 KB are
// sent; a host may use 29 KB/s for control traffic.
constexpr std::int64_t kRecordsPeriodMs = 500;
constexpr std::size_t kNewestRecords = 16;
constexpr std::size_t kSampledRecords = 8;
// Two records with three crashes each fit in one packet on most networks.
constexpr std::size_t kRecordsPerDatagram = 2;
// Interval for dropping expired records; it can be this long because records
// last for minutes.
constexpr std::int64_t kExpirationPeriodMs = 5'000;
constexpr std::size_t kDigestFields = 2;

}  // namespace

CrashGossip::CrashGossip(CrashRecordTable& table, GossipChannel& channel,
                         const Clock& clock, Scheduler& scheduler,
                         std::uint64_t seed)
    : table(table),
      channel(channel),
      clock(clock),
      scheduler(scheduler),
      random(seed),
      records_sent_ms(clock.MonotonicMs() - kRecordsPeriodMs) {
  table.AddListener([this](const CrashRecord& record) {
    std::erase(this->newest, record.id);
    this->newest.insert(this->newest.begin(), record.id);
    if (this->newest.size() > kNewestRecords) {
      this->newest.pop_back();
    }
    this->channel.SendToRandom(kRecordsTopic,
                               json::array({CrashRecordJson(record)}), kFanout);
  });
}

void CrashGossip::Start() {
  this->SendDigests();
  RunEvery(this->scheduler, kExpirationPeriodMs, this->life.Guarded([this] {
    this->table.DropExpired(this->clock.WallMs());
  }));
}

// Digests are sent even if this host has no records, as it may have missed
// those of the others.
void CrashGossip::SendDigests() {
  this->channel.SendToRandom(
      kDigestTopic, json::array({this->table.Digest(), false}), kDigestFanout);
  this->scheduler.After(kDigestPeriodMs,
                        this->life.Guarded([this] { this->SendDigests(); }));
}

void CrashGossip::OnRecords(std::string_view host, const json& payload) {
  if (!payload.is_array()) {
    LogLine("crashes-malformed").Add("host", host).WriteImportant();
    return;
  }
  for (const json& item : payload) {
    const absl::StatusOr<CrashRecord> record = CrashRecordFrom(item);
    if (!record.ok()) {
      LogLine("crashes-malformed")
          .Add("host", host)
          .Add("why", std::string{record.status().message()})
          .WriteImportant();
      return;
    }
    this->table.Apply(*record, this->clock.WallMs());
  }
}

void CrashGossip::OnDigest(std::string_view host, const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kDigestFields &&
                    payload[0].is_number_unsigned() && payload[1].is_boolean();
  if (!fits) {
    LogLine("crashes-malformed").Add("host", host).WriteImportant();
    return;
  }
  if (payload[0].get<std::uint64_t>() == this->table.Digest()) {
    return;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (now_ms - this->records_sent_ms >= kRecordsPeriodMs) {
    this->records_sent_ms = now_ms;
    this->SendRecords(host);
  }
  // The other host may have records that this one lacks. It answers with
  // records, but without another digest.
  if (!payload[1].get<bool>()) {
    this->channel.SendToHost(kDigestTopic,
                             json::array({this->table.Digest(), true}), host);
  }
}

std::vector<const CrashRecord*> CrashGossip::SelectRecords() {
  std::vector<const CrashRecord*> selected;
  for (const CrashRecordId& id : this->newest) {
    if (const CrashRecord* const record = this->table.Find(id)) {
      selected.push_back(record);
    }
  }
  const std::vector<const CrashRecord*> all = this->table.All();
  std::vector<const CrashRecord*> others;
  std::sample(all.begin(), all.end(), std::back_inserter(others),
              static_cast<std::ptrdiff_t>(kSampledRecords), this->random);
  for (const CrashRecord* const record : others) {
    if (std::find(selected.begin(), selected.end(), record) == selected.end()) {
      selected.push_back(record);
    }
  }
  return selected;
}

void CrashGossip::SendRecords(std::string_view host) {
  const std::vector<const CrashRecord*> selected = this->SelectRecords();
  for (std::size_t from = 0; from < selected.size();
       from += kRecordsPerDatagram) {
    json records = json::array();
    for (const CrashRecord* const record : std::span(selected).subspan(
             from, std::min(kRecordsPerDatagram, selected.size() - from))) {
      records.push_back(CrashRecordJson(*record));
    }
    this->channel.SendToHost(kRecordsTopic, records, host);
  }
}

}  // namespace meadowthread
