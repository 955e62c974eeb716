#ifndef MEADOWTHREAD_EXCHANGE_REPLICATED_SOURCE_H_
#define MEADOWTHREAD_EXCHANGE_REPLICATED_SOURCE_H_

#include <vector>

#include "configuration/replicated_view.h"
#include "exchange/exchange_source.h"

namespace meadowthread {

/// @brief Adapts the host's ReplicatedView to the exchange.
class ReplicatedSource final : public ExchangeSource {
 public:
  /// @param[in] view outlives this
  explicit ReplicatedSource(ReplicatedView& view);

  std::vector<KindDigest> Digests() const override;
  KindDelta DeltaSince(std::string_view kind, std::int64_t revision,
                       std::size_t limit_bytes) const override;
  int Apply(std::string_view from, const KindDigest& digest,
            const KindDelta& delta) override;
  int Offer(std::span<const StoredObject> items) override;

 private:
  ReplicatedView& view;
  int changed_objects = 0;  ///< total since the start, counted by a listener
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_REPLICATED_SOURCE_H_
