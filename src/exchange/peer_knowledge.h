#ifndef MEADOWTHREAD_EXCHANGE_PEER_KNOWLEDGE_H_
#define MEADOWTHREAD_EXCHANGE_PEER_KNOWLEDGE_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "exchange/exchange_message.h"

namespace meadowthread {

/// @brief The digests that each peer showed last. They may be old; they only
/// save sending what a peer has.
class PeerKnowledge {
 public:
  /// @brief Takes what a peer's message shows.
  void Learn(std::string_view peer, std::span<const ViewPart> views);

  /// @brief The peer restarted: it may hold nothing.
  void Forget(std::string_view peer);

  /// @brief Forgets the peers that `is_kept` doesn't hold for.
  void Retain(const std::function<bool(std::string_view)>& is_kept);

  bool Knows(std::string_view peer) const;

  /// @brief The digest of one kind, or null where none was shown.
  const KindDigest* Find(std::string_view peer, std::string_view kind) const;

 private:
  std::map<std::string, std::vector<KindDigest>, std::less<>> digests;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_PEER_KNOWLEDGE_H_
