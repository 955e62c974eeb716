#ifndef MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_
#define MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The kind of lease objects at the object API.
inline constexpr std::string_view kLeaseKind = "leases";

/// @brief No lease or order window may be longer than this.
inline constexpr std::int64_t kLongestLeaseMs = 60'000;

/// @brief What `leases/{duty}` holds.
struct LeaseDocument {
  std::string holder;
  std::string incarnation;
  std::string tenure;         ///< nonce of the acquisition
  std::int64_t sequence = 0;  ///< counts the writes of a tenure from 0
  /// Lifetime from the write on; 0: released. A successor counts it on its own
  /// clock.
  std::int64_t ttl_ms = 0;
  /// The longest time from an order's sending to its deadline.
  std::int64_t order_window_ms = 0;
  std::int64_t expires_unix_ms = 0;         ///< for people only
  std::int64_t order_deadline_unix_ms = 0;  ///< for people only

  friend bool operator==(const LeaseDocument&, const LeaseDocument&) = default;
};

/// @brief The document as JSON text.
std::string EncodeLease(const LeaseDocument& document);

/// @brief Parses a document; an error names the field at fault.
absl::StatusOr<LeaseDocument> ParseLease(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_
