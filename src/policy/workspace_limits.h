#ifndef MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_
#define MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "policy/shared_work.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief A workspace's limits over all entry hosts; 0: none.
struct WorkspaceLimit {
  double requests_per_second = 0.0;
  double tokens_per_second = 0.0;  ///< prompt and output
  int concurrent = 0;

  friend bool operator==(const WorkspaceLimit&,
                         const WorkspaceLimit&) = default;
};

/// @brief Which limit refused.
enum class LimitReached { kNone, kRequests, kTokens, kConcurrent };

/// @brief The limit's name in log lines.
std::string_view LimitReachedName(LimitReached limit);

/// @brief The answer to one request.
struct LimitAnswer {
  LimitReached reached = LimitReached::kNone;
  std::int64_t retry_after_ms = 0;
};

/// @brief Enforces the limits of workspaces over all entry hosts without a
/// call to the platform: each host allows its part, which follows from how
/// much was offered to it and, as its peers report, to them.
class WorkspaceLimits {
 public:
  /// @brief Sets or changes a workspace's limits.
  void SetLimit(std::string_view workspace, const WorkspaceLimit& limit);

  /// @brief How many entry hosts share the limits, this one included.
  void SetHosts(int hosts);

  /// @brief Admits one request or says which limit it met.
  /// @param[in] tokens expected, prompt and output
  /// @param[in] random spreads the time to come back
  LimitAnswer Admit(std::string_view workspace, std::int64_t tokens,
                    std::int64_t now_ms, std::uint64_t random);

  /// @brief An admitted request is over.
  /// @param[in] expected the tokens that Admit was given
  /// @param[in] used what it really took; the difference is settled
  void Ended(std::string_view workspace, std::int64_t expected,
             std::int64_t used);

  /// @brief What another entry host says of a workspace's use.
  void NotePeerUse(const PeerUse& use);

  /// @brief What to tell the other entry hosts.
  std::vector<PeerUse> OwnUse(std::string_view self, std::int64_t now_ms);

  /// @brief This host's part of a workspace's rates, in (0, 1].
  double Share(std::string_view workspace, std::int64_t now_ms) const;

 private:
  struct Bucket {
    double level = 0.0;
    std::int64_t filled_ms = 0;
    bool started = false;
  };

  struct Offered {  ///< decaying sums
    double requests = 0.0;
    double tokens = 0.0;
    std::int64_t at_ms = 0;
  };

  struct Workspace {
    WorkspaceLimit limit;
    Bucket requests;
    Bucket tokens;
    Offered offered;
    int in_flight = 0;
    std::vector<PeerUse> peers;
  };

  double ShareOf(const Workspace& workspace, std::int64_t now_ms) const;
  int AllowedInFlight(const Workspace& workspace, std::int64_t now_ms) const;
  static void NoteOffered(Workspace& workspace, std::int64_t tokens,
                          std::int64_t now_ms);
  static void Fill(Bucket& bucket, double per_second, std::int64_t now_ms);
  static std::int64_t WaitMs(const Bucket& bucket, double per_second,
                             std::uint64_t random);

  int hosts = 1;
  StringMap<Workspace> workspaces;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WORKSPACE_LIMITS_H_
