#ifndef MEADOWTHREAD_POLICY_SERVER_PERMITS_H_
#define MEADOWTHREAD_POLICY_SERVER_PERMITS_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "policy/named_rate.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Whether one request may be sent to a server that names a rate.
struct PermitDecision {
  bool granted = false;
  /// Time until the server has room for this caller; only if not granted.
  std::int64_t retry_after_ms = 0;
  /// Number of the call that the granting host counts as in flight; 0: none.
  std::uint64_t call = 0;
};

/// @brief Permits to send requests to servers that name a rate for all hosts
/// together. Every request to such a server needs a permit of its own.
class ServerPermits {
 public:
  using Decided = std::function<void(const PermitDecision& decision)>;

  virtual ~ServerPermits() = default;

  /// @brief Learns from an answer.
  virtual void NoteAnswer(const RateAnswer& answer) = 0;

  /// @brief Whether requests to the server need permits.
  virtual bool IsLimited(std::string_view server) const = 0;

  /// @brief How long no permit for the server will be granted to a request of
  /// this urgency; 0: one may be granted now.
  virtual std::int64_t ExhaustedForMs(std::string_view server,
                                      Urgency urgency) const = 0;

  /// @brief Asks for a permit, which is then used or lost.
  /// @param[in] decided called exactly once, possibly before this function
  /// returns
  virtual void Ask(std::string_view server, Urgency urgency,
                   const Decided& decided) = 0;

  /// @brief As Ask, for a call that may be counted as in flight. If it is
  /// granted, NoteCallEnded has to be called, also if the call is not sent.
  virtual void AskForCall(std::string_view server, Urgency urgency,
                          const Decided& decided) = 0;

  /// @brief Records that a call for which a permit was granted is over.
  virtual void NoteCallEnded(std::string_view server) = 0;
};

/// @brief Permits where no server names a rate.
class NoServerPermits final : public ServerPermits {
 public:
  void NoteAnswer(const RateAnswer&) override {}
  bool IsLimited(std::string_view) const override { return false; }
  std::int64_t ExhaustedForMs(std::string_view, Urgency) const override {
    return 0;
  }
  void Ask(std::string_view, Urgency, const Decided& decided) override {
    decided({true, 0});
  }
  void AskForCall(std::string_view server, Urgency urgency,
                  const Decided& decided) override {
    this->Ask(server, urgency, decided);
  }
  void NoteCallEnded(std::string_view) override {}
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_SERVER_PERMITS_H_
