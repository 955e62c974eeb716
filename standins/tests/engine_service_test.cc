#include <criterion/criterion.h>

#include "engine/engine_pool.h"
#include "engine/engine_wire.h"
#include "tests/http_fixture.h"

namespace meadowthread::standins {
namespace {

/// An engine over HTTP that generates a token about every millisecond.
struct ServedEngine {
  ServedEngine() {
    EngineOptions options;
    options.limits.token_ms = 1;
    options.models = ParseModels("m");
    this->service = std::make_unique<EngineService>(options, "e");
    this->listener = std::make_unique<HttpListener>(this->service.get());
    this->port = this->listener->Listen("127.0.0.1", 0, "engine", "e");
    this->timer.setInterval(1);
    QObject::connect(&this->timer, &QTimer::timeout, &this->timer,
                     [this] { this->service->Tick(); });
    this->timer.start();
  }

  void SetFaults(const std::string& faults) const {
    RawClient caller(this->port);
    caller.Send("POST", "/standin/faults", faults);
    cr_assert(WaitFor([&] { return caller.Got("applied"); }));
  }

  nlohmann::json Record() const {
    RawClient caller(this->port);
    caller.Send("GET", "/standin/record");
    nlohmann::json record;
    cr_assert(WaitFor([&] {
      const std::size_t at = caller.text.find("\r\n\r\n");
      record = at == std::string::npos
                   ? nlohmann::json()
                   : nlohmann::json::parse(caller.text.substr(at + 4), nullptr,
                                           false);
      return record.is_object();
    }));
    return record;
  }

