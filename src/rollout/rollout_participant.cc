#include "rollout/rollout_participant.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::int64_t kTickMs = 100;
// Hosts report at least this often while a rollout runs, in larger fleets more
// rarely: the hosts that evaluate it then get some hundred reports a second.
constexpr std::int64_t kMinReportPeriodMs = 1'000;
constexpr std::int64_t kReportPeriodPerHostMs = 4;
// Answers of the target version are few and urgent, so they are reported this
// soon.
constexpr std::int64_t kUrgentReportMs = 200;
// Answers of the other versions are many, and a part of them tells what is
// usual: some hosts report all of theirs, the others the first few of a route.
// So large fleets whose hosts get few requests each have enough of them too.
constexpr std::size_t kBaselineHosts = 64;
constexpr std::int64_t kBaselineAnswers = 8;
constexpr std::int64_t kTellPeriodMs = 500;
// Each host passes new progress on to so many others; all but two in a hundred
// get it, the rest the next one.
constexpr std::size_t kFanout = 4;
// Evaluating hosts write the status one after the other, in case the first one
// can't. Other hosts only write it if none of them has.
constexpr std::int64_t kWriteTurnMs = 700;
constexpr std::int64_t kOthersWriteAfterMs = 3'000;
constexpr std::int64_t kWriteRetryMs = 400;
// A rollout that nobody evaluates is rolled back this long after its end.
constexpr std::int64_t kForgottenMs = 2'000;
// While the other versions are emptied, hosts that have not reported this are
// asked: so many of them at a time, and after a first time in which all report
// unasked. A host that does not answer for kSilentMs counts as not running.
constexpr std::size_t kMaxAsked = 64;
constexpr std::int64_t kAskAfterMs = 500;
constexpr std::int64_t kSilentMs = 3'000;
// Further routes are counted together.
constexpr std::size_t kMaxRoutes = 12;
constexpr char kOtherRoutes[] = "*";
constexpr std::int64_t kRefusedLogMs = 10'000;

}  // namespace

RolloutParticipant::RolloutParticipant(std::string_view host,
                                       const RolloutLimits& limits,
                                       const Dependencies& deps)
    : host(host),
      limits(limits),
      deps(deps),
      incarnation(deps.clock.WallMs()) {}

void RolloutParticipant::Start() {
  RunEvery(this->deps.scheduler, kTickMs,
           this->life.Guarded([this] { this->Tick(); }));
}

RolloutParticipant::Entry* RolloutParticipant::Find(std::string_view service) {
  const auto found = this->entries.find(service);
  return found == this->entries.end() ? nullptr : &found->second;
}

const RolloutParticipant::Entry* RolloutParticipant::Find(
    std::string_view service) const {
  const auto found = this->entries.find(service);
  return found == this->entries.end() ? nullptr : &found->second;
}

RolloutParticipant::Entry* RolloutParticipant::FindRunning(
    const RolloutOrder& order) {
  Entry* const entry = this->Find(order.service);
  const bool matches = entry != nullptr &&
                       entry->tracker.Stored().order == order &&
                       entry->tracker.IsRunning();
  return matches ? entry : nullptr;
}

int RolloutParticipant::Running() const {
  return static_cast<int>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [](const auto& entry) { return entry.second.tracker.IsRunning(); }));
}

///////////////////////
// Orders and statuses
///////////////////////

void RolloutParticipant::SetRollout(const Rollout& rollout,
                                    std::int64_t version) {
  const std::string& service = rollout.order.service;
  Entry* const known = this->Find(service);
  if (known != nullptr && known->tracker.Stored().order == rollout.order) {
    known->tracker.SetStatus(rollout, version);
    this->ApplyRestrictions(service, known);
    return;
  }
  RolloutTracker tracker(rollout, version, this->limits,
                         this->deps.clock.MonotonicMs());
  if (known != nullptr && known->tracker.IsRunning()) {
    tracker.Exclude(known->tracker.Stored().order.target_version);
  }
  this->entries.erase(service);
  Entry& entry = this->entries.try_emplace(service, tracker, this->deps.random)
                     .first->second;
  entry.process = absl::StrCat(this->host, "/", this->incarnation, "/",
                               ++this->last_process);
  LogLine("rollout")
      .Add("service", service)
      .Add("target", rollout.order.target_version)
      .Add("duration_ms", rollout.order.duration_ms)
      .Add("state", rollout.status.has_value()
                        ? RolloutStateName(rollout.status->state)
                        : "ordered")
      .WriteImportant();
  this->ApplyRestrictions(service, &entry);
}

