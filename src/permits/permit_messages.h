#ifndef MEADOWTHREAD_PERMITS_PERMIT_MESSAGES_H_
#define MEADOWTHREAD_PERMITS_PERMIT_MESSAGES_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "permits/named_rates.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief A statement on its way between hosts, whose clocks differ: its span
/// of time is given as ages.
struct RateNews {
  std::string server;
  double per_s = 0.0;  ///< 0: the server named no rate
  std::int64_t from_age_ms = 0;
  std::int64_t until_age_ms = 0;

  friend bool operator==(const RateNews&, const RateNews&) = default;
};

/// @brief Age of statements in messages at most; older ones have been replaced.
inline constexpr std::int64_t kMaxNewsAgeMs = 600'000;

/// @brief A rejection of a brittle server, on its way between hosts.
struct FullNews {
  std::string server;
  double bears_per_s = 0.0;
  double rate_per_s = 0.0;
  std::int64_t age_ms = 0;

  friend bool operator==(const FullNews&, const FullNews&) = default;
};

/// @brief The end of a call that was permitted, to the host that counts those
/// in flight.
struct CallEnded {
  std::string server;
  std::uint64_t call = 0;  ///< as PermitResponse numbered it

  friend bool operator==(const CallEnded&, const CallEnded&) = default;
};

/// @brief A request for a permit, to the host that grants those of the server.
struct PermitRequest {
  std::uint64_t ticket = 0;
  Urgency urgency = Urgency::kNormal;
  RateNews rate;  ///< as the asking host knows it
  /// For a call, whose end the asking host reports.
  bool is_call = false;

  friend bool operator==(const PermitRequest&, const PermitRequest&) = default;
};

/// @brief The answer to a PermitRequest.
struct PermitResponse {
  enum class Status : int {
    kGranted = 0,
    kExhausted = 1,
    kDeclined = 2,  ///< the host does not grant this server's permits
  };
  std::uint64_t ticket = 0;
  Status status = Status::kDeclined;
  std::int64_t retry_after_ms = 0;  ///< only if kExhausted
  RateNews rate;                    ///< as the granting host knows it
  /// Number of the call that the granting host counts as in flight; 0: it does
  /// not count it.
  std::uint64_t call = 0;

  friend bool operator==(const PermitResponse&,
                         const PermitResponse&) = default;
};

/// @brief The statement as it stands in a message sent now.
RateNews NewsOf(std::string_view server, const RateStatement& statement,
                std::int64_t now_ms);

/// @brief The statement of a message received now.
RateStatement StatementOf(const RateNews& news, std::int64_t now_ms);

nlohmann::json ToJson(const RateNews& news);
nlohmann::json ToJson(const FullNews& news);
nlohmann::json ToJson(const PermitRequest& request);
nlohmann::json ToJson(const CallEnded& ended);
nlohmann::json ToJson(const PermitResponse& response);

/// @brief Decode messages; an error with kPeerMalformed if they are malformed.
absl::StatusOr<FullNews> FullNewsFrom(const nlohmann::json& payload);
absl::StatusOr<RateNews> RateNewsFrom(const nlohmann::json& payload);
absl::StatusOr<CallEnded> CallEndedFrom(const nlohmann::json& payload);
absl::StatusOr<PermitRequest> PermitRequestFrom(const nlohmann::json& payload);
absl::StatusOr<PermitResponse> PermitResponseFrom(
    const nlohmann::json& payload);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_PERMIT_MESSAGES_H_
