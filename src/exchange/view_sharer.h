#ifndef MEADOWTHREAD_EXCHANGE_VIEW_SHARER_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_SHARER_H_

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

/// @brief What taking a peer's message did.
struct ApplyResult {
  std::vector<std::string> changed_kinds;
  int taken = 0;          ///< objects that were news
  bool cut = false;       ///< the peer holds more that it didn't send
  bool caught_up = true;  ///< of every kind no less is known than the peer does
};

/// @brief Most bytes of items that a message may carry.
struct ItemLimits {
  std::size_t items = 0;  ///< over all kinds; 0: none
  /// Of a kind's whole state, which can't be cut, to a peer that has nothing.
  std::size_t whole_state = 0;
};

/// @brief Makes the parts of messages from the host's views, and takes peers'.
class ViewSharer {
 public:
  /// @param[in] source outlives this
  explicit ViewSharer(ExchangeSource& source) : source(source) {}

  /// @brief All kinds' digests, most urgent first.
  std::vector<ViewPart> Digests();

  /// @brief All kinds' digests; with items, where `peer` lacks some.
  std::vector<ViewPart> PartsFor(std::span<const ViewPart> peer,
                                 ItemLimits limits);

  /// @brief Takes what a peer sent.
  ApplyResult Apply(std::string_view from, std::span<const ViewPart> views);

  /// @brief The host's view changed.
  void NoteChange() { ++this->changes; }

 private:
  /// A fingerprint, and what it was made from.
  struct Beyond {
    std::int64_t revision = -1;
    std::uint64_t changes = 0;
    std::uint64_t fingerprint = 0;
  };

  void AddDelta(const KindDigest& theirs, const ItemLimits& limits,
                ViewPart* part) const;
  std::uint64_t BeyondOf(const KindDigest& digest);

  ExchangeSource& source;
  std::uint64_t changes = 0;
  std::map<std::string, Beyond, std::less<>> beyonds;
};

namespace detail {

/// @brief Bytes that items take, about, on the wire.
std::size_t SizeOf(std::span<const StoredObject> items);

/// @brief The part of a kind, or null.
const ViewPart* FindKind(std::span<const ViewPart> views,
                         std::string_view kind);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_SHARER_H_
