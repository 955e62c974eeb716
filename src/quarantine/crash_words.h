#ifndef MEADOWTHREAD_QUARANTINE_CRASH_WORDS_H_
#define MEADOWTHREAD_QUARANTINE_CRASH_WORDS_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "nlohmann/json.hpp"
#include "quarantine/crash_book.h"

namespace meadowthread {

/// @brief The way of one host's words to the others.
class CrashChannel {
 public:
  virtual ~CrashChannel() = default;

  /// @brief Tells some other hosts, drawn at random.
  virtual void TellSome(std::string_view topic, const nlohmann::json& payload,
                        std::size_t count) = 0;
  virtual void TellOne(std::string_view topic, const nlohmann::json& payload,
                       std::string_view host) = 0;
};

/// @brief Tells other hosts what this one's book has, and takes what they tell.
///
/// A host to which a record is news tells some others at once, so that it is
/// everywhere after a few steps whatever the number of hosts. Words get lost
/// and hosts miss some: from time to time each compares its book with
/// another's, and what either lacks is sent.
class CrashWords {
 public:
  /// @param[in] book,channel,clock,scheduler outlive this
  CrashWords(CrashBook& book, CrashChannel& channel, const Clock& clock,
             Scheduler& scheduler, std::uint64_t seed);
  CrashWords(const CrashWords&) = delete;
  CrashWords& operator=(const CrashWords&) = delete;

  void Start();

  /// @brief Takes records.
  void TakeRecords(std::string_view host, const nlohmann::json& payload);

  /// @brief Takes another book's digest, and answers where it differs.
  void TakeDigest(std::string_view host, const nlohmann::json& payload);

  static constexpr char kRecordsTopic[] = "crashes";
  static constexpr char kDigestTopic[] = "crash-digest";

 private:
  void Compare();
  void TellDigest(std::string_view host, bool is_answer);
  void TellBook(std::string_view host);
  std::vector<const CrashRecord*> Drawn();

  CrashBook& book;
  CrashChannel& channel;
  const Clock& clock;
  Scheduler& scheduler;
  std::mt19937_64 random;
  std::vector<CrashRecordId> newest;  ///< the last changed first
  std::int64_t book_told_ms = 0;      ///< monotonic
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CRASH_WORDS_H_
