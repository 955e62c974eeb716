#ifndef MEADOWTHREAD_RELAY_ACTIVE_ROUTING_CONFIG_H_
#define MEADOWTHREAD_RELAY_ACTIVE_ROUTING_CONFIG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "policy/string_map.h"
#include "relay/relay_request.h"
#include "relay/routing_config.h"

namespace meadowthread {

/// @brief The latest configuration known to this host, with lookups.
///
/// A configuration is only ever replaced by one with a higher store revision;
/// older ones that arrive late are ignored. After the store has come back from
/// an older copy, it is replaced only by one whose own version is not lower:
/// the copy may hold an earlier one until the operator has written it again.
class ActiveRoutingConfig {
 public:
  using Listener = std::function<void()>;

  ActiveRoutingConfig();
  ~ActiveRoutingConfig();
  ActiveRoutingConfig(const ActiveRoutingConfig&) = delete;
  ActiveRoutingConfig& operator=(const ActiveRoutingConfig&) = delete;

  /// @brief Makes a configuration the active one.
  /// @param[in] revision store revision of the configuration; the call has no
  /// effect unless it is higher than that of the last one activated, nor if it
  /// is of a later era and the configuration has a lower version
  /// @return whether it is now active
  bool Activate(RoutingConfig config, std::int64_t revision);

  /// @brief Registers a function that is called after each change of the active
  /// configuration.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief The active configuration, null if there is none yet.
  const RoutingConfig* Config() const;

  /// @brief Resolves the rules for serving a request. Errors: kHostNotReady,
  /// kNotFound or kUnknownKey.
  /// @param[in] random picks a service if the route has several
  absl::StatusOr<RelayTerms> TermsOf(const RelayRequest& request,
                                     std::uint64_t random) const;

  /// @brief The properties of a service, null if it is not configured.
  const ServiceRule* FindService(std::string_view name) const;

 private:
  struct Index;

  bool IsOfOlderCopy(const RoutingConfig& config,
                     std::int64_t at_revision) const;
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;

  std::unique_ptr<Index> index;
  std::int64_t revision = 0;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ACTIVE_ROUTING_CONFIG_H_
