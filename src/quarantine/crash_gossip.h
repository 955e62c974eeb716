#ifndef MEADOWTHREAD_QUARANTINE_CRASH_GOSSIP_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_GOSSIP_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/gossip_channel.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "nlohmann/json.hpp"
#include "quarantine/crash_record_table.h"

namespace meadowthread {

/// @brief Spreads crash records between hosts by gossip.
///
/// A host that receives a new or changed record forwards it at once to a few
/// hosts chosen at random. The record thus reaches nearly all hosts after a few
/// rounds of forwarding, even in a large fleet. Hosts that missed it because
/// messages were lost get it by anti-entropy: each host periodically sends a
/// digest of its records to others, and hosts whose digests differ exchange
/// records.
class CrashGossip {
 public:
  /// @param[in] table,channel,clock,scheduler must outlive this
  CrashGossip(CrashRecordTable& table, GossipChannel& channel,
              const Clock& clock, Scheduler& scheduler, std::uint64_t seed);
  CrashGossip(const CrashGossip&) = delete;
  CrashGossip& operator=(const CrashGossip&) = delete;

  /// @brief Starts the periodic digests and the expiration of records.
  void Start();

  /// @brief Handles records that another host sent.
  void OnRecords(std::string_view host, const nlohmann::json& payload);

  /// @brief Handles the digest of another host's records. If this host's digest
  /// differs, sends the other host a selection of records, at most once per
  /// period for all hosts together, and also this host's digest unless the
  /// received one was itself an answer.
  void OnDigest(std::string_view host, const nlohmann::json& payload);

  static constexpr char kRecordsTopic[] = "crashes";
  static constexpr char kDigestTopic[] = "crash-digest";

 private:
  void SendDigests();
  void SendDigest(std::string_view host, bool is_answer);
  void SendRecords(std::string_view host);
  std::vector<const CrashRecord*> SelectRecords();

  CrashRecordTable& table;
  GossipChannel& channel;
  const Clock& clock;
  Scheduler& scheduler;
  std::mt19937_64 random;
  /// Ids of the records that changed last, latest first.
  std::vector<CrashRecordId> newest;
  /// Monotonic time of the last answer with records.
  std::int64_t records_sent_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_GOSSIP_H_
