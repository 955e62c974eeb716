#include "policy/fleet_state.h"

#include <algorithm>
#include <utility>

#include "policy/detail/fleet_state_helpers.h"
#include "xxhash.h"

namespace meadowthread {
namespace {

// Ended streams are kept for this long, because load reports lag behind by up
// to this time and may still include them.
constexpr std::int64_t kEndedRetentionMs = 5'000;
// Engines added within this time of the first one belong to the initial fleet
// and need no slow start.
constexpr std::int64_t kFleetStartupMs = 10'000;
std::uint64_t HashOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

// Each model is indexed under its exact version and under any version.
std::vector<std::string> ModelKeysOf(const EngineView& view) {
  std::vector<std::string> keys;
  for (const ServedModel& served : view.models) {
    keys.push_back(
        detail::ModelKey(view.service, {served.model, served.adapter, ""}));
    keys.push_back(detail::ModelKey(view.service, served));
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

}  // namespace

FleetState::FleetState(LengthModel& lengths, FleetOptions options)
    : lengths(lengths), options(options) {}

// ------------------------------------------------------------------ engines

void FleetState::SetEngine(const EngineListing& listing, std::int64_t now_ms) {
  Engine* engine = this->FindEngine(listing.engine);
  if (engine == nullptr) {
    engine = &this->AddEngine(listing.engine, now_ms);
  }
  EngineView& view = engine->view;
  if (!view.live && listing.live) {
    view.slow_start_began_ms = now_ms;
  }
  view.zone = listing.zone;
  view.region = listing.region;
  view.software_version = listing.software_version;
  view.live = listing.live;
  view.warm_at_ms = listing.warm_at_ms;
  if (listing.kv_capacity > 0) {
    view.kv_capacity = listing.kv_capacity;
  }
  this->IndexModels(this->by_name[listing.engine], listing.service,
                    listing.models.empty() ? view.models : listing.models);
  engine->listed_leaving = listing.leaving;
  view.leaving = engine->listed_leaving || engine->reported_leaving;
}

void FleetState::RemoveEngine(std::string_view engine) {
  Engine* const found = this->FindEngine(engine);
  if (found != nullptr) {
    // An engine that is not live is never chosen. Its slot is reused once its
    // streams have ended.
    found->view.live = false;
    this->speeds.Forget(this->by_name.find(engine)->second);
  }
}

void FleetState::SetFailureShare(std::string_view engine, double share) {
  Engine* const found = this->FindEngine(engine);
  if (found != nullptr) {
    found->view.failure_share = share;
  }
}

void FleetState::ApplyReport(const LoadReport& report, std::int64_t now_ms) {
  Engine* const engine = this->FindEngine(report.engine);
  if (engine == nullptr) {
    return;
  }
  EngineView& view = engine->view;
  const bool restarted =
      !view.incarnation.empty() && view.incarnation != report.incarnation;
  if (!restarted && report.as_of_unix_ms < view.reported_unix_ms) {
    return;
  }
  if (restarted) {
    view.slow_start_began_ms = now_ms;
    this->prefixes.ForgetEngine(this->by_name[report.engine]);
    this->speeds.Forget(this->by_name[report.engine]);
    engine->gaps = TokenGapSampler();
  }
  view.incarnation = report.incarnation;
  view.reported_unix_ms = std::min(report.as_of_unix_ms, now_ms);
  view.running = report.running;
  view.waiting = report.waiting;
  view.kv_used = report.kv_used;
  view.kv_capacity = report.kv_capacity;
  view.preemptions = report.preemptions;
  engine->reported_leaving = report.leaving;
  view.leaving = engine->listed_leaving || engine->reported_leaving;
  this->SubtractOwnWork(*engine, now_ms);
  engine->forecast_cached_ms = -1;
  this->IndexModels(this->by_name[report.engine], view.service, report.models);
}

void FleetState::EngineStalled(std::string_view engine, std::int64_t) {
  Engine* const found = this->FindEngine(engine);
  if (found != nullptr) {
    found->view.stalled = true;
  }
}

void FleetState::EngineBack(std::string_view engine, std::int64_t now_ms) {
  Engine* const found = this->FindEngine(engine);
  if (found != nullptr && found->view.stalled) {
    found->view.stalled = false;
    found->view.slow_start_began_ms = now_ms;
  }
}

void FleetState::SetHosts(std::string_view self,
                          std::span<const std::string> hosts) {
  this->self_hash = HashOf(self);
  this->host_hashes.clear();
  for (const std::string& host : hosts) {
    this->host_hashes.push_back(HashOf(host));
  }
  this->preferred.clear();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    this->UpdatePreferred(static_cast<EngineIndex>(i));
  }
}

void FleetState::UpdatePreferred(EngineIndex index) {
  Engine& engine = *this->engines[index];
  if (this->host_hashes.size() < 2) {
    engine.preferred = true;
    return;
  }
  // Rendezvous hashing: when a host joins or leaves, only the engines assigned
  // to that host change.
  const std::uint64_t seed = HashOf(engine.view.engine);
  std::uint64_t best = 0;
  std::uint64_t best_host = 0;
  for (const std::uint64_t host : this->host_hashes) {
    const std::uint64_t score = XXH64(&host, sizeof(host), seed);
    if (score >= best) {
      best = score;
      best_host = host;
    }
  }
  engine.preferred = best_host == this->self_hash;
  if (engine.preferred) {
    this->preferred.push_back(index);
  }
}

// -------------------------------------------------------------- own streams

void FleetState::NoteSent(const WorkItem& work, std::string_view engine,
                          std::int64_t now_ms) {
  const auto found = this->by_name.find(engine);
  if (found == this->by_name.end()) {
    return;
  }
  auto stream = std::make_unique<Stream>();
  stream->request = work.request;
  stream->key = LengthKeyOf(work);
  stream->curve = this->lengths.CurveOf(stream->key);
  stream->progress = {work.prompt_tokens, 0, work.max_output_tokens};
  stream->tokens_per_event = work.tokens_per_event;
  Engine& target = *this->engines[found->second];
  if (!work.is_copy) {
    const std::int64_t ahead =
        work.prefill_ahead_tokens >= 0
            ? work.prefill_ahead_tokens
            : this->PrefillBacklog(found->second, now_ms);
    stream->tokens_before_first_event = ahead + work.prompt_tokens;
  }
  if (target.forecast_cached_ms >= 0) {
    target.forecast_cache.AddStream(stream->progress, *stream->curve);
  }
  this->Attach(std::move(stream), found->second, now_ms);
  this->prefixes.NoteStored(work.prefix_hash, found->second);
}

void FleetState::NoteTokens(std::string_view request, std::int64_t generated,
                            std::int64_t now_ms) {
  const auto found = this->streams.find(request);
  if (found == this->streams.end()) {
    return;
  }
  Engine& engine = *this->engines[found->second.engine];
  Stream& stream = *engine.streams[found->second.position];
  const bool is_first_event =
      generated > 0 && stream.tokens_before_first_event > 0;
  if (is_first_event) {
    const PrefillObservation seen{
        engine.view.engine, std::exchange(stream.tokens_before_first_event, 0),
        now_ms - stream.sent_ms};
    this->ObservePrefill(seen);
    if (this->prefill_observed) {
      this->prefill_observed(seen);
    }
  }
  this->SampleGap(found->second.engine, stream, generated, now_ms);
  engine.view.own_kv += generated - stream.progress.generated;
  stream.progress.generated = generated;
  stream.progress_ms = now_ms;
  stream.had_event_here = true;
  if (is_first_event) {
    this->ReportFreed(engine);
  }
}

// The time before the first event at an engine includes prefill or a copy.
void FleetState::SampleGap(EngineIndex index, const Stream& stream,
                           std::int64_t generated, std::int64_t now_ms) {
  if (!stream.had_event_here || !this->options.measures_speeds) {
    return;
  }
  Engine& engine = *this->engines[index];
  engine.gaps.Add(now_ms - stream.progress_ms,
                  generated - stream.progress.generated,
                  stream.tokens_per_event, now_ms);
  const std::optional<TokenGaps> gaps = engine.gaps.Take(now_ms);
  if (!gaps.has_value()) {
    return;
  }
  const SpeedObservation seen = {engine.view.engine, gaps->typical_us,
                                 gaps->longest_us};
  this->ObserveSpeed(seen);
  if (this->speed_observed) {
    this->speed_observed(seen);
  }
}

void FleetState::ObserveSpeed(const SpeedObservation& seen) {
  const auto found = this->by_name.find(seen.engine);
  if (found == this->by_name.end() || !this->options.measures_speeds) {
    return;
  }
  const std::vector<ServedModel>& models =
      this->engines[found->second]->view.models;
  const std::string model = models.empty() ? "" : models.front().model;
  this->speeds.Observe(found->second, model, seen);
}

// The rate is that of an engine of median speed.
void FleetState::ObservePrefill(const PrefillObservation& seen) {
  const auto found = this->by_name.find(seen.engine);
  const double relative_time = found == this->by_name.end()
                                   ? 1.0
                                   : this->speeds.RelativeTime(found->second);
  this->prefill_rate.Observe(
      seen.tokens, static_cast<std::int64_t>(static_cast<double>(seen.took_ms) /
                                             relative_time));
}

void FleetState::NoteMoved(std::string_view request, std::string_view engine,
                           std::int64_t now_ms) {
  const auto found = this->streams.find(request);
  const auto target = this->by_name.find(engine);
  if (found == this->streams.end() || target == this->by_name.end()) {
    return;
  }
  std::unique_ptr<Stream> stream = this->Detach(found->second, now_ms);
  this->engines[target->second]->forecast_cached_ms = -1;
  this->Attach(std::move(stream), target->second, now_ms);
}

void FleetState::NoteEnded(std::string_view request, StreamEnd end,
                           std::int64_t now_ms) {
  const auto found = this->streams.find(request);
  if (found == this->streams.end()) {
    return;
  }
  const EngineIndex engine = found->second.engine;
  const std::unique_ptr<Stream> stream = this->Detach(found->second, now_ms);
  this->streams.erase(found);
  if (end == StreamEnd::kComplete) {
    this->lengths.Observe(stream->key, stream->progress.generated);
  }
  this->ReportFreed(*this->engines[engine]);
}

void FleetState::Attach(std::unique_ptr<Stream> stream, EngineIndex to,
                        std::int64_t now_ms) {
  Engine& engine = *this->engines[to];
  stream->sent_ms = now_ms;
  stream->progress_ms = now_ms;
  stream->had_event_here = false;
  this->streams[stream->request] =
      StreamLocation{to, static_cast<std::uint32_t>(engine.streams.size())};
  engine.view.own_kv += KvHeldBy(*stream);
  ++engine.view.own_in_flight;
  ++engine.view.own_since_report;
  engine.streams.push_back(std::move(stream));
}

// Also removes ended streams that are too old to matter. Load reports remove
// them too, but some engines never send one.
std::unique_ptr<FleetState::Stream> FleetState::Detach(StreamLocation location,
                                                       std::int64_t now_ms) {
  Engine& engine = *this->engines[location.engine];
  std::unique_ptr<Stream> stream = std::move(engine.streams[location.position]);
  const std::int64_t kv_held = KvHeldBy(*stream);
  RemoveOldEnded(engine, now_ms);
  engine.ended.push_back({now_ms, kv_held});
  engine.view.own_kv -= kv_held;
  --engine.view.own_in_flight;
  engine.forecast_cached_ms = -1;
  this->RemoveStream(engine, location.position);
  return stream;
}

void FleetState::RemoveStream(Engine& engine, std::uint32_t position) {
  auto& list = engine.streams;
  if (position + 1 < list.size()) {
    list[position] = std::move(list.back());
    this->streams[list[position]->request].position = position;
  }
  list.pop_back();
}

void FleetState::RemoveOldEnded(Engine& engine, std::int64_t now_ms) {
  std::erase_if(engine.ended, [now_ms](const RecentlyEndedStream& ended) {
    return ended.ended_ms + kEndedRetentionMs < now_ms;
  });
}

std::int64_t FleetState::KvHeldBy(const Stream& stream) {
  return stream.progress.prompt_tokens + stream.progress.generated;
}

std::int64_t FleetState::OwnPrefillTokens(const Engine& engine) {
  std::int64_t tokens = 0;
  for (const auto& stream : engine.streams) {
    if (stream->tokens_before_first_event > 0) {
      tokens += stream->progress.prompt_tokens;
    }
  }
  return tokens;
}

// ---------------------------------------------------------------- internals

FleetState::Engine* FleetState::FindEngine(std::string_view name) {
  const auto found = this->by_name.find(name);
  if (found == this->by_name.end()) {
    return nullptr;
  }
  return this->engines[found->second].get();
}

FleetState::Engine& FleetState::AddEngine(std::string_view name,
                                          std::int64_t now_ms) {
  if (this->first_engine_ms < 0) {
    this->first_engine_ms = now_ms;
  }
  auto engine = std::make_unique<Engine>();
  engine->view.engine = std::string(name);
  if (now_ms - this->first_engine_ms > kFleetStartupMs) {
    engine->view.slow_start_began_ms = now_ms;
  }
  const EngineIndex index = this->AcquireSlot();
  this->by_name[std::string(name)] = index;
  this->engines[index] = std::move(engine);
  this->UpdatePreferred(index);
  return *this->engines[index];
}

// Engines come and go during a host's lifetime. The slot of one that is gone is
// reused once none of its streams is left.
EngineIndex FleetState::AcquireSlot() {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const Engine& old = *this->engines[i];
    if (!old.view.live && old.streams.empty()) {
      const auto index = static_cast<EngineIndex>(i);
      this->IndexModels(index, old.view.service, {});
      this->prefixes.ForgetEngine(index);
      this->speeds.Forget(index);
      this->by_name.erase(old.view.engine);
      std::erase(this->preferred, index);
      return index;
    }
  }
  this->engines.push_back(nullptr);
  return static_cast<EngineIndex>(this->engines.size() - 1);
}

void FleetState::SubtractOwnWork(Engine& engine, std::int64_t now_ms) const {
  const std::int64_t as_of = engine.view.reported_unix_ms;
  RemoveOldEnded(engine, now_ms);
  int own = 0;
  std::int64_t own_kv = 0;
  int sent_since_report = 0;
  for (const auto& stream : engine.streams) {
    if (stream->sent_ms > as_of) {
      ++sent_since_report;
      continue;
    }
    ++own;
    const std::int64_t generated_since_report =
        std::min(stream->progress.generated,
                 detail::EstimateDecodedTokens(stream->progress_ms - as_of));
    own_kv += stream->progress.prompt_tokens + stream->progress.generated -
              generated_since_report;
  }
  for (const RecentlyEndedStream& ended : engine.ended) {
    if (ended.ended_ms > as_of) {
      ++own;
      own_kv += ended.kv_held;
    }
  }
  const EngineView& view = engine.view;
  engine.view.own_since_report = sent_since_report;
  engine.others_running = std::max(0, view.running + view.waiting - own);
  engine.others_kv = std::max<std::int64_t>(0, view.kv_used - own_kv);
}

void FleetState::IndexModels(EngineIndex index, std::string_view service,
                             const std::vector<ServedModel>& models) {
  EngineView& view = this->engines[index]->view;
  if (view.service == service && view.models == models) {
    return;
  }
  for (const std::string& key : ModelKeysOf(view)) {
    std::erase(this->by_model[key], index);
  }
  view.service = std::string(service);
  view.models = models;
  for (const std::string& key : ModelKeysOf(view)) {
    this->by_model[key].push_back(index);
  }
}

}  // namespace meadowthread
