#ifndef MEADOWTHREAD_EXCHANGE_PEER_DIGEST_CACHE_H_
#define MEADOWTHREAD_EXCHANGE_PEER_DIGEST_CACHE_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "exchange/exchange_message.h"

namespace meadowthread {

/// @brief The latest digests from each peer. They may be outdated and only save
/// sending objects that a peer already has.
class PeerDigestCache {
 public:
  /// @brief Stores the digests of a peer's message.
  void Update(std::string_view peer, std::span<const KindUpdate> views);

  /// @brief Drops the digests of a peer that restarted and may have lost its
  /// objects.
  void Forget(std::string_view peer);

  /// @brief Drops the peers for which `is_kept` returns false.
  void Retain(const std::function<bool(std::string_view)>& is_kept);

  bool Contains(std::string_view peer) const;

  /// @brief The digest of one kind, or null if the peer sent none.
  const KindDigest* Find(std::string_view peer, std::string_view kind) const;

 private:
  std::map<std::string, std::vector<KindDigest>, std::less<>> digests;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_PEER_DIGEST_CACHE_H_
