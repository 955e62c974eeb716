#ifndef MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_
#define MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "policy/peer_load.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief A workspace's limits summed over all hosts; 0: none.
struct WorkspaceLimit {
  double requests_per_second = 0.0;
  double tokens_per_second = 0.0;  ///< prompt and output
  int concurrent = 0;

  friend bool operator==(const WorkspaceLimit&,
                         const WorkspaceLimit&) = default;
};

/// @brief The limit that a request exceeded.
enum class LimitReached { kNone, kRequests, kTokens, kConcurrent };

/// @brief The limit's name in log lines.
std::string_view LimitReachedName(LimitReached limit);

/// @brief Result of WorkspaceLimits::Admit.
struct LimitDecision {
  LimitReached reached = LimitReached::kNone;
  std::int64_t retry_after_ms = 0;
};

/// @brief Enforces the limits of workspaces over all hosts without a remote
/// call. Each host admits its share of a limit, in proportion to the load that
/// callers offer to it and to its peers, which report theirs.
class WorkspaceLimits {
 public:
  /// @brief Sets or changes a workspace's limits.
  void SetLimit(std::string_view workspace, const WorkspaceLimit& limit);

  /// @brief Sets the number of hosts that share the limits, including this one.
  void SetHosts(int hosts);

  /// @brief Admits a request, or tells which limit it exceeds.
  /// @param[in] tokens expected tokens, prompt and output
  /// @param[in] random source of the jitter in retry_after_ms
  LimitDecision Admit(std::string_view workspace, std::int64_t tokens,
                      std::int64_t now_ms, std::uint64_t random);

  /// @brief Records the end of an admitted request.
  /// @param[in] expected the tokens passed to Admit
  /// @param[in] used the tokens actually used; the difference is credited or
  /// charged
  void Ended(std::string_view workspace, std::int64_t expected,
             std::int64_t used);

  /// @brief Applies a peer's report of a workspace's usage.
  void NotePeerUse(const PeerWorkspaceUsage& use);

  /// @brief The usage to report to the other hosts.
  std::vector<PeerWorkspaceUsage> OwnUse(std::string_view self,
                                         std::int64_t now_ms);

  /// @brief This host's share of a workspace's rates, in (0, 1].
  double Share(std::string_view workspace, std::int64_t now_ms) const;

 private:
  struct TokenBucket {
    double level = 0.0;
    std::int64_t refilled_ms = 0;
    bool initialized = false;
  };

  struct OfferedLoad {  ///< exponentially decaying sums
    double requests = 0.0;
    double tokens = 0.0;
    std::int64_t at_ms = 0;
  };

  struct Workspace {
    WorkspaceLimit limit;
    TokenBucket requests;
    TokenBucket tokens;
    OfferedLoad offered;
    int in_flight = 0;
    std::vector<PeerWorkspaceUsage> peers;
  };

  double ShareOf(const Workspace& workspace, std::int64_t now_ms) const;
  int AllowedInFlight(const Workspace& workspace, std::int64_t now_ms) const;
  static void RecordOffered(Workspace& workspace, std::int64_t tokens,
                            std::int64_t now_ms);
  static void Refill(TokenBucket& bucket, double per_second,
                     std::int64_t now_ms);
  static std::int64_t WaitMs(const TokenBucket& bucket, double per_second,
                             std::uint64_t random);

  int hosts = 1;
  StringMap<Workspace> workspaces;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_
