#ifndef MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief Objects as they travel.
nlohmann::json ItemsJson(std::span<const StoredObject> items);

/// @brief Reads objects; an error where they are none.
absl::StatusOr<std::vector<StoredObject>> ItemsFrom(
    const nlohmann::json& payload);

/// @brief Tells small changes of some kinds from host to host within
/// milliseconds: each host that did not know one tells a few others.
///
/// Of a change that is too long for a datagram only its revision is told: a
/// host that is still behind it a moment later reads the store itself.
///
/// Serves speed only: what is lost comes with the exchange's next round, and
/// versions keep what is old from taking anything back.
class ViewDatagrams {
 public:
  using Behind = std::function<void(std::string_view kind)>;

  /// @param[in] kinds that are told
  /// @param[in] view,hub,scheduler outlive this
  /// @param[in] behind called where this host stays behind what it was told
  ViewDatagrams(std::span<const std::string> kinds, ReplicatedView& view,
                DatagramHub& hub, Scheduler& scheduler, Behind behind);
  ViewDatagrams(const ViewDatagrams&) = delete;
  ViewDatagrams& operator=(const ViewDatagrams&) = delete;

 private:
  void Tell(const ViewChange& change);
  void TellRevision(const std::string& kind, std::int64_t revision);
  void TakeRevision(const nlohmann::json& payload);
  std::int64_t RevisionOf(std::string_view kind) const;

  std::vector<std::string> kinds;
  ReplicatedView& view;
  DatagramHub& hub;
  Scheduler& scheduler;
  Behind behind;
  std::map<std::string, std::int64_t, std::less<>> told_revisions;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
