#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "exchange/kind_digest.h"
#include "exchange/load_note.h"

namespace meadowthread {

/// @brief One kind of object in a message: the sender's digest, and objects
/// that the receiver lacks, if any.
struct KindUpdate {
  KindDigest digest;
  std::optional<KindDelta> delta;
  /// Only the full state would bring the receiver up to date, and it is too
  /// large to send unrequested: the receiver has to request it with revision 0.
  bool full_state_required = false;
};

/// @brief Request and response of the method `exchange`
/// (docs/INTERFACES.md, section 7).
struct ExchangeMessage {
  std::string from;
  std::int64_t incarnation = 0;
  std::vector<KindUpdate> views;
  std::vector<EngineLoadNote> loads;  ///< of the sender itself
};

/// @brief Encodes a message as JSON text.
std::string EncodeExchange(const ExchangeMessage& message);

/// @brief Decodes a message; an error names the invalid field.
/// @param[in] peer sender to name in errors
absl::StatusOr<ExchangeMessage> DecodeExchange(std::string_view text,
                                               std::string_view peer);

/// @brief Encodes the parameters of the method `offer` as JSON text.
std::string EncodeOffer(std::span<const StoredObject> items);

/// @brief Decodes the parameters of `offer`; an error names the invalid field.
absl::StatusOr<std::vector<StoredObject>> DecodeOffer(std::string_view text);

/// @brief Encodes the response of `offer`.
/// @param[in] taken number of objects that were new to the host
std::string EncodeTaken(int taken);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_
