#ifndef MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_
#define MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief What a caller asked for, whatever id this try of it has.
struct RunContent {
  std::string_view workspace;  ///< of the caller; empty: callers without one
  std::string_view host;       ///< that the caller named; empty: none
  std::string_view target;     ///< path and query, byte for byte
  std::string_view body;
};

/// @brief Names a content: the same for each try of it, at every host.
///
/// A strong hash: a caller who chooses bodies can't make one that is taken for
/// another workspace's.
///
/// @return 32 hexadecimal digits, of 128 bits of a SHA-256
/// @complexity linear in the body
std::string ContentKeyOf(const RunContent& content);

/// @brief Whether a text could be a content's key.
bool IsContentKey(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_QUARANTINE_CONTENT_KEY_H_
