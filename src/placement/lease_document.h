#ifndef MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_
#define MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The kind of lease objects in the object API.
inline constexpr std::string_view kLeaseKind = "leases";

/// @brief Upper limit for the lifetime and the order window of a lease.
inline constexpr std::int64_t kMaxLeaseMs = 60'000;

/// @brief The content of a lease object, `leases/{name}`.
struct LeaseDocument {
  std::string holder;
  std::string incarnation;
  std::string tenure;         ///< random id, new with each acquisition
  std::int64_t sequence = 0;  ///< number of the write in its tenure, from 0
  /// Lifetime from the write on; 0: released. A successor measures it with its
  /// own clock from when it first sees the write.
  std::int64_t ttl_ms = 0;
  /// The longest time from sending an order to its deadline.
  std::int64_t order_window_ms = 0;
  std::int64_t expires_unix_ms = 0;         ///< for operators only
  std::int64_t order_deadline_unix_ms = 0;  ///< for operators only

  friend bool operator==(const LeaseDocument&, const LeaseDocument&) = default;
};

/// @brief Encodes a document as JSON.
std::string EncodeLease(const LeaseDocument& document);

/// @brief Parses a document; an error names the invalid field.
absl::StatusOr<LeaseDocument> ParseLease(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_LEASE_DOCUMENT_H_
