#include "gateway/caller_identity.h"

#include <QCryptographicHash>

#include "absl/strings/match.h"
#include "base/absl_view.h"
#include "base/error.h"

namespace meadowthread {
namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::size_t kCallerIdDigits = 16;

absl::Status UnknownKeyError(std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kUnknownKey;
  detail.outcome = Outcome::kNotRun;
  detail.step = "identify";
  detail.peer = "caller";
  detail.field = "Authorization";
  return MakeError(absl::StatusCode::kUnauthenticated, detail, what);
}

std::string Sha256Hex(std::string_view text) {
  return QCryptographicHash::hash(
             QByteArray(text.data(), static_cast<qsizetype>(text.size())),
             QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace

absl::StatusOr<CallerIdentity> AuthenticateCaller(
    const ServerRequest& request, const ServiceCatalog& catalog) {
  const std::string_view header = FindHeader(request.headers, "Authorization");
  if (!absl::StartsWithIgnoreCase(AbslView(header), AbslView(kScheme))) {
    return UnknownKeyError(
        "the request carries no 'Authorization: Bearer KEY'");
  }
  const std::string digest = Sha256Hex(header.substr(kScheme.size()));
  const std::string_view workspace = catalog.WorkspaceOfKey(digest);
  if (workspace.empty()) {
    return UnknownKeyError("the key belongs to no workspace");
  }
  return CallerIdentity{std::string(workspace),
                        digest.substr(0, kCallerIdDigits)};
}

}  // namespace meadowthread
