#include "policy/stop_admission.h"

#include <algorithm>
#include <utility>

namespace meadowthread {
namespace {

// Allowance for a stream's prefill and for forwarding its end.
constexpr std::int64_t kStreamStartMs = 1'000;
// Prompts of other hosts, which this host does not know, may be prefilled
// first.
constexpr std::int64_t kPrefillFactor = 2;
// Time per token on a full engine divided by that on one with few requests.
constexpr std::int64_t kFillingFactor = 2;
// A call takes at most this many times its target latency, unless calls of its
// route have recently taken longer.
constexpr std::int64_t kCallDurationTargets = 4;
// A call takes at most this many times as long as the slowest recent one.
constexpr std::int64_t kSlowestCallFactor = 2;
constexpr std::int64_t kCallWindowMs = 10'000;
constexpr std::int64_t kUsPerMs = 1'000;

// Upper bound for the time per token; nullopt if nothing is known of it.
std::optional<std::int64_t> MaxTokenUs(const StreamForecast& stream) {
  if (stream.pace.has_value()) {
    return std::max(stream.pace->longest_us,
                    kFillingFactor * stream.pace->typical_us);
  }
  if (stream.max_token_gap_us > 0) {
    return stream.max_token_gap_us;
  }
  return std::nullopt;
}

}  // namespace

std::int64_t MaxStreamMs(const StreamForecast& stream) {
  const std::optional<std::int64_t> token_us = MaxTokenUs(stream);
  if (!token_us.has_value() || stream.max_output_tokens <= 0) {
    return stream.remaining_ms;
  }
  const std::int64_t start_ms =
      std::max(kStreamStartMs, kPrefillFactor * stream.prefill_ms);
  // Computed in floating point, as callers may state any number of tokens.
  const double decode_ms = static_cast<double>(stream.max_output_tokens) *
                           static_cast<double>(*token_us) / kUsPerMs;
  if (decode_ms >= static_cast<double>(stream.remaining_ms)) {
    return stream.remaining_ms;
  }
  return std::min(stream.remaining_ms,
                  start_ms + static_cast<std::int64_t>(decode_ms));
}

std::int64_t MaxCallMs(const CallForecast& call) {
  if (!call.slowest_ms.has_value()) {
    return call.remaining_ms;
  }
  const std::int64_t expected_ms =
      std::max(kCallDurationTargets * call.target_latency_ms,
               kSlowestCallFactor * *call.slowest_ms);
  return std::min(call.remaining_ms, expected_ms);
}

void RecentCallDurations::Note(std::string_view route, std::int64_t took_ms,
                               std::int64_t now_ms) {
  const std::int64_t age_ms = now_ms - this->window_begun_ms;
  if (age_ms >= kCallWindowMs) {
    this->previous = age_ms < 2 * kCallWindowMs ? std::move(this->current)
                                                : StringMap<std::int64_t>{};
    this->current.clear();
    this->window_begun_ms = now_ms;
  }
  std::int64_t& slowest = this->current[std::string(route)];
  slowest = std::max(slowest, took_ms);
}

std::optional<std::int64_t> RecentCallDurations::Slowest(
    std::string_view route, std::int64_t now_ms) const {
  const std::int64_t age_ms = now_ms - this->window_begun_ms;
  if (age_ms >= 2 * kCallWindowMs) {
    return std::nullopt;
  }
  const auto newest = Find(this->current, route);
  const auto older =
      age_ms < kCallWindowMs ? Find(this->previous, route) : std::nullopt;
  return std::max(newest, older);
}

std::optional<std::int64_t> RecentCallDurations::Find(
    const StringMap<std::int64_t>& in, std::string_view route) {
  const auto found = in.find(route);
  return found == in.end() ? std::nullopt : std::optional(found->second);
}

void StopAdmission::Begin(std::int64_t ends_at_ms, const StopView& with) {
  this->ends_ms = ends_at_ms;
  this->view = &with;
}

}  // namespace meadowthread
