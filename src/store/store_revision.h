#ifndef MEADOWTHREAD_STORE_STORE_REVISION_H_
#define MEADOWTHREAD_STORE_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace meadowthread {

/// @brief A position in the history of the object store.
///
/// A store that comes back from an older copy gives out again the revisions
/// that it had given out since; this begins a new era. Every position in an era
/// follows all those of earlier eras. Elsewhere in the program a position is
/// one integer, its ordinal, which is ordered in the same way: versions of
/// objects, revisions of views, expected versions and fencing numbers are
/// ordinals. In a store that names no era, ordinals are its revisions.
struct StoreRevision {
  static constexpr std::int64_t kMaxRevision = (std::int64_t{1} << 40) - 1;
  static constexpr std::int64_t kMaxEra = (std::int64_t{1} << 22) - 1;

  std::int64_t era = 0;       ///< 0 to kMaxEra; 0: the store names none
  std::int64_t revision = 0;  ///< 0 to kMaxRevision, within the era

  /// @brief The position as one integer.
  std::int64_t Ordinal() const;

  /// @brief The position of an ordinal; that of 0 for a negative one.
  static StoreRevision Of(std::int64_t ordinal);

  // False positive of clang-tidy on the defaulted comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StoreRevision&) const = default;
};

/// @brief The era of an ordinal.
std::int64_t EraOf(std::int64_t ordinal);

/// @brief An ordinal for log lines: "ERA:REVISION", or "REVISION" in a store
/// that names no era.
std::string RevisionText(std::int64_t ordinal);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_STORE_REVISION_H_
