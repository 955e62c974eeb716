#include "cli/request_timeline.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

/// The phrase that starts the sentence for a known event; its fields follow.
struct EventPhrase {
  std::string_view event;
  std::string_view phrase;
};

constexpr std::array<EventPhrase, 14> kEventPhrases = {{
    {"accept", "accepted"},
    {"queue", "waits in the queue"},
    {"route", "sent to engine"},
    {"attempt-failed", "the attempt failed"},
    {"retry-refused", "not tried again"},
    {"resume", "resumed"},
    {"replay", "answered with the recorded result"},
    {"claim", "claimed"},
    {"result-recorded", "the result was recorded"},
    {"refuse", "refused"},
    {"caller-gone", "the caller went away"},
    {"cancel", "cancelled"},
    {"service", "sent to backend server"},
    {"end", "ended"},
}};

bool IsAttemptOf(std::string_view attempt, std::string_view request) {
  return attempt.size() > request.size() + 1 && attempt.starts_with(request) &&
         (attempt[request.size()] == '.' || attempt[request.size()] == '/');
}

bool IsEarlier(const LogRecord& left, const LogRecord& right) {
  return left.time < right.time;
}

bool HasTime(const LogRecord& record) { return !record.time.empty(); }

}  // namespace

void RequestTimeline::Read(std::istream& log, std::string_view source) {
  std::string line;
  while (std::getline(log, line)) {
    std::optional<LogRecord> record = ReadLogLine(line);
    if (record.has_value() && this->IsAbout(*record)) {
      record->source = std::string(source);
      this->records.push_back(std::move(*record));
    }
  }
}

std::vector<TimelineStep> RequestTimeline::Steps() const {
  std::vector<LogRecord> sorted = this->records;
  // Sorting by time is possible because hosts' clocks differ only slightly. If
  // any line has no time, the lines stay in the order in which they were read.
  if (std::all_of(sorted.begin(), sorted.end(), HasTime)) {
    std::stable_sort(sorted.begin(), sorted.end(), IsEarlier);
  }
  std::vector<TimelineStep> steps;
  steps.reserve(sorted.size());
  for (const LogRecord& record : sorted) {
    steps.push_back({record, DescribeRecord(record)});
  }
  return steps;
}

bool RequestTimeline::IsAbout(const LogRecord& record) const {
  return std::any_of(record.fields.begin(), record.fields.end(),
                     [this](const LogField& field) {
                       const bool is_id_field = field.key == "request" ||
                                                field.key == "attempt" ||
                                                field.key == "original";
                       return is_id_field &&
                              (field.value == this->request ||
                               IsAttemptOf(field.value, this->request));
                     });
}

std::string DescribeRecord(const LogRecord& record) {
  const auto known = std::find_if(kEventPhrases.begin(), kEventPhrases.end(),
                                  [&record](const EventPhrase& phrase) {
                                    return phrase.event == record.event;
                                  });
  std::string sentence =
      known == kEventPhrases.end() ? record.event : std::string(known->phrase);
  // Engine and reason matter most, so they are part of the sentence instead of
  // the field list.
  const std::string engine(record.Field("engine"));
  const std::string why(record.Field("why"));
  if (!engine.empty()) {
    absl::StrAppend(&sentence, record.event == "route" ? " " : " at engine ",
                    engine);
  }
  if (!why.empty()) {
    absl::StrAppend(&sentence, " because: ", why);
  }
  std::string_view separator = "; ";
  for (const LogField& field : record.fields) {
    const bool is_skipped = field.key == "request" || field.key == "engine" ||
                            field.key == "why" || field.value.empty();
    if (!is_skipped) {
      absl::StrAppend(&sentence, std::string(separator), field.key, " ",
                      field.value);
      separator = ", ";
    }
  }
  return sentence;
}

}  // namespace meadowthread
