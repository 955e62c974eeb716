#include "serve/fleet_load_adapter.h"

#include <algorithm>
#include <cmath>

#include "exchange/load_datagrams.h"

namespace meadowthread {
namespace {

// Load notes are cached for this long, and all peers are sent the same notes:
// FleetState::OwnLoad reports only once that the last stream at an engine has
// ended, so if it were called for each peer, only one peer would learn of it.
constexpr std::int64_t kRefreshMs = 20;
// For this long, notes still include an engine that has no more streams of this
// host, in case a message with that change was lost: longer than the interval
// at which all notes are sent again, so that one more message tells it.
constexpr std::int64_t kIdleNoteMs = kLoadResendMs + 500;

}  // namespace

namespace detail {

std::vector<std::int64_t> EncodeForecast(const MemoryForecast& forecast) {
  std::vector<std::int64_t> outlook;
  for (const float mean : forecast.mean) {
    outlook.push_back(std::lround(mean));
  }
  for (const float variance : forecast.variance) {
    outlook.push_back(std::lround(std::sqrt(std::max(0.0F, variance))));
  }
  return outlook;
}

bool DecodeForecast(std::span<const std::int64_t> outlook,
                    MemoryForecast* forecast) {
  if (outlook.size() != 2 * kHorizonCount) {
    return false;
  }
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    const auto deviation = static_cast<float>(outlook[kHorizonCount + i]);
    forecast->mean[i] = static_cast<float>(outlook[i]);
    forecast->variance[i] = deviation * deviation;
  }
  return true;
}

}  // namespace detail

EngineLoadNote FleetLoadAdapter::NoteOf(const PeerLoad& load) const {
  EngineLoadNote note;
  note.engine = load.engine;
  note.host = this->host;
  note.in_flight = load.in_flight;
  note.reserved_tokens = std::lround(load.forecast.MaxExpectedTokens());
  note.as_of_unix_ms = load.as_of_unix_ms;
  note.held_tokens = load.kv_held;
  note.prefill_backlog = load.reading;
  note.copies = load.copies;
  note.outlook = detail::EncodeForecast(load.forecast);
  return note;
}

// The cached notes are older than this one and must not be sent after it.
EngineLoadNote FleetLoadAdapter::NoteAt(std::string_view engine) {
  this->refreshed_ms = 0;
  return this->NoteOf(
      this->fleet.OwnLoadAt(this->host, engine, this->clock.WallMs()));
}

void FleetLoadAdapter::Refresh() {
  const std::int64_t now = this->clock.WallMs();
  if (now - this->refreshed_ms < kRefreshMs) {
    return;
  }
  this->refreshed_ms = now;
  std::vector<EngineLoadNote> fresh;
  for (const PeerLoad& load : this->fleet.OwnLoad(this->host, now)) {
    fresh.push_back(this->NoteOf(load));
  }
  for (const EngineLoadNote& old : this->notes) {
    const bool is_included = std::any_of(fresh.begin(), fresh.end(),
                                         [&old](const EngineLoadNote& note) {
                                           return note.engine == old.engine;
                                         });
    const bool idle = old.in_flight == 0;
    if (!is_included && idle && now - old.as_of_unix_ms < kIdleNoteMs) {
      fresh.push_back(old);
    }
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const EngineLoadNote& a, const EngineLoadNote& b) {
              return a.reserved_tokens > b.reserved_tokens;
            });
  this->notes = std::move(fresh);
}

std::vector<EngineLoadNote> FleetLoadAdapter::NotesFor(
    std::string_view /*peer*/, std::size_t limit) {
  this->Refresh();
  const std::size_t count = std::min(limit, this->notes.size());
  return {this->notes.begin(),
          this->notes.begin() + static_cast<std::ptrdiff_t>(count)};
}

void FleetLoadAdapter::OnNotes(std::string_view from,
                               std::span<const EngineLoadNote> received) {
  const std::int64_t now = this->clock.WallMs();
  for (const EngineLoadNote& note : received) {
    PeerLoad load;
    load.peer = std::string(from);
    load.engine = note.engine;
    load.as_of_unix_ms = note.as_of_unix_ms;
    load.in_flight = static_cast<int>(note.in_flight);
    load.kv_held = note.held_tokens;
    load.reading = note.prefill_backlog;
    load.copies = note.copies;
    // A note without an encoded forecast (`outlook`) counts as a flat forecast
    // of its reserved tokens.
    if (note.outlook.empty()) {
      load.forecast.AddFlat(static_cast<double>(note.reserved_tokens));
    } else if (!detail::DecodeForecast(note.outlook, &load.forecast)) {
      continue;
    }
    this->fleet.NotePeerLoad(load, now);
  }
}

}  // namespace meadowthread
