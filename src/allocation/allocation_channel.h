#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_

#include <string_view>

#include "allocation/allocation_messages.h"

namespace meadowthread {

/// @brief Carries messages between hosts; each may be lost, doubled or late.
/// What a host sends to itself comes at once.
class AllocationChannel {
 public:
  virtual ~AllocationChannel() = default;

  virtual void Send(std::string_view host, const PlaceAsk& ask) = 0;
  virtual void Send(std::string_view host, const PlaceAnswer& answer) = 0;
  virtual void Send(std::string_view host, const TurnOver& over) = 0;
  virtual void Send(std::string_view host, const GroupPressure& pressure) = 0;
  virtual void Send(std::string_view host, const EngineAttempt& attempt) = 0;
  virtual void Send(std::string_view host, const ReadingSeen& seen) = 0;

  /// @brief Asks all hosts to tell of their work: this one knows nothing.
  virtual void AskAllToTell() = 0;

  /// @brief Lets all hosts hear this one.
  virtual void LetAllHear() = 0;
};

/// @brief Takes what other hosts send.
class AllocationReceiver {
 public:
  virtual ~AllocationReceiver() = default;

  virtual void On(std::string_view host, const PlaceAsk& ask) = 0;
  virtual void On(std::string_view host, const PlaceAnswer& answer) = 0;
  virtual void On(std::string_view host, const TurnOver& over) = 0;
  virtual void On(std::string_view host, const GroupPressure& pressure) = 0;
  virtual void On(std::string_view host, const EngineAttempt& attempt) = 0;
  virtual void On(std::string_view host, const ReadingSeen& seen) = 0;

  /// @brief A host wants to be told of all work.
  virtual void OnAskedToTell() = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_CHANNEL_H_
