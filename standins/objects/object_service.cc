#include "objects/object_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/fault_control.h"
#include "objects/object_wire.h"

namespace meadowthread::standins {
namespace {

constexpr std::chrono::milliseconds kWatchTick{20};
constexpr std::int64_t kMaxWatchMs = 60'000;
constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

}  // namespace

ObjectService::ObjectService(const ObjectOptions& options)
    : table(options.history_revisions),
      write_limit(options.writes_per_second),
      read_limit(options.reads_per_second) {
  this->watch_timer.setInterval(kWatchTick);
  QObject::connect(&this->watch_timer, &QTimer::timeout, this,
                   [this] { this->ServeWatches(); });
}

// 1. routing

void ObjectService::Handle(const Request& request,
                           const ExchangePtr& exchange) {
  if (!request.segments.empty() && request.segments[0] == "standin") {
    this->HandleControl(request, exchange);
  } else if (this->faults.hang) {
    this->hung.push_back(exchange);
  } else if (this->faults.down) {
    ++this->record.calls.unavailable;
    this->Answer(exchange, ErrorReply(503, "unavailable", "an outage"));
  } else {
    this->HandleCall(request, exchange);
  }
}

void ObjectService::HandleControl(const Request& request,
                                  const ExchangePtr& exchange) {
  if (request.PathIs({"standin", "record"})) {
    nlohmann::json body = this->record.ToJson(request.QueryValue("kind"));
    body["revision"] = this->table.Revision();
    exchange->Send(JsonReply(200, body));
    return;
  }
  ApplyFaultControl(request, exchange, [this](const nlohmann::json& change) {
    this->faults.Merge(change);
    if (change.value("compact", false)) {
      this->table.Compact();
    }
    if (change.value("release_delayed", false)) {
      this->ReleaseDelayed();
    }
  });
  this->ServeWatches();
}

void ObjectService::HandleCall(const Request& request,
                               const ExchangePtr& exchange) {
  const bool one_object =
      request.segments.size() == 3 && request.segments[0] == "objects";
  if (one_object && request.method == "GET") {
    ++this->record.calls.get;
    if (!this->RejectIfLimited(&this->read_limit, exchange)) {
      this->Get({request.segments[1], request.segments[2]}, exchange);
    }
  } else if (one_object) {
    this->Write(request, exchange);
  } else if (request.segments.size() == 2 && request.method == "GET" &&
             request.segments[0] == "objects") {
    ++this->record.calls.list;
    if (!this->RejectIfLimited(&this->read_limit, exchange)) {
      this->List(request, exchange);
    }
  } else if (request.segments.size() == 2 && request.method == "GET" &&
             request.segments[0] == "watch") {
    ++this->record.calls.watch;
    if (!this->RejectIfLimited(&this->read_limit, exchange)) {
      this->StartWatch(request, exchange);
    }
  } else {
    this->Answer(exchange, ErrorReply(404, "no_such_call", request.path));
  }
}

bool ObjectService::RejectIfLimited(RateLimit* limit,
                                    const ExchangePtr& exchange) {
  if (limit->Take(this->clock.NowMs())) {
    return false;
  }
  ++this->record.calls.limited;
  Reply reply = ErrorReply(429, "rate", "over the rate limit");
  reply.headers.push_back({"Retry-After", "1"});
  this->Answer(exchange, reply);
  return true;
}

void ObjectService::Answer(const ExchangePtr& exchange, const Reply& reply) {
  if (this->faults.slow_ms <= 0) {
    exchange->Send(reply);
    return;
  }
  QTimer::singleShot(std::chrono::milliseconds(this->faults.slow_ms), this,
                     [exchange, reply] { exchange->Send(reply); });
}

// 2. reads

std::int64_t ObjectService::ReadTimeMs() const {
  return this->clock.NowMs() - this->faults.stale_reads_ms;
}

void ObjectService::Get(const ObjectKey& key, const ExchangePtr& exchange) {
  const std::optional<ObjectVersion> version =
      this->table.Get(key, this->ReadTimeMs());
  if (!version) {
    this->Answer(exchange, ErrorReply(404, "no_such_object", key.name));
    return;
  }
  Reply reply;
  reply.content_type = "application/octet-stream";
  reply.headers.push_back({"ETag", EntityTag(version->version)});
  reply.body = version->value;
  this->Answer(exchange, reply);
}

void ObjectService::List(const Request& request, const ExchangePtr& exchange) {
  const std::int64_t since = request.QueryNumber("since", 0);
  if (this->table.IsTooOld(since)) {
    this->Answer(exchange, ErrorReply(410, "too_old", "list anew from 0"));
    return;
  }
  const ObjectListing listing =
      this->table.List(request.segments[1], since, this->ReadTimeMs());
  this->Answer(exchange, JsonReply(200, ListingJson(listing)));
}

void ObjectService::StartWatch(const Request& request,
                               const ExchangePtr& exchange) {
  PendingWatch watch;
  watch.exchange = exchange;
  watch.kind = request.segments[1];
  watch.since = request.QueryNumber("since", 0);
  const std::int64_t wait_ms = std::clamp<std::int64_t>(
      request.QueryNumber("wait_ms", 0), 0, kMaxWatchMs);
  watch.until_ms = this->clock.NowMs() + wait_ms;
  this->watches.push_back(watch);
  this->watch_timer.start();
  this->ServeWatches();
}

void ObjectService::ServeWatches() {
  if (this->faults.watch_stall || this->faults.hang) {
    return;
  }
  std::erase_if(this->watches, [this](PendingWatch& watch) {
    return this->ServeWatch(&watch);
  });
  if (this->watches.empty()) {
    this->watch_timer.stop();
  }
}

bool ObjectService::ServeWatch(PendingWatch* watch) {
  if (!watch->exchange->IsOpen()) {
    return true;
  }
  if (this->faults.down) {
    this->Answer(watch->exchange, ErrorReply(503, "unavailable", "an outage"));
    return true;
  }
  if (this->table.IsTooOld(watch->since)) {
    this->Answer(watch->exchange, ErrorReply(410, "too_old", "list anew"));
    return true;
  }
  const bool over = this->clock.NowMs() >= watch->until_ms;
  // With stale reads a write becomes visible later than the revision changes,
  // so that an unchanged revision doesn't mean that there is nothing new.
  const bool unchanged = this->faults.stale_reads_ms == 0 &&
                         watch->seen_revision == this->table.Revision();
  if (unchanged && !over) {
    return false;
  }
  watch->seen_revision = this->table.Revision();
  const ObjectListing listing =
      this->table.List(watch->kind, watch->since, this->ReadTimeMs());
  if (listing.items.empty() && !over) {
    return false;
  }
  this->Answer(watch->exchange, JsonReply(200, ListingJson(listing)));
  return true;
}

// 3. writes

void ObjectService::Write(const Request& request, const ExchangePtr& exchange) {
  const bool removes = request.method == "DELETE";
  ++(removes ? this->record.calls.remove : this->record.calls.put);
  if (this->RejectIfLimited(&this->write_limit, exchange)) {
    return;
  }
  if (request.body.size() > kMaxValueBytes) {
    this->Answer(exchange, ErrorReply(413, "too_large", "over 1 MiB"));
    return;
  }
  const std::optional<Condition> condition = ConditionOf(request);
  if (!condition || (!removes && request.method != "PUT")) {
    this->Answer(exchange, ErrorReply(428, "no_condition",
                                      "If-Match or If-None-Match: *"));
    return;
  }
  const ObjectWrite write{{request.segments[1], request.segments[2]},
                          removes ? "" : request.body,
                          *condition,
                          removes};
  const WriteFate fate = this->faults.NextWrite();
  if (fate == WriteFate::kDelayed) {
    this->Delay(write);
  }
  if (fate == WriteFate::kAnswerLost) {
    this->Apply(write);
  }
  if (fate != WriteFate::kNormal) {
    exchange->Abort();
    return;
  }
  const std::optional<std::int64_t> version = this->Apply(write);
  if (!version) {
    ++this->record.calls.conflicts;
    this->Answer(exchange, ErrorReply(412, "condition", "another version"));
    return;
  }
  Reply reply = JsonReply(200, {{"version", *version}});
  reply.headers.push_back({"ETag", EntityTag(*version)});
  this->Answer(exchange, reply);
}

void ObjectService::Delay(const ObjectWrite& write) {
  if (this->faults.delay_writes_ms < 0) {
    this->held_writes.push_back(write);
    return;
  }
  QTimer::singleShot(std::chrono::milliseconds(this->faults.delay_writes_ms),
                     this, [this, write] { this->Apply(write); });
}

void ObjectService::ReleaseDelayed() {
  for (const ObjectWrite& write : std::exchange(this->held_writes, {})) {
    this->Apply(write);
  }
}

std::optional<std::int64_t> ObjectService::Apply(const ObjectWrite& write) {
  const std::int64_t now_ms = this->clock.NowMs();
  const std::optional<std::int64_t> version = this->table.Apply(write, now_ms);
  if (version) {
    this->record.Add(write, *version, now_ms);
    this->ServeWatches();
  }
  return version;
}

}  // namespace meadowthread::standins
