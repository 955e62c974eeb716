#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "exchange/load_note.h"
#include "exchange/version_messages.h"

namespace meadowthread {

/// @brief One kind in a message: the sender's digest, and what it sends.
struct ViewPart {
  KindDigest digest;
  std::optional<KindDelta> delta;
  /// Only whole state would bring the receiver up to date, and it is too large
  /// to be sent unasked: ask with revision 0.
  bool ask_anew = false;
};

/// @brief `exchange`, both ways (docs/INTERFACES.md, section 7).
struct ExchangeMessage {
  std::string from;
  std::int64_t incarnation = 0;
  std::vector<ViewPart> views;
  std::vector<EngineLoadNote> loads;  ///< the sender's own
};

/// @brief JSON text of a message.
std::string EncodeExchange(const ExchangeMessage& message);

/// @brief Reads a message; an error names the field at fault.
/// @param[in] peer named in the error
absl::StatusOr<ExchangeMessage> DecodeExchange(std::string_view text,
                                               std::string_view peer);

/// @brief JSON text of `offer`'s parameters.
std::string EncodeOffer(std::span<const StoredObject> items);

/// @brief Reads `offer`'s parameters; an error names the field at fault.
absl::StatusOr<std::vector<StoredObject>> DecodeOffer(std::string_view text);

/// @brief JSON text of `offer`'s answer.
std::string EncodeTaken(int taken);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_MESSAGE_H_