void RolloutParticipant::Remove(std::string_view service) {
  Entry* const entry = this->Find(service);
  if (entry == nullptr) {
    return;
  }
  VersionRestrictions restrictions;
  if (entry->tracker.IsRunning()) {
    restrictions.excluded.push_back(
        entry->tracker.Stored().order.target_version);
  }
  LogLine("rollout-withdrawn")
      .Add("service", service)
      .Add("running", entry->tracker.IsRunning() ? "yes" : "no")
      .WriteImportant();
  this->deps.traffic.Restrict(service, restrictions);
  this->entries.erase(this->entries.find(service));
}

void RolloutParticipant::ApplyRestrictions(const std::string& service,
                                           Entry* entry) {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  VersionRestrictions next;
  next.excluded = entry->tracker.ExcludedVersions();
  const bool is_emptying =
      entry->tracker.IsRunning() &&
      entry->tracker.Stage(now_ms) >= RolloutStage::kEmptying;
  if (is_emptying) {
    next.moves_to = entry->tracker.Stored().order.target_version;
  }
  if (next != entry->restrictions) {
    entry->restrictions = next;
    this->deps.traffic.Restrict(service, next);
  }
}

// When the order was given, on this host's monotonic clock. The recorded time
// comes from another host's clock, so it never lies in the future.
std::int64_t RolloutParticipant::StartedMs(const Rollout& rollout) const {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const bool is_recorded = rollout.status.has_value() &&
                           BelongsTo(*rollout.status, rollout.order) &&
                           rollout.status->started_unix_ms > 0;
  const std::int64_t age_ms =
      is_recorded ? this->deps.clock.WallMs() - rollout.status->started_unix_ms
                  : 0;
  return now_ms - std::max<std::int64_t>(0, age_ms);
}

///////////////////////
// Rules for requests
///////////////////////

VersionRule RolloutParticipant::RuleForRequest(std::string_view service,
                                               std::string_view route) {
  Entry* const entry = this->Find(service);
  if (entry == nullptr || !entry->tracker.IsRunning()) {
    return {};
  }
  ++entry->requests;
  const double share = entry->tracker.Share(this->deps.clock.MonotonicMs());
  const bool takes_target =
      share >= 1.0 || entry->split.TakeShare(route, share);
  return {takes_target ? VersionRule::Kind::kOnly : VersionRule::Kind::kExcept,
          entry->tracker.Stored().order.target_version};
}

// A further attempt goes to the other versions until these are emptied, so that
// a bad version costs a request one attempt at most.
VersionRule RolloutParticipant::RuleForRetry(std::string_view service) const {
  const Entry* const entry = this->Find(service);
  if (entry == nullptr || !entry->tracker.IsRunning()) {
    return {};
  }
  const RolloutStage stage =
      entry->tracker.Stage(this->deps.clock.MonotonicMs());
  const bool is_emptying = stage >= RolloutStage::kEmptying;
  return {is_emptying ? VersionRule::Kind::kOnly : VersionRule::Kind::kExcept,
          entry->tracker.Stored().order.target_version};
}

VersionRule RolloutParticipant::RuleForMove(std::string_view service) const {
  const Entry* const entry = this->Find(service);
  if (entry == nullptr || !entry->tracker.IsRunning()) {
    return {};
  }
  const RolloutStage stage =
      entry->tracker.Stage(this->deps.clock.MonotonicMs());
  return {stage >= RolloutStage::kAll ? VersionRule::Kind::kOnly
                                      : VersionRule::Kind::kExcept,
          entry->tracker.Stored().order.target_version};
}

void RolloutParticipant::RecordAnswer(const VersionedAnswer& answer) {
  Entry* const entry = this->Find(answer.service);
  if (entry == nullptr || !entry->tracker.IsRunning()) {
    return;
  }
  const bool is_known = entry->own.contains(answer.route);
  const std::string_view route =
      is_known || entry->own.size() < kMaxRoutes ? answer.route : kOtherRoutes;
  RouteAnswers& counts = entry->own[std::string(route)];
  const bool is_target =
      answer.version == entry->tracker.Stored().order.target_version;
  AnswerCounts& side = is_target ? counts.target : counts.others;
  side.answers += answer.was_counted ? 0 : 1;
  side.failed += answer.failed ? 1 : 0;
  if (!answer.failed) {
    side.first.Add(answer.first_ms);
    side.gap.Add(answer.gap_ms);
  }
  entry->has_target_news = entry->has_target_news || is_target;
}

//////////////////
// Periodic tasks
//////////////////

