#include "exchange/peer_digest_cache.h"

namespace meadowthread {

void PeerDigestCache::Update(std::string_view peer,
                             std::span<const KindUpdate> views) {
  std::vector<KindDigest>& known = this->digests[std::string(peer)];
  known.clear();
  for (const KindUpdate& view : views) {
    known.push_back(view.digest);
    // Needed only for the answer to this message, and long.
    known.back().beyond_versions = {};
  }
}

void PeerDigestCache::Forget(std::string_view peer) {
  const auto found = this->digests.find(peer);
  if (found != this->digests.end()) {
    this->digests.erase(found);
  }
}

void PeerDigestCache::Retain(
    const std::function<bool(std::string_view)>& is_kept) {
  std::erase_if(this->digests, [&is_kept](const auto& entry) {
    return !is_kept(entry.first);
  });
}

bool PeerDigestCache::Contains(std::string_view peer) const {
  return this->digests.contains(peer);
}

const KindDigest* PeerDigestCache::Find(std::string_view peer,
                                        std::string_view kind) const {
  const auto found = this->digests.find(peer);
  if (found == this->digests.end()) {
    return nullptr;
  }
  for (const KindDigest& digest : found->second) {
    if (digest.kind == kind) {
      return &digest;
    }
  }
  return nullptr;
}

}  // namespace meadowthread