  int argc = 0;
  QCoreApplication application{this->argc, nullptr};
  std::unique_ptr<EngineService> service;
  std::unique_ptr<HttpListener> listener;
  std::uint16_t port = 0;
  QTimer timer;
};

std::string StartOf(const std::string& prompt) {
  return R"({"request":"r1","workspace":"w","model":"m","prompt":")" + prompt +
         "\"}";
}

std::string GenerationIdIn(const std::string& text) {
  const std::string mark = "{\"generation\":\"";
  const std::size_t at = text.find(mark) + mark.size();
  return text.substr(at, text.find('"', at) - at);
}

Test(a_served_engine, streams_every_token_and_keeps_the_connection) {
  const ServedEngine engine;
  RawClient caller(engine.port);
  caller.Send("POST", "/v1/generations", StartOf("[tokens=40]"));
  cr_assert(WaitFor([&] { return caller.Got("\r\n0\r\n\r\n"); }));
  for (int index = 0; index < 40; ++index) {
    cr_assert(caller.Got("\"i\":" + std::to_string(index) + ",\"t\":\"w" +
                         std::to_string(index) + " \"}"));
  }
  cr_assert(caller.Got("\"count\":40,\"finish\":\"stop\""));
  caller.text.clear();
  caller.Send("GET", "/v1/load");
  cr_assert(WaitFor([&] { return caller.Got("\"incarnation\""); }));
}

Test(a_served_engine, replaces_the_previous_reader_by_a_new_one) {
  const ServedEngine engine;
  RawClient old_reader(engine.port);
  old_reader.Send("POST", "/v1/generations", StartOf("[tokens=30000]"));
  cr_assert(WaitFor([&] { return old_reader.Got("\"i\":9,"); }));
  RawClient reader(engine.port);
  reader.Send("GET",
              "/v1/generations/" + GenerationIdIn(old_reader.text) + "?from=5");
  cr_assert(WaitFor([&] { return reader.Got("\"i\":9,"); }));
  cr_assert(reader.Got("\"i\":5,") && !reader.Got("\"i\":4,"));
  cr_assert(WaitFor([&] { return old_reader.IsClosed(); }));
  cr_assert(engine.Record()["attempts"][0]["has_reader"] == true);
}

Test(a_served_engine, detects_that_a_reader_has_disconnected) {
  const ServedEngine engine;
  RawClient reader(engine.port);
  reader.Send("POST", "/v1/generations", StartOf("[tokens=30000]"));
  cr_assert(WaitFor([&] { return reader.Got("\"i\":9,"); }));
  reader.socket.abort();
  cr_assert(WaitFor(
      [&] { return engine.Record()["attempts"][0]["has_reader"] == false; }));
}

Test(a_served_engine, records_refused_and_executed_starts) {
  const ServedEngine engine;
  {
    engine.SetFaults(R"({"refuse_after_read":1})");
    RawClient caller(engine.port);
    caller.Send("POST", "/v1/generations", StartOf("[tokens=3]"));
    cr_assert(WaitFor([&] { return caller.IsClosed(); }));
    const nlohmann::json attempt = engine.Record()["attempts"][0];
    cr_assert(caller.text.empty() && attempt["started"] == false);
    cr_assert(attempt["reason"] == "refused_after_read");
  }
  {
    engine.SetFaults(R"({"refuse_after_read":1,"run":true})");
    RawClient caller(engine.port);
    caller.Send("POST", "/v1/generations", StartOf("[tokens=3]"));
    cr_assert(WaitFor([&] { return caller.IsClosed(); }));
    const nlohmann::json attempt = engine.Record()["attempts"][0];
    cr_assert(caller.text.empty() && attempt["started"] == true);
  }
  {
    engine.SetFaults(R"({"reject":"full"})");
    RawClient caller(engine.port);
    caller.Send("POST", "/v1/generations", StartOf("[tokens=3]"));
    cr_assert(WaitFor([&] { return caller.Got("\"reason\":\"full\""); }));
    cr_assert(caller.Got("429") && engine.Record()["counts"]["rejects"] == 1);
  }
}

Test(a_served_engine, continues_without_readers_and_can_be_resumed) {
  const ServedEngine engine;
  RawClient reader(engine.port);
  reader.Send("POST", "/v1/generations", StartOf("[tokens=600]"));
  cr_assert(WaitFor([&] { return reader.Got("\"i\":9,"); }));
  engine.SetFaults(R"({"close_streams":true})");
  cr_assert(WaitFor([&] { return reader.IsClosed(); }));
  RawClient again(engine.port);
  again.Send("GET",
             "/v1/generations/" + GenerationIdIn(reader.text) + "?from=10");
  cr_assert(WaitFor([&] { return again.Got("\"count\":600"); }));
  engine.SetFaults(R"({"lose_generations":true})");
  RawClient late(engine.port);
  late.Send("GET",
            "/v1/generations/" + GenerationIdIn(reader.text) + "?from=10");
  cr_assert(WaitFor([&] { return late.Got("HTTP/1.1 404"); }));
}

Test(a_served_engine, closes_the_connection_on_a_request_within_a_stream) {
  const ServedEngine engine;
  RawClient caller(engine.port);
  caller.Send("POST", "/v1/generations", StartOf("[tokens=30000]"));
  cr_assert(WaitFor([&] { return caller.Got("\"i\":9,"); }));
  caller.Send("GET", "/v1/load");
  cr_assert(WaitFor([&] { return caller.IsClosed(); }));
  cr_assert(!caller.Got("\"incarnation\""));
  cr_assert(WaitFor(
      [&] { return engine.Record()["attempts"][0]["has_reader"] == false; }));
}

Test(a_stalled_engine, accepts_requests_but_sends_nothing_until_it_continues) {
  const ServedEngine engine;
  engine.SetFaults(R"({"stall":true})");
  RawClient caller(engine.port);
  caller.Send("POST", "/v1/generations", StartOf("[tokens=3]"));
  cr_assert(WaitFor([&] { return !engine.Record()["attempts"].empty(); }));
  cr_assert(caller.text.empty());
  engine.SetFaults(R"({"stall":false})");
  cr_assert(WaitFor([&] { return caller.Got("\"count\":3"); }));
}

}  // namespace
}  // namespace meadowthread::standins