// A rollout that is over needs nothing more, but its order stays in the store.
bool RolloutParticipant::HasWork() const {
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [this](const auto& entry) {
                       return entry.second.tracker.IsRunning() ||
                              this->DueStatus(entry.second).has_value();
                     });
}

void RolloutParticipant::Tick() {
  if (!this->HasWork()) {
    return;
  }
  this->hosts = this->deps.traffic.HostNames();
  for (auto& [service, entry] : this->entries) {
    if (entry.tracker.IsRunning()) {
      this->UpdateRole(service, &entry);
      this->Report(&entry);
      this->Evaluate(&entry);
    }
    this->RecordStatus(&entry);
    this->ApplyRestrictions(service, &entry);
  }
}

// The hosts with the highest scores, the best first.
std::vector<std::string> RolloutParticipant::Evaluators(
    std::string_view service) const {
  std::vector<std::string> ranked = this->hosts;
  const std::size_t count = std::min(kEvaluators, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(), [service](const std::string& a, const std::string& b) {
        return EvaluatorScore(a, service) > EvaluatorScore(b, service);
      });
  ranked.resize(count);
  return ranked;
}

std::size_t RolloutParticipant::RankOf(std::string_view service) const {
  const std::uint64_t own = EvaluatorScore(this->host, service);
  return static_cast<std::size_t>(
      std::count_if(this->hosts.begin(), this->hosts.end(),
                    [service, own](const std::string& name) {
                      return EvaluatorScore(name, service) > own;
                    }));
}

bool RolloutParticipant::ReportsOthers(std::string_view service) const {
  return this->RankOf(service) < kBaselineHosts;
}

std::int64_t RolloutParticipant::ReportPeriodMs() const {
  return std::max(kMinReportPeriodMs,
                  kReportPeriodPerHostMs * std::ssize(this->hosts));
}

// Hosts hear of an order at almost the same time. Their reports are spread over
// the period, so that those that evaluate it do not get all of them at once.
std::int64_t RolloutParticipant::RandomPartOfReportPeriod() {
  std::uniform_int_distribution<std::int64_t> part(0, this->ReportPeriodMs());
  return part(this->deps.random);
}

// Begins or ends to evaluate, as hosts come and go.
void RolloutParticipant::UpdateRole(const std::string& service, Entry* entry) {
  const bool evaluates = this->RankOf(service) < kEvaluators;
  if (evaluates && !entry->evaluation.has_value()) {
    const Rollout& rollout = entry->tracker.Stored();
    entry->evaluation.emplace(rollout.order, this->limits,
                              this->StartedMs(rollout),
                              this->deps.clock.MonotonicMs());
  } else if (!evaluates) {
    entry->evaluation.reset();
  }
}

void RolloutParticipant::Report(Entry* entry) {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (!entry->reported_ms.has_value()) {
    entry->reported_ms = now_ms - this->RandomPartOfReportPeriod();
  }
  const RolloutReport report = this->MakeReport(*entry);
  const std::int64_t since_ms = now_ms - *entry->reported_ms;
  const bool is_urgent = entry->has_target_news || entry->is_asked ||
                         report.others_idle != entry->was_idle;
  if (since_ms < (is_urgent ? kUrgentReportMs : this->ReportPeriodMs())) {
    return;
  }
  entry->reported_ms = now_ms;
  entry->was_idle = report.others_idle;
  entry->has_target_news = false;
  entry->is_asked = false;
  this->SendReport(*entry, report);
  if (entry->evaluation.has_value()) {
    entry->evaluation->Apply(this->host, report, now_ms);
  }
}

// Holds all routes; SendReport divides them over messages.
RolloutReport RolloutParticipant::MakeReport(const Entry& entry) const {
  const RolloutOrder& order = entry.tracker.Stored().order;
  RolloutReport report;
  report.order = order;
  report.process = entry.process;
  report.others_idle =
      entry.tracker.Stage(this->deps.clock.MonotonicMs()) >=
          RolloutStage::kEmptying &&
      this->deps.traffic.AreOthersIdle(order.service, order.target_version);
  report.requests = entry.requests;
  const bool reports_others = this->ReportsOthers(order.service);
  for (const auto& [route, answers] : entry.own) {
    if (reports_others || answers.others.answers <= kBaselineAnswers) {
      report.routes.emplace(route, answers);
    } else if (answers.target.answers > 0) {
      report.routes[route].target = answers.target;
    }
  }
  return report;
}

