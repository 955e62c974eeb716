#include "permits/named_rates.h"

#include <algorithm>

#include "base/log_line.h"

namespace meadowthread {
namespace {

// Servers about which peers may tell before their entries are known here. Far
// more than any fleet has.
constexpr std::size_t kMaxServers = 50'000;
constexpr std::int64_t kMalformedLogPeriodMs = 10'000;

bool IsLower(double per_s, double than_per_s) {
  return per_s > 0.0 && (than_per_s <= 0.0 || per_s < than_per_s);
}

void LogChange(std::string_view server, double before_per_s, double per_s,
               RateSource source) {
  LogLine("server-rate")
      .Add("server", server)
      .Add("per_s", per_s)
      .Add("before_per_s", before_per_s)
      .Add("source", source == RateSource::kAnswer ? "answer" : "peer")
      .WriteImportant();
}

}  // namespace

bool NamedRates::Apply(std::string_view server, const RateStatement& statement,
                       RateSource source) {
  const auto found = this->statements.find(server);
  if (found == this->statements.end()) {
    if (statement.per_s <= 0.0 || this->statements.size() >= kMaxServers) {
      return false;
    }
    this->statements.emplace(server, statement);
    LogChange(server, 0.0, statement.per_s, source);
    return true;
  }
  RateStatement& known = found->second;
  const bool is_later = statement.from_ms >= known.until_ms;
  const bool is_earlier = statement.until_ms <= known.from_ms;
  const bool holds =
      is_later || (!is_earlier && IsLower(statement.per_s, known.per_s));
  if (!holds) {
    if (statement.per_s == known.per_s) {
      known.from_ms = std::max(known.from_ms, statement.from_ms);
      known.until_ms = std::max(known.until_ms, statement.until_ms);
    }
    return false;
  }
  const double before_per_s = known.per_s;
  known = statement;
  if (before_per_s == statement.per_s) {
    return false;
  }
  LogChange(server, before_per_s, statement.per_s, source);
  return true;
}

bool NamedRates::ApplyAnswer(const RateAnswer& answer, std::int64_t now_ms) {
  const bool names = answer.rate.kind == NamedRate::Kind::kNamed;
  if (answer.rate.kind == NamedRate::Kind::kMalformed) {
    this->NoteMalformed(answer.server, now_ms);
    return false;
  }
  // Most servers never name a rate, and a rejection that names none does not
  // end the rate that other answers name.
  if (!names && (!answer.ran || this->Find(answer.server) == nullptr)) {
    return false;
  }
  const double per_s =
      names ? std::clamp(answer.rate.per_s, kMinNamedPerS, kMaxNamedPerS) : 0.0;
  return this->Apply(answer.server, {per_s, answer.sent_ms, now_ms},
                     RateSource::kAnswer);
}

void NamedRates::NoteMalformed(std::string_view server, std::int64_t now_ms) {
  ++this->malformed;
  if (this->malformed_logged_ms.has_value() &&
      now_ms - *this->malformed_logged_ms < kMalformedLogPeriodMs) {
    return;
  }
  LogLine("server-rate-malformed")
      .Add("server", server)
      .Add("answers", this->malformed)
      .WriteImportant();
  this->malformed = 0;
  this->malformed_logged_ms = now_ms;
}

const RateStatement* NamedRates::Find(std::string_view server) const {
  const auto found = this->statements.find(server);
  return found == this->statements.end() ? nullptr : &found->second;
}

std::optional<double> NamedRates::RateOf(std::string_view server) const {
  const RateStatement* const known = this->Find(server);
  return known == nullptr || known->per_s <= 0.0 ? std::nullopt
                                                 : std::optional(known->per_s);
}

void NamedRates::Remove(std::string_view server) {
  const auto found = this->statements.find(server);
  if (found != this->statements.end()) {
    this->statements.erase(found);
  }
}

std::size_t NamedRates::Count() const {
  return static_cast<std::size_t>(std::count_if(
      this->statements.begin(), this->statements.end(),
      [](const auto& entry) { return entry.second.per_s > 0.0; }));
}

}  // namespace meadowthread
