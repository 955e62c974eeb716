#ifndef MEADOWTHREAD_RELAY_PLAN_IN_FORCE_H_
#define MEADOWTHREAD_RELAY_PLAN_IN_FORCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "policy/string_map.h"
#include "relay/relay_request.h"
#include "relay/service_plan.h"

namespace meadowthread {

/// @brief The newest plan that this host knows, ready to be looked up.
///
/// Plans only go forward: whatever comes late or from an older copy is passed
/// over.
class PlanInForce {
 public:
  using Listener = std::function<void()>;

  PlanInForce();
  ~PlanInForce();
  PlanInForce(const PlanInForce&) = delete;
  PlanInForce& operator=(const PlanInForce&) = delete;

  /// @brief Puts a plan in force.
  /// @param[in] revision the store's; an older one than the last is passed over
  /// @return whether it is in force now
  bool Take(ServicePlan plan, std::int64_t revision);

  /// @brief Called after each plan that came into force.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief The plan, null while none is known.
  const ServicePlan* Plan() const;

  /// @brief The terms of a request, or why it is refused: kHostNotReady,
  /// kNotFound or kUnknownKey.
  /// @param[in] random picks a service where a route has several
  absl::StatusOr<RelayTerms> TermsOf(const RelayRequest& request,
                                     std::uint64_t random) const;

  /// @brief A service's rule, null where there is none.
  const ServiceRule* FindService(std::string_view name) const;

 private:
  struct Index;

  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;

  std::unique_ptr<Index> index;
  std::int64_t revision = 0;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_PLAN_IN_FORCE_H_