void RolloutParticipant::SendReport(const Entry& entry,
                                    const RolloutReport& report) {
  std::vector<RolloutReport> parts(1);
  parts.back() = report;
  parts.back().routes.clear();
  for (const auto& [route, answers] : report.routes) {
    if (parts.back().routes.size() >= kMaxReportRoutes) {
      parts.push_back(parts.back());
      parts.back().routes.clear();
    }
    parts.back().routes.emplace(route, answers);
  }
  for (const std::string& to :
       this->Evaluators(entry.tracker.Stored().order.service)) {
    if (to == this->host) {
      continue;
    }
    for (const RolloutReport& part : parts) {
      this->deps.channel.SendToHost(kReportTopic, ToJson(part), to);
    }
  }
}

void RolloutParticipant::Evaluate(Entry* entry) {
  if (!entry->evaluation.has_value()) {
    return;
  }
  RolloutEvaluation& evaluation = *entry->evaluation;
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (evaluation.Controller().IsCollecting(now_ms)) {
    evaluation.Adopt(entry->tracker.Stage(now_ms), now_ms);
  }
  const bool changed = evaluation.Advance(this->hosts, kSilentMs, now_ms);
  const RolloutController& controller = evaluation.Controller();
  if (changed) {
    const VersionVerdict& verdict = controller.Verdict();
    LogLine("rollout-stage")
        .Add("service", entry->tracker.Stored().order.service)
        .Add("target", entry->tracker.Stored().order.target_version)
        .Add("stage", RolloutStageName(controller.Stage()))
        .Add("why", controller.Why())
        .Add("route", verdict.route)
        .Add("answers", verdict.answers)
        .Add("bad", verdict.bad)
        .Add("expected_bad", verdict.expected_bad)
        .WriteImportant();
  }
  // A host that has just begun to evaluate knows less than those that guide
  // the others already.
  const bool may_tell = controller.Stage() == RolloutStage::kRolledBack ||
                        !controller.IsCollecting(now_ms) ||
                        !entry->tracker.IsGuided(now_ms);
  if (may_tell && (changed || now_ms - entry->told_ms >= kTellPeriodMs)) {
    this->TellProgress(entry);
  }
}

void RolloutParticipant::TellProgress(Entry* entry) {
  const RolloutController& controller = entry->evaluation->Controller();
  RolloutProgress progress;
  progress.order = entry->tracker.Stored().order;
  progress.evaluator = this->host;
  progress.incarnation = this->incarnation;
  progress.number = ++this->last_number;
  progress.stage = controller.Stage();
  progress.share = controller.Share();
  entry->told_ms = this->deps.clock.MonotonicMs();
  entry->tracker.ApplyProgress(progress, entry->told_ms);
  const json payload = ToJson(progress);
  this->deps.channel.SendToRandom(kProgressTopic, payload, kFanout);
  this->AskHostsNotIdle(*entry, payload);
}

// Reports may be lost, and the next periodic one is seconds away. A host that
// gets progress from the evaluating host itself answers with a report.
void RolloutParticipant::AskHostsNotIdle(const Entry& entry,
                                         const json& payload) {
  const RolloutController& controller = entry.evaluation->Controller();
  const std::int64_t lasted_ms = entry.told_ms - controller.StageBegunMs();
  if (controller.Stage() != RolloutStage::kEmptying ||
      lasted_ms < kAskAfterMs) {
    return;
  }
  for (const std::string& name :
       entry.evaluation->HostsNotIdle(this->hosts, kMaxAsked)) {
    if (name != this->host) {
      this->deps.channel.SendToHost(kProgressTopic, payload, name);
    }
  }
}

///////////////////////////
// The status in the store
///////////////////////////

// The status that has to be recorded in place of the one in the store; nullopt
// if that one is right.
std::optional<RolloutStatus> RolloutParticipant::DueStatus(
    const Entry& entry) const {
  const Rollout& rollout = entry.tracker.Stored();
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (entry.tracker.LacksDecision()) {
    return rollout.status;
  }
  if (!rollout.status.has_value() ||
      !BelongsTo(*rollout.status, rollout.order)) {
    return InitialStatus(rollout.order, entry.tracker.ExcludedVersions(),
                         this->deps.clock.WallMs());
  }
  if (rollout.status->state != RolloutState::kRunning) {
    return std::nullopt;
  }
  const std::int64_t age_ms = now_ms - this->StartedMs(rollout);
  const bool is_forgotten =
      age_ms > rollout.order.duration_ms + kForgottenMs &&
      now_ms - entry.tracker.FirstSeenMs() > kForgottenMs &&
      !entry.tracker.IsGuided(now_ms);
  if (entry.tracker.IsCalledBad() || is_forgotten) {
    return FinalStatus(*rollout.status, RolloutState::kRolledBack, {});
  }
  const bool is_done =
      entry.evaluation.has_value() &&
      entry.evaluation->Controller().Stage() == RolloutStage::kEmptied;
  if (is_done) {
    return FinalStatus(
        *rollout.status, RolloutState::kCompleted,
        this->deps.traffic.OtherVersions(rollout.order.service,
                                         rollout.order.target_version));
  }
  return std::nullopt;
}

