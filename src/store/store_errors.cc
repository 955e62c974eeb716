#include "store/store_errors.h"

#include <string>

namespace meadowthread {
namespace {

struct CodeAndMessage {
  absl::StatusCode code;
  std::string_view message;
};

CodeAndMessage CodeAndMessageFor(ErrorId id) {
  switch (id) {
    case ErrorId::kNotFound:
      return {absl::StatusCode::kNotFound, "no such object"};
    case ErrorId::kStoreConflict:
      return {absl::StatusCode::kFailedPrecondition,
              "the object has another version"};
    case ErrorId::kStoreUnavailable:
      return {absl::StatusCode::kUnavailable, "the object API is unavailable"};
    case ErrorId::kStoreMalformed:
      return {absl::StatusCode::kDataLoss,
              "the object API's answer cannot be read"};
    case ErrorId::kStoreRevisionGone:
      return {absl::StatusCode::kOutOfRange,
              "the revision to watch from is too old: list anew"};
    default:
      return {absl::StatusCode::kUnknown,
              "the object API did not say whether the write took effect"};
  }
}

}  // namespace

absl::Status StoreError(ErrorId id, std::string_view step,
                        std::string_view peer) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = "object-api." + std::string(step);
  detail.peer = std::string(peer);
  const CodeAndMessage entry = CodeAndMessageFor(id);
  return MakeError(entry.code, detail, entry.message);
}

}  // namespace meadowthread
