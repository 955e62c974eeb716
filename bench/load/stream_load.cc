// Opens many streams at once, against an entry host or straight against an
// engine stand-in, and tells the times between tokens. Timing is reported here
// and judged nowhere.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "net/pooled_client.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

constexpr double kNsPerMs = 1e6;
constexpr std::string_view kIdField = "id: ";

/// @brief What one run of the tool is asked for.
struct LoadPlan {
  std::string url;
  std::string key;
  bool straight_to_engine = false;
  int streams = 100;
  int tokens = 200;
  int ramp_ms = 2000;
};

/// @brief Gaps between tokens of all streams, nanoseconds.
struct Gaps {
  std::vector<std::int64_t> between;
  std::vector<std::int64_t> first;
  std::int64_t tokens = 0;
  int complete = 0;
  int failed = 0;
};

/// @brief One stream; counts events by their id lines.
class LoadStream final : public HttpHandler {
 public:
  LoadStream(HttpClient& client, const QElapsedTimer& clock, Gaps& gaps,
             int expected)
      : client(client), clock(clock), gaps(gaps), expected(expected) {}

  void Open(const HttpRequest& request) {
    this->opened_ns = this->clock.nsecsElapsed();
    this->client.Start(request, this);
  }

  void OnHead(int /*status*/, std::span<const HttpHeader>) override {}

  void OnData(std::string_view data) override {
    std::int64_t count = 0;
    std::size_t at = data.find(kIdField);
    while (at != std::string_view::npos) {
      count += at == 0 || data[at - 1] == '\n' ? 1 : 0;
      at = data.find(kIdField, at + 1);
    }
    if (count > 0) {
      this->NoteTokens(count);
    }
  }

  void OnEnd(const HttpCallResult& /*end*/) override {
    this->over = true;
    ++(this->received == this->expected ? this->gaps.complete
                                        : this->gaps.failed);
  }

  bool IsOver() const { return this->over; }

 private:
  void NoteTokens(std::int64_t count) {
    const std::int64_t now = this->clock.nsecsElapsed();
    if (this->received == 0) {
      this->gaps.first.push_back(now - this->opened_ns);
    } else {
      this->gaps.between.push_back((now - this->last_ns) / count);
    }
    this->last_ns = now;
    this->received += count;
    this->gaps.tokens += count;
  }

  HttpClient& client;
  const QElapsedTimer& clock;
  Gaps& gaps;
  std::int64_t expected;
  std::int64_t received = 0;
  std::int64_t opened_ns = 0;
  std::int64_t last_ns = 0;
  bool over = false;
};

HttpRequest MakeRequest(const LoadPlan& plan, int n) {
  HttpRequest request;
  request.method = "POST";
  request.headers = {{"Content-Type", "application/json"}};
  const std::string prompt =
      "[tokens=" + std::to_string(plan.tokens) + "] load " + std::to_string(n);
  nlohmann::json body = {{"model", "reconcile"}, {"prompt", prompt}};
  if (plan.straight_to_engine) {
    request.url = plan.url + "/v1/generations";
    body["request"] = "load-" + std::to_string(n);
    body["workspace"] = "load";
    body["adapter"] = "";
    body["version"] = "7";
    body["max_tokens"] = plan.tokens;
  } else {
    request.url = plan.url + "/v1/completions";
    request.headers.push_back({"Authorization", "Bearer " + plan.key});
    body["stream"] = true;
  }
  request.body = body.dump();
  request.send_once = true;
  return request;
}

/// @brief A process's processor time (ms) and resident memory (KB).
struct ProcessUse {
  std::int64_t cpu_ms = 0;
  std::int64_t resident_kb = 0;
};

ProcessUse UseOf(int pid) {
  ProcessUse use;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(
      text.substr(std::min(text.size(), text.rfind(')') + 2)));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  if (values.size() < 22) {
    return use;
  }
  const std::int64_t ticks = std::stoll(values[11]) + std::stoll(values[12]);
  use.cpu_ms = ticks * 1000 / sysconf(_SC_CLK_TCK);
  use.resident_kb = std::stoll(values[21]) * sysconf(_SC_PAGESIZE) / 1024;
  return use;
}

