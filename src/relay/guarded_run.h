#ifndef MEADOWTHREAD_RELAY_GUARDED_RUN_H_
#define MEADOWTHREAD_RELAY_GUARDED_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quarantine/quarantine.h"
#include "relay/backend_list.h"
#include "relay/relay_request.h"

namespace meadowthread {

/// @brief A session's way to the quarantine. The content's key is made when it
/// is first needed: nearly always never.
class GuardedRun {
 public:
  /// @param[in] all of them outlive this
  GuardedRun(Quarantine& quarantine, const BackendList& backends,
             const RelayRequest& request, const RelayTerms& terms)
      : quarantine(quarantine),
        backends(backends),
        request(request),
        terms(terms) {}
  GuardedRun(const GuardedRun&) = delete;
  GuardedRun& operator=(const GuardedRun&) = delete;

  /// @brief How long no server may get it, milliseconds; nullopt: one may.
  std::optional<std::int64_t> QuarantinedForMs();

  /// @brief Whether it is a try of this content.
  bool Is(const CrashRecordId& other);

  /// @brief Its connection to a server broke after bytes were sent.
  void NoteCut(std::string_view server, bool before_any_answer);

  /// @brief Its time was over and the server had said nothing.
  void NoteSilent(std::string_view server);

  /// @brief A server answered it to its end.
  void NoteWhole();

  const std::string& Content();

 private:
  CrashRecordId Id();
  void Tell(std::string_view server, bool before_any_answer, bool was_silent);

  Quarantine& quarantine;
  const BackendList& backends;
  const RelayRequest& request;
  const RelayTerms& terms;
  std::string content;  ///< empty: not made yet
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_GUARDED_RUN_H_
