#ifndef MEADOWTHREAD_STORE_PERCENT_ENCODING_H_
#define MEADOWTHREAD_STORE_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief A kind or a name as a part of a URL's path or of its query.
/// @param[in] text UTF-8
std::string PercentEncoded(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_PERCENT_ENCODING_H_
