#ifndef MEADOWTHREAD_ROLLOUT_VERSION_GATE_H_
#define MEADOWTHREAD_ROLLOUT_VERSION_GATE_H_

#include <cstdint>
#include <string_view>

#include "policy/version_rule.h"

namespace meadowthread {

/// @brief The answer to an attempt at a server, as evidence on its version.
///
/// A stream is recorded at its first event, as its end may be far off, and
/// again at its end.
struct VersionedAnswer {
  std::string_view service;
  std::string_view version;  ///< of the server
  std::string_view route;
  bool failed = false;
  /// The attempt was recorded before, at the first event.
  bool was_counted = false;
  /// Time from sending the request to the answer or the first event; -1: not
  /// known, or the server was still slow after its start.
  std::int64_t first_ms = -1;
  std::int64_t gap_ms = -1;  ///< mean time between events; -1: not known
};

/// @brief Decides which versions of a service's servers get a request, and
/// collects how they answer.
class VersionGate {
 public:
  virtual ~VersionGate() = default;

  /// @brief The servers that may get a new request's first attempt. Each call
  /// counts as one request.
  virtual VersionRule RuleForRequest(std::string_view service,
                                     std::string_view route) = 0;

  /// @brief The servers that may get a further attempt, also if no server that
  /// the first rule permits could take the request.
  virtual VersionRule RuleForRetry(std::string_view service) const = 0;

  /// @brief The servers to which a running generation may be moved.
  virtual VersionRule RuleForMove(std::string_view service) const = 0;

  /// @brief Records the end of an attempt.
  virtual void RecordAnswer(const VersionedAnswer& answer) = 0;
};

/// @brief Treats all versions alike, for hosts without rollouts.
class NoVersionGate final : public VersionGate {
 public:
  VersionRule RuleForRequest(std::string_view, std::string_view) override {
    return {};
  }
  VersionRule RuleForRetry(std::string_view) const override { return {}; }
  VersionRule RuleForMove(std::string_view) const override { return {}; }
  void RecordAnswer(const VersionedAnswer&) override {}
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_VERSION_GATE_H_
