#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "exchange/version_messages.h"

namespace meadowthread {

/// @brief The host's copy of the platform's objects, as the exchange sees it.
///
/// Versions only go up: whatever arrives late, doubled or from an older copy
/// takes nothing back.
class ExchangeSource {
 public:
  virtual ~ExchangeSource() = default;

  /// @brief One digest a kind, most urgent kind first; `beyond` is not set.
  virtual std::vector<KindDigest> Digests() const = 0;

  /// @brief What is known beyond `revision`, cut at the limit where it can be.
  virtual KindDelta DeltaSince(std::string_view kind, std::int64_t revision,
                               std::size_t limit_bytes) const = 0;

  /// @brief Takes what a peer knows.
  /// @param[in] from the peer
  /// @param[in] digest the peer's, for its freshness
  /// @param[in] delta may be without items
  /// @return how many objects are news to this host
  virtual int Apply(std::string_view from, const KindDigest& digest,
                    const KindDelta& delta) = 0;

  /// @brief Takes single objects that the platform accepted.
  /// @return how many are news to this host
  virtual int Offer(std::span<const StoredObject> items) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_
