#include "exchange/load_datagrams.h"

#include <algorithm>
#include <map>
#include <span>

#include "base/error.h"
#include "base/log_line.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kTopic[] = "loads";
// How soon a change is told: several that come together go together.
constexpr std::int64_t kStepMs = 25;
// All is told again, twice before peers pass old notes over.
constexpr std::int64_t kAllAgainMs = 3'000;
// Notes of a datagram to everybody: the heaviest.
constexpr std::size_t kMostNotes = 48;
// What goes into one packet of most networks.
constexpr std::size_t kNotesTogether = 20;
// A host has no more engines than this in use.
constexpr std::size_t kMostEngines = 4'096;
constexpr std::size_t kNoteFields = 6;

bool ReadNote(const json& value, EngineLoadNote* note) {
  const bool fits =
      value.is_array() && value.size() == kNoteFields && value[0].is_string() &&
      std::all_of(value.begin() + 1, value.end(),
                  [](const json& one) { return one.is_number_integer(); });
  if (!fits) {
    return false;
  }
  note->engine = value[0].get<std::string>();
  note->in_flight = value[1].get<std::int64_t>();
  note->reserved_tokens = value[2].get<std::int64_t>();
  note->held_tokens = value[3].get<std::int64_t>();
  note->reading_tokens = value[4].get<std::int64_t>();
  note->copies = value[5].get<int>();
  return true;
}

}  // namespace

json LoadsJson(const std::vector<EngineLoadNote>& notes) {
  json payload = json::array();
  for (const EngineLoadNote& note : notes) {
    payload.push_back({note.engine, note.in_flight, note.reserved_tokens,
                       note.held_tokens, note.reading_tokens, note.copies});
  }
  return payload;
}

absl::StatusOr<std::vector<EngineLoadNote>> LoadsFrom(std::string_view host,
                                                      const json& payload) {
  std::vector<EngineLoadNote> notes;
  for (const json& one : payload) {
    EngineLoadNote note;
    note.host = std::string(host);
    if (!ReadNote(one, &note)) {
      ErrorDetail detail;
      detail.id = ErrorId::kPeerMalformed;
      detail.step = "read-loads";
      detail.peer = std::string(host);
      return MakeError(absl::StatusCode::kInvalidArgument, detail,
                       "not a list of load notes");
    }
    notes.push_back(std::move(note));
  }
  return notes;
}

LoadDatagrams::LoadDatagrams(DatagramHub& hub, LoadSource& source,
                             LoadSink& sink, const LoadAudience& audience,
                             const Clock& clock, Scheduler& scheduler)
    : hub(hub),
      source(source),
      sink(sink),
      audience(audience),
      clock(clock),
      scheduler(scheduler) {
  // As of now: how old a note is must not rest on another host's clock.
  hub.Register(kTopic, [this](std::string_view host, const json& payload) {
    absl::StatusOr<std::vector<EngineLoadNote>> notes =
        LoadsFrom(host, payload);
    if (!notes.ok()) {
      LogLine("loads-malformed").Add("host", host).WriteImportant();
      return;
    }
    for (EngineLoadNote& note : *notes) {
      note.as_of_unix_ms = this->clock.WallMs();
    }
    this->sink.OnNotes(host, *notes);
  });
}

void LoadDatagrams::Start() { this->Step(); }

// Engines whose work has ended stay among the source's notes for a while, with
// nothing in flight.
std::vector<EngineLoadNote> LoadDatagrams::Changed(
    const std::vector<EngineLoadNote>& notes) const {
  std::vector<EngineLoadNote> changed;
  for (const EngineLoadNote& note : notes) {
    const bool same = std::any_of(
        this->told.begin(), this->told.end(),
        [&note](const EngineLoadNote& old) {
          return old.engine == note.engine && old.in_flight == note.in_flight &&
                 old.reading_tokens == note.reading_tokens &&
                 old.copies == note.copies;
        });
    if (!same) {
      changed.push_back(note);
    }
  }
  return changed;
}

bool LoadDatagrams::Tell(const std::vector<EngineLoadNote>& notes) {
  if (this->audience.IsEverybody()) {
    return this->hub.SendToAll(kTopic, LoadsJson(notes));
  }
  this->TellAudience(notes);
  return true;
}

void LoadDatagrams::TellAudience(const std::vector<EngineLoadNote>& notes) {
  std::map<std::string, std::vector<EngineLoadNote>> by_host;
  for (const EngineLoadNote& note : notes) {
    for (const std::string& host : this->audience.HostsFor(note.engine)) {
      by_host[host].push_back(note);
    }
  }
  for (const auto& [host, told] : by_host) {
    for (std::size_t from = 0; from < told.size(); from += kNotesTogether) {
      const auto part = std::span(told).subspan(
          from, std::min(kNotesTogether, told.size() - from));
      this->hub.SendToOne(kTopic, LoadsJson({part.begin(), part.end()}), host);
    }
  }
}

void LoadDatagrams::Step() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineLoadNote> notes = this->source.NotesFor(
      "", this->audience.IsEverybody() ? kMostNotes : kMostEngines);
  const bool all = now_ms - this->all_told_ms >= kAllAgainMs;
  const std::vector<EngineLoadNote> news = all ? notes : this->Changed(notes);
  if (!news.empty() && this->Tell(news)) {
    this->told = std::move(notes);
    this->all_told_ms = all ? now_ms : this->all_told_ms;
  }
  this->scheduler.After(kStepMs, this->life.Guarded([this] { this->Step(); }));
}

}  // namespace meadowthread