double Quantile(std::vector<std::int64_t>& values, double q) {
  if (values.empty()) {
    return 0.0;
  }
  const auto at =
      static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return static_cast<double>(values[at]) / kNsPerMs;
}

void Report(const LoadPlan& plan, Gaps& gaps, double seconds,
            const ProcessUse& before, const ProcessUse& peak,
            const ProcessUse& after) {
  const double cpu_s = static_cast<double>(after.cpu_ms - before.cpu_ms) / 1e3;
  const double memory_kb =
      static_cast<double>(peak.resident_kb - before.resident_kb) / plan.streams;
  std::printf(
      "target=%s streams=%d complete=%d failed=%d tokens=%ld seconds=%.2f "
      "tokens_per_s=%.0f cpu_s=%.2f tokens_per_core_s=%.0f kb_per_stream=%.1f "
      "first_ms_p50=%.1f first_ms_p95=%.1f gap_ms_p50=%.2f gap_ms_p95=%.2f "
      "gap_ms_p99=%.2f\n",
      plan.straight_to_engine ? "engine" : "host", plan.streams, gaps.complete,
      gaps.failed, static_cast<long>(gaps.tokens), seconds,
      static_cast<double>(gaps.tokens) / seconds, cpu_s,
      cpu_s > 0 ? static_cast<double>(gaps.tokens) / cpu_s : 0.0, memory_kb,
      Quantile(gaps.first, 0.5), Quantile(gaps.first, 0.95),
      Quantile(gaps.between, 0.5), Quantile(gaps.between, 0.95),
      Quantile(gaps.between, 0.99));
}

int Run(const LoadPlan& plan, int pid) {
  PooledClient client;
  QElapsedTimer clock;
  clock.start();
  Gaps gaps;
  std::vector<std::unique_ptr<LoadStream>> streams;
  const ProcessUse before = UseOf(pid);
  ProcessUse peak = before;
  for (int n = 0; n < plan.streams; ++n) {
    streams.push_back(
        std::make_unique<LoadStream>(client, clock, gaps, plan.tokens));
    LoadStream* stream = streams.back().get();
    QTimer::singleShot(plan.ramp_ms * n / plan.streams, [&plan, stream, n] {
      stream->Open(MakeRequest(plan, n));
    });
  }
  QTimer poll;
  QObject::connect(&poll, &QTimer::timeout, [&] {
    const ProcessUse now = UseOf(pid);
    peak.resident_kb = std::max(peak.resident_kb, now.resident_kb);
    if (gaps.complete + gaps.failed == plan.streams) {
      QCoreApplication::quit();
    }
  });
  poll.start(100);
  QCoreApplication::exec();
  Report(plan, gaps, static_cast<double>(clock.nsecsElapsed()) / 1e9, before,
         peak, UseOf(pid));
  return gaps.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace meadowthread

int main(int argc, char** argv) try {
  QCoreApplication application(argc, argv);
  TCLAP::CmdLine command("Streams at once: times between tokens", ' ', "0.1");
  TCLAP::ValueArg<std::string> url("", "url", "host or engine", true, "", "url",
                                   command);
  TCLAP::ValueArg<std::string> key("", "key", "workspace key", false, "", "key",
                                   command);
  TCLAP::SwitchArg engine("", "engine", "straight to an engine", command);
  TCLAP::ValueArg<int> streams("", "streams", "streams", false, 100, "n",
                               command);
  TCLAP::ValueArg<int> tokens("", "tokens", "tokens each", false, 200, "n",
                              command);
  TCLAP::ValueArg<int> pid("", "pid", "process to look at", false, 0, "id",
                           command);
  command.parse(argc, argv);
  meadowthread::LoadPlan plan;
  plan.url = url.getValue();
  plan.key = key.getValue();
  plan.straight_to_engine = engine.getValue();
  plan.streams = streams.getValue();
  plan.tokens = tokens.getValue();
  return meadowthread::Run(plan, pid.getValue());
} catch (const std::exception& error) {
  std::fprintf(stderr, "stream_load: %s\n", error.what());
  return 2;
}
