#ifndef MEADOWTHREAD_EXCHANGE_VIEW_SYNCHRONIZER_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_SYNCHRONIZER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "exchange/exchange_message.h"
#include "exchange/exchange_source.h"

namespace meadowthread {

/// @brief Effect of applying a peer's message.
struct ApplyResult {
  std::vector<std::string> changed_kinds;
  int taken = 0;          ///< objects that were new
  bool cut = false;       ///< the peer has more: it truncated a delta
  bool caught_up = true;  ///< no kind is behind the peer
};

/// @brief Limits of the items in a message, in bytes.
struct ItemLimits {
  std::size_t items = 0;  ///< of all kinds together; 0: none
  /// For a kind's full state, which can't be truncated, to a peer that has
  /// nothing.
  std::size_t whole_state = 0;
};

/// @brief Builds the digests and deltas of messages from the host's views, and
/// applies those of peers.
class ViewSynchronizer {
 public:
  /// @param[in] source outlives this
  explicit ViewSynchronizer(ExchangeSource& source) : source(source) {}

  /// @brief The digests of all kinds, most urgent first.
  std::vector<KindUpdate> Digests();

  /// @brief The digests of all kinds, with deltas where `peer` lacks objects.
  std::vector<KindUpdate> UpdatesFor(std::span<const KindUpdate> peer,
                                     ItemLimits limits);

  /// @brief Applies what a peer sent.
  ApplyResult Apply(std::string_view from, std::span<const KindUpdate> views);

  /// @brief To be called when the host's view has changed.
  void NoteChange() { ++this->changes; }

 private:
  /// The objects of a kind above its revision, and the state in which they were
  /// looked up.
  struct ObjectsBeyond {
    std::int64_t revision = -1;
    std::uint64_t changes = 0;
    std::uint64_t fingerprint = 0;
    std::vector<std::int64_t> versions;
  };

  void AddDelta(const KindDigest& theirs, const ItemLimits& limits,
                KindUpdate* part) const;
  const ObjectsBeyond& BeyondOf(const KindDigest& digest);

  ExchangeSource& source;
  std::uint64_t changes = 0;
  std::map<std::string, ObjectsBeyond, std::less<>> beyond;  ///< by kind
};

namespace detail {

/// @brief Approximate size of items in a message, in bytes.
std::size_t SizeOf(std::span<const StoredObject> items);

/// @brief The update of a kind, or null if there is none.
const KindUpdate* FindKind(std::span<const KindUpdate> views,
                           std::string_view kind);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_SYNCHRONIZER_H_
