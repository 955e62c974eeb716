#ifndef MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
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
/// Serves speed only: what is lost comes with the exchange's next round, and
/// versions keep what is old from taking anything back.
class ViewDatagrams {
 public:
  /// @param[in] kinds that are told
  /// @param[in] view,hub outlive this
  ViewDatagrams(std::span<const std::string> kinds, ReplicatedView& view,
                DatagramHub& hub);
  ViewDatagrams(const ViewDatagrams&) = delete;
  ViewDatagrams& operator=(const ViewDatagrams&) = delete;

 private:
  void Tell(const ViewChange& change);

  std::vector<std::string> kinds;
  ReplicatedView& view;
  DatagramHub& hub;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
