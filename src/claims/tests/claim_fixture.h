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

/// @brief The answers that one submitted claim has received.
struct Submission {
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
  bool Rejected(ErrorId id, Outcome outcome) const {
    const ErrorDetail detail = DetailOf(this->answer.status());
    return this->times == 1 && detail.id == id && detail.outcome == outcome;
  }
  ClaimGrant Grant() const { return std::get<ClaimGrant>(*this->answer); }
};

/// @brief Settings whose segments are full after four claims.
inline ClaimSettings SmallSegments() {
  ClaimSettings settings;
  settings.segment_bytes = 700;
  return settings;
}

/// @brief An object store, a virtual clock, and the hosts that share them.
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

  // Not copyable, as the members point to each other.
  ClaimFixture(const ClaimFixture&) = delete;
  ClaimFixture& operator=(const ClaimFixture&) = delete;

  std::unique_ptr<StoreClaimService> NewHost() {
    ClaimDependencies dependencies;
    dependencies.store = &this->store;
    dependencies.scheduler = &this->scheduler;
    dependencies.clock = &this->clock;
    dependencies.settings = this->settings;
    return std::make_unique<StoreClaimService>(dependencies);
  }

  /// @brief A timed key with the current time.
  std::string Key(std::string_view text) const {
    return std::to_string(this->clock.WallMs() / 1000) + "-" +
           std::string(text);
  }

  std::shared_ptr<Submission> Claim(int host, std::string_view key,
                                    std::string_view body = "body",
                                    std::int64_t timeout_ms = 10'000) {
    ClaimRequest request;
    request.workspace = "lukot";
    request.key = std::string(key);
    request.body_digest = Sha256Of(body);
    request.key_form = this->form;
    request.deadline_unix_ms = this->clock.WallMs() + timeout_ms;
    auto submission = std::make_shared<Submission>();
    this->hosts[static_cast<std::size_t>(host)]->Claim(
        request, [submission](const absl::StatusOr<ClaimAnswer>& answer) {
          ++submission->times;
          submission->answer = answer;
        });
    return submission;
  }

  /// @brief Runs timers and store replies for some virtual time.
  void Run(std::int64_t for_ms) {
    for (std::int64_t i = 0; i <= for_ms; ++i) {
      do {
        this->scheduler.RunDue();
        this->store.Settle();
      } while (this->scheduler.RunOne());
      this->clock.Advance(i < for_ms ? 1 : 0);
    }
  }

  /// @brief Advances the clock and runs the due timers, without store replies.
  void RunTimersOnly(std::int64_t for_ms) {
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
