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
// Interval at which changes are sent: those within one interval share a
// datagram.
constexpr std::int64_t kStepMs = 25;
// Notes of freed capacity sent at once within an interval: of the first event
// and the end of one short run. More would cost a busy host datagrams, and its
// peers hear from it at each interval anyway.
constexpr int kMaxFreedPerInterval = 2;
// Notes in a datagram to every host: those with the most load.
constexpr std::size_t kMaxNotesPerBroadcast = 48;
// As many as fit one packet on most networks.
constexpr std::size_t kMaxNotesPerPacket = 20;
// Upper bound of the engines that a host uses.
constexpr std::size_t kMaxEngines = 4'096;
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
  note->prefill_backlog = value[4].get<std::int64_t>();
  note->copies = value[5].get<int>();
  return true;
}

}  // namespace

json LoadsJson(const std::vector<EngineLoadNote>& notes) {
  json payload = json::array();
  for (const EngineLoadNote& note : notes) {
    payload.push_back({note.engine, note.in_flight, note.reserved_tokens,
                       note.held_tokens, note.prefill_backlog, note.copies});
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
                             LoadSink& sink, const LoadRecipients& audience,
                             const Clock& clock, Scheduler& scheduler)
    : hub(hub),
      source(source),
      sink(sink),
      audience(audience),
      clock(clock),
      scheduler(scheduler) {
  // Stamped on arrival: the age of a note must not depend on another host's
  // clock.
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

void LoadDatagrams::Start() { this->SendAndReschedule(); }

// The source keeps listing an engine for a while after its work has ended, with
// nothing in flight, so that the end counts as a change.
std::vector<EngineLoadNote> LoadDatagrams::Changed(
    const std::vector<EngineLoadNote>& notes) const {
  std::vector<EngineLoadNote> changed;
  for (const EngineLoadNote& note : notes) {
    const bool same = std::any_of(
        this->sent_notes.begin(), this->sent_notes.end(),
        [&note](const EngineLoadNote& old) {
          return old.engine == note.engine && old.in_flight == note.in_flight &&
                 old.prefill_backlog == note.prefill_backlog &&
                 old.copies == note.copies;
        });
    if (!same) {
      changed.push_back(note);
    }
  }
  return changed;
}

bool LoadDatagrams::Send(const std::vector<EngineLoadNote>& notes) {
  if (this->audience.IsEverybody()) {
    return this->hub.SendToAll(kTopic, LoadsJson(notes));
  }
  this->SendToRecipients(notes);
  return true;
}

void LoadDatagrams::SendToRecipients(const std::vector<EngineLoadNote>& notes) {
  std::map<std::string, std::vector<EngineLoadNote>> by_host;
  for (const EngineLoadNote& note : notes) {
    for (const std::string& host : this->audience.HostsFor(note.engine)) {
      by_host[host].push_back(note);
    }
  }
  for (const auto& [host, host_notes] : by_host) {
    for (std::size_t from = 0; from < host_notes.size();
         from += kMaxNotesPerPacket) {
      const auto part = std::span(host_notes)
                            .subspan(from, std::min(kMaxNotesPerPacket,
                                                    host_notes.size() - from));
      this->hub.SendToHost(kTopic, LoadsJson({part.begin(), part.end()}), host);
    }
  }
}

// A caller whose stream has just ended may be at another host some ms later.
// That host must not take the engine for busy then.
void LoadDatagrams::SendFreed(const EngineLoadNote& note) {
  if (this->freed_in_interval >= kMaxFreedPerInterval || !this->Send({note})) {
    return;
  }
  ++this->freed_in_interval;
  const auto sent = std::find_if(
      this->sent_notes.begin(), this->sent_notes.end(),
      [&note](const EngineLoadNote& old) { return old.engine == note.engine; });
  if (sent != this->sent_notes.end()) {
    *sent = note;
  } else {
    this->sent_notes.push_back(note);
  }
}

void LoadDatagrams::SendAndReschedule() {
  this->freed_in_interval = 0;
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<EngineLoadNote> notes = this->source.NotesFor(
      "", this->audience.IsEverybody() ? kMaxNotesPerBroadcast : kMaxEngines);
  const bool all = now_ms - this->all_sent_ms >= kLoadResendMs;
  const std::vector<EngineLoadNote> to_send =
      all ? notes : this->Changed(notes);
  if (!to_send.empty() && this->Send(to_send)) {
    this->sent_notes = std::move(notes);
    this->all_sent_ms = all ? now_ms : this->all_sent_ms;
  }
  this->scheduler.After(
      kStepMs, this->life.Guarded([this] { this->SendAndReschedule(); }));
}

}  // namespace meadowthread
