#include "relay/relay_dependencies.h"

#include <algorithm>

#include "base/log_line.h"

namespace meadowthread {

std::optional<ServerInstance> ServerUnlessLeaving(const BackendList& backends,
                                                  std::string_view key) {
  const Backend* const backend = backends.Find(key);
  if (backend == nullptr || backend->leaving) {
    return std::nullopt;
  }
  return ServerInstance{backend->key, backend->entry.address};
}

// Another server at the same address says nothing about the one that was meant.
void NoteAnswerHead(const RelayDependencies& deps, const AnswerHead& head) {
  if (head.meaning == AnswerMeaning::kOtherInstance) {
    return;
  }
  RateAnswer answer;
  answer.server = head.server;
  answer.rate = deps.wire.RateIn(head.headers);
  answer.brittle = deps.wire.BrittleRateIn(head.headers);
  answer.sent_ms = head.sent_ms;
  answer.ran = head.meaning == AnswerMeaning::kRan;
  deps.permits.NoteAnswer(answer);
  ApplyNotice({deps.clock, deps.backoffs, deps.backends}, head.server,
              deps.wire.NoticeIn(head.http_status, head.headers));
}

void ApplyNotice(const NoticeTargets& targets, std::string_view server,
                 const ServerNotice& notice) {
  if (notice.backoff != ServerNotice::Backoff::kNone) {
    LogLine("server-backoff")
        .Add("server", server)
        .Add("backoff_ms", notice.backoff_ms)
        .Add("malformed",
             notice.backoff == ServerNotice::Backoff::kMalformed ? "yes" : "no")
        .WriteImportant();
  }
  if (notice.backoff == ServerNotice::Backoff::kAsked) {
    targets.backoffs.Note(server, notice.backoff_ms,
                          targets.clock.MonotonicMs());
  }
  if (notice.is_leaving) {
    targets.backends.NoteLeaving(server, "its_answer");
  }
}

namespace {

// The end of a server's backoff, for a caller to come back then: later by up to
// a quarter of the time to it, so that callers who are all told of the same end
// don't come at one instant.
std::int64_t SpreadMs(std::int64_t backoff_ms, std::uint64_t random) {
  constexpr std::int64_t kMinSpreadMs = 100;
  constexpr std::int64_t kSpreadDivisor = 4;
  const std::int64_t spread_ms =
      std::max(kMinSpreadMs, backoff_ms / kSpreadDivisor);
  return backoff_ms + static_cast<std::int64_t>(
                          random % static_cast<std::uint64_t>(spread_ms));
}

}  // namespace

std::optional<std::int64_t> HeldBackMs(const RelayDependencies& deps,
                                       const RelayTerms& terms,
                                       const VersionRule& versions) {
  const Urgency urgency = UrgencyOf(terms);
  std::optional<std::int64_t> least_ms;
  for (const Backend* const backend : deps.backends.Usable(terms.service)) {
    if (!MayRunIn(terms.allowed_regions, backend->region) ||
        !versions.Permits(backend->entry.version)) {
      continue;
    }
    const std::int64_t backoff_ms =
        deps.backoffs.RemainingMs(backend->key, deps.clock.MonotonicMs());
    const std::int64_t held_ms =
        std::max(deps.permits.ExhaustedForMs(backend->key, urgency),
                 backoff_ms > 0 ? SpreadMs(backoff_ms, deps.random()) : 0);
    if (held_ms <= 0) {
      return std::nullopt;
    }
    least_ms = std::min(held_ms, least_ms.value_or(held_ms));
  }
  return least_ms;
}

namespace {

// An answer of a server that was still cold does not tell how fast its version
// is.
void RecordForVersion(const RelayDependencies& deps, const AttemptEnd& end) {
  const Backend* const backend = deps.backends.Find(end.server);
  if (backend == nullptr) {
    return;
  }
  const bool was_cold = end.sent_ms < backend->warm_at_ms;
  VersionedAnswer answer;
  answer.service = backend->entry.service;
  answer.version = backend->entry.version;
  answer.route = end.route;
  answer.failed = end.result != AttemptResult::kGood;
  answer.was_counted = end.has_begun;
  answer.first_ms = was_cold ? -1 : end.first_ms;
  answer.gap_ms = was_cold ? -1 : end.gap_ms;
  deps.versions.RecordAnswer(answer);
}

}  // namespace

AttemptResult ResultOfFailure(const HttpCallResult& end) {
  if (!end.request_may_have_left) {
    return AttemptResult::kUnreachable;
  }
  return end.exceeded_limit ? AttemptResult::kExceededLimit
                            : AttemptResult::kFailed;
}

void RecordAttempt(const RelayDependencies& deps, const AttemptEnd& end) {
  deps.health.RecordAttempt(end.server, end.result, deps.clock.MonotonicMs());
  RecordForVersion(deps, end);
}

void RecordFirstEvent(const RelayDependencies& deps, const AttemptEnd& begun) {
  RecordForVersion(deps, begun);
}

}  // namespace meadowthread
