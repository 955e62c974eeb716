#ifndef MEADOWTHREAD_CLAIMS_TESTS_CLAIM_FIXTURE_H_
#define MEADOWTHREAD_CLAIMS_TESTS_CLAIM_FIXTURE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/manual_scheduler.h"
#include "claims/claim_key.h"
#include "claims/store_claim_service.h"
#include "store/memory_store.h"

namespace meadowthread {

inline constexpr std::int64_t kStartMs = 1'700'000'000'000;

/// @brief What a submission was told, once it was.
struct Told {
  int times = 0;
  absl::StatusOr<ClaimAnswer> answer = absl::UnknownError("not yet");

  bool Granted() const {
    return this->times == 1 && this->answer.ok() &&
           std::holds_alternative<ClaimGrant>(*this->answer);
  }
  bool Replayed(const ClaimResult& result) const {
    return this->times == 1 && this->answer.ok() &&
           std::holds_alternative<ClaimResult>(*this->answer) &&
           std::get<ClaimResult>(*this->answer) == result;
  }
  bool Refused(ErrorId id, Outcome outcome) const {
    const ErrorDetail detail = DetailOf(this->answer.status());
    return this->times == 1 && detail.id == id && detail.outcome == outcome;
  }
  ClaimGrant Grant() const { return std::get<ClaimGrant>(*this->answer); }
};

/// @brief Segments that are full after four claims.
inline ClaimSettings SmallSegments() {
  ClaimSettings settings;
  settings.segment_bytes = 700;
  return settings;
}

/// @brief One object store, one virtual clock, and hosts that share them.
struct ClaimFixture {
  explicit ClaimFixture(int hosts = 2,
                        const ClaimSettings& changed = ClaimSettings{})
      : settings(changed) {
    this->settings.shards = 1;
    this->settings.host = "host";
    for (int i = 0; i < hosts; ++i) {
      this->hosts.push_back(this->NewHost());
    }
  }

  // The parts point at each other.
  ClaimFixture(const ClaimFixture&) = delete;
  ClaimFixture& operator=(const ClaimFixture&) = delete;

  std::unique_ptr<StoreClaimService> NewHost() {
    ClaimTools tools;
    tools.store = &this->store;
    tools.scheduler = &this->scheduler;
    tools.clock = &this->clock;
    tools.settings = this->settings;
    return std::make_unique<StoreClaimService>(tools);
  }

  std::string Key(std::string_view text) const {
    return std::to_string(this->clock.WallMs() / 1000) + "-" +
           std::string(text);
  }

  std::shared_ptr<Told> Claim(int host, std::string_view key,
                              std::string_view body = "body",
                              std::int64_t within_ms = 10'000) {
    ClaimRequest request;
    request.workspace = "lukot";
    request.key = std::string(key);
    request.body_digest = Sha256Of(body);
    request.key_form = this->form;
    request.deadline_unix_ms = this->clock.WallMs() + within_ms;
    auto told = std::make_shared<Told>();
    this->hosts[static_cast<std::size_t>(host)]->Claim(
        request, [told](const absl::StatusOr<ClaimAnswer>& answer) {
          ++told->times;
          told->answer = answer;
        });
    return told;
  }

  /// @brief Runs timers and answers for a while of virtual time.
  void Run(std::int64_t for_ms) {
    for (std::int64_t i = 0; i <= for_ms; ++i) {
      do {
        this->scheduler.RunDue();
        this->store.Settle();
      } while (this->scheduler.RunOne());
      this->clock.Advance(i < for_ms ? 1 : 0);
    }
  }

  /// @brief Runs timers for a while, but gives no answer of the store.
  void RunUnanswered(std::int64_t for_ms) {
    this->clock.Advance(for_ms);
    this->scheduler.RunDue();
  }

  absl::Status Record(int host, const ClaimGrant& grant,
                      const ClaimResult& result) {
    auto status = std::make_shared<absl::Status>(absl::UnknownError("not yet"));
    this->hosts[static_cast<std::size_t>(host)]->RecordResult(
        grant, result, [status](const absl::Status& end) { *status = end; });
    this->Run(500);
    return *status;
  }

  absl::Status Release(int host, const ClaimGrant& grant) {
    auto status = std::make_shared<absl::Status>(absl::UnknownError("not yet"));
    this->hosts[static_cast<std::size_t>(host)]->Release(
        grant, [status](const absl::Status& end) { *status = end; });
    this->Run(500);
    return *status;
  }

  ManualClock clock{kStartMs};
  ManualScheduler scheduler{&this->clock};
  MemoryStore store;
  ClaimSettings settings;
  KeyForm form = KeyForm::kTimed;
  std::vector<std::unique_ptr<StoreClaimService>> hosts;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_TESTS_CLAIM_FIXTURE_H_
