#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "exchange/kind_digest.h"

namespace meadowthread {

/// @brief Interface of the exchange to the host's copy of the object store.
///
/// Object versions only increase, so data that arrives late, twice or from an
/// older copy never overwrites a newer version.
class ExchangeSource {
 public:
  virtual ~ExchangeSource() = default;

  /// @brief One digest for each kind, most urgent kind first; `beyond` is not
  /// set.
  virtual std::vector<KindDigest> Digests() const = 0;

  /// @brief Objects known above `revision`, truncated at `limit_bytes` unless
  /// the delta is a full state, which can't be truncated.
  virtual KindDelta DeltaSince(std::string_view kind, std::int64_t revision,
                               std::size_t limit_bytes) const = 0;

  /// @brief Applies what a peer sent about one kind.
  /// @param[in] from name of the peer
  /// @param[in] digest of the peer; tells how recent its copy is
  /// @param[in] delta may have no items
  /// @return number of objects that are new to this host
  virtual int Apply(std::string_view from, const KindDigest& digest,
                    const KindDelta& delta) = 0;

  /// @brief Applies single objects that the object store has accepted.
  /// @return number of objects that are new to this host
  virtual int Offer(std::span<const StoredObject> items) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_SOURCE_H_
