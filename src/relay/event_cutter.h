#ifndef MEADOWTHREAD_RELAY_EVENT_CUTTER_H_
#define MEADOWTHREAD_RELAY_EVENT_CUTTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief One whole server-sent event as its bytes came.
struct CutEvent {
  std::string bytes;     ///< with its closing empty line
  std::int64_t id = -1;  ///< -1: it carries none, or no number
};

/// @brief Cuts a byte stream into whole events without changing a byte.
class EventCutter {
 public:
  /// @param[in] limit_bytes bound on one event
  explicit EventCutter(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

  /// @brief Takes the next bytes.
  /// @return false where an event passes its bound; the stream is then useless
  bool Feed(std::string_view bytes, std::vector<CutEvent>* events);

  /// @brief The bytes of an event that is not whole.
  const std::string& Rest() const { return this->rest; }

  /// @brief Forgets them: another engine sends the event anew.
  void DropRest() { this->rest.clear(); }

 private:
  std::size_t limit_bytes;
  std::string rest;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_EVENT_CUTTER_H_