void RolloutParticipant::RecordStatus(Entry* entry) {
  const std::optional<RolloutStatus> due = this->DueStatus(*entry);
  if (!due.has_value()) {
    entry->outdated_since_ms.reset();
    return;
  }
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (!entry->outdated_since_ms.has_value()) {
    entry->outdated_since_ms = now_ms;
  }
  const auto rank = static_cast<std::int64_t>(
      this->RankOf(entry->tracker.Stored().order.service));
  const bool evaluates = rank < static_cast<std::int64_t>(kEvaluators);
  const std::int64_t turn_ms =
      rank * kWriteTurnMs + (evaluates ? 0 : kOthersWriteAfterMs);
  const bool is_due = now_ms - *entry->outdated_since_ms >= turn_ms &&
                      now_ms - entry->tried_ms >= kWriteRetryMs;
  if (is_due && !entry->writing) {
    this->Write(entry, *due);
  }
}

void RolloutParticipant::Write(Entry* entry, const RolloutStatus& status) {
  Rollout written = entry->tracker.Stored();
  written.status = status;
  entry->writing = true;
  entry->tried_ms = this->deps.clock.MonotonicMs();
  this->deps.store.WriteStatus(
      written.order.service, status, entry->tracker.Version(),
      this->life.Guarded(
          [this, written](const absl::StatusOr<std::int64_t>& result) {
            this->OnWritten(written.order.service, written, result);
          }));
}

// After a failure the next tick writes again: by then the view may hold what
// another host has written.
void RolloutParticipant::OnWritten(const std::string& service,
                                   const Rollout& written,
                                   const absl::StatusOr<std::int64_t>& result) {
  LogLine("rollout-status")
      .Add("service", service)
      .Add("state", RolloutStateName(written.status->state))
      .Add("written", result.ok() ? "yes" : "no")
      .Add("why", std::string{result.status().message()})
      .WriteImportant();
  Entry* const entry = this->Find(service);
  if (entry == nullptr) {
    return;
  }
  entry->writing = false;
  if (result.ok() && entry->tracker.Stored().order == written.order) {
    this->SetRollout(written, *result);
  }
}

////////////
// Messages
////////////

void RolloutParticipant::OnReport(std::string_view from, const json& payload) {
  const absl::StatusOr<RolloutReport> report = RolloutReportFrom(payload);
  if (!report.ok()) {
    this->Refuse(from, std::string{report.status().message()});
    return;
  }
  Entry* const entry = this->FindRunning(report->order);
  if (entry == nullptr || !entry->evaluation.has_value()) {
    return;
  }
  if (!entry->evaluation->Apply(from, *report,
                                this->deps.clock.MonotonicMs())) {
    this->Refuse(from, "too many reports");
  }
}

void RolloutParticipant::OnProgress(std::string_view from,
                                    const json& payload) {
  const absl::StatusOr<RolloutProgress> progress = RolloutProgressFrom(payload);
  if (!progress.ok()) {
    this->Refuse(from, std::string{progress.status().message()});
    return;
  }
  Entry* const entry = this->FindRunning(progress->order);
  if (entry == nullptr) {
    return;
  }
  entry->is_asked =
      entry->is_asked || (progress->stage == RolloutStage::kEmptying &&
                          progress->evaluator == from);
  if (!entry->tracker.ApplyProgress(*progress,
                                    this->deps.clock.MonotonicMs())) {
    return;
  }
  this->deps.channel.SendToRandom(kProgressTopic, payload, kFanout);
  this->ApplyRestrictions(progress->order.service, entry);
}

void RolloutParticipant::Refuse(std::string_view from, std::string_view why) {
  ++this->refused;
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (this->refused_logged_ms >= 0 &&
      now_ms - this->refused_logged_ms < kRefusedLogMs) {
    return;
  }
  this->refused_logged_ms = now_ms;
  LogLine("rollout-message-refused")
      .Add("host", from)
      .Add("why", why)
      .Add("since_start", this->refused)
      .WriteImportant();
}

}  // namespace meadowthread
