#ifndef MEADOWTHREAD_POLICY_VERSION_RULE_H_
#define MEADOWTHREAD_POLICY_VERSION_RULE_H_

#include <string>
#include <string_view>

namespace meadowthread {

/// @brief Which servers may get a request, by the version of their software.
struct VersionRule {
  enum class Kind : int {
    kAny = 0,     ///< all servers
    kOnly = 1,    ///< only servers of `version`
    kExcept = 2,  ///< all servers but those of `version`
  };

  Kind kind = Kind::kAny;
  std::string version;

  /// @brief Whether a server of this version may get the request.
  bool Permits(std::string_view server_version) const {
    return this->kind == Kind::kAny ||
           (this->kind == Kind::kOnly) == (server_version == this->version);
  }

  friend bool operator==(const VersionRule&, const VersionRule&) = default;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_VERSION_RULE_H_
