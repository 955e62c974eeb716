#include "configuration/value_patch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <memory>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr int kLevel = 3;
// Bounds of the library for the window, as powers of two.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

absl::Status Malformed(std::string_view why) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "apply-patch";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, why);
}

}  // namespace

std::string Compress(std::string_view bytes) { return MakePatch({}, bytes); }

absl::StatusOr<std::string> Decompress(std::string_view compressed,
                                       std::size_t max_bytes) {
  return ApplyPatch({}, compressed, max_bytes);
}

// The base precedes the value in the compressor's window, so that what both
// have in common becomes references. The window has to cover both.
std::string MakePatch(std::string_view base, std::string_view value) {
  const Compressor context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  const int window_log =
      std::clamp(static_cast<int>(std::bit_width(base.size() + value.size())),
                 kMinWindowLog, kMaxWindowLog);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
  // Shows that a patch was applied to the base that it was made for.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string patch(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), patch.data(), patch.size(), value.data(), value.size());
  patch.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return patch;
}

absl::StatusOr<std::string> ApplyPatch(std::string_view base,
                                       std::string_view patch,
                                       std::size_t max_bytes) {
  const std::uint64_t size =
      ZSTD_getFrameContentSize(patch.data(), patch.size());
  // The codes for an unknown size and for an error are above any limit.
  if (size > max_bytes) {
    return Malformed("the result is too long or its length is missing");
  }
  const Decompressor context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string value(static_cast<std::size_t>(size), '\0');
  const std::size_t written = ZSTD_decompressDCtx(
      context.get(), value.data(), value.size(), patch.data(), patch.size());
  if (ZSTD_isError(written) != 0U || written != value.size()) {
    return Malformed("made for another version, or malformed");
  }
  return value;
}

}  // namespace meadowthread
