#ifndef MEADOWTHREAD_BASE_SHARED_BYTES_H_
#define MEADOWTHREAD_BASE_SHARED_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace meadowthread {

/// @brief Immutable bytes that all copies share, such as the body of a request
/// that several stages hold at the same time.
///
/// Converts from and to strings implicitly, so that it is used like a string.
class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes)  // NOLINT(google-explicit-constructor)
      : bytes(bytes.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(bytes))) {}
  SharedBytes(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedBytes(std::string(text)) {}

  /// @brief The bytes, valid as long as a copy of this object.
  const std::string& Str() const {
    static const std::string kEmpty;
    return this->bytes == nullptr ? kEmpty : *this->bytes;
  }
  operator std::string_view() const {  // NOLINT(google-explicit-constructor)
    return this->Str();
  }

  friend bool operator==(const SharedBytes& a, std::string_view b) {
    return a.Str() == b;
  }

  std::size_t Size() const { return this->Str().size(); }
  bool IsEmpty() const { return this->bytes == nullptr; }

 private:
  std::shared_ptr<const std::string> bytes;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SHARED_BYTES_H_
