#ifndef MEADOWTHREAD_STORE_PERCENT_ENCODING_H_
#define MEADOWTHREAD_STORE_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Percent-encodes a kind or a name for a URL's path or query.
/// @param[in] text UTF-8
std::string PercentEncoded(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_PERCENT_ENCODING_H_
