#include "forwarding/forward_service.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "base/absl_view.h"
#include "base/log_line.h"
#include "net/http_code.h"
#include "net/http_headers.h"

namespace meadowthread {
namespace {

// Limit on unsent data for a host that reads slowly; beyond it, reading from
// the server is paused.
constexpr std::int64_t kSlowReaderBytes = std::int64_t{256} * 1024;

void SendResult(ResponseWriter& writer, std::vector<HttpHeader> headers) {
  ServerResponse response;
  response.http_status = http_code::kUnavailable;
  response.content_type.clear();
  response.headers = std::move(headers);
  writer.SendWhole(response);
}

// Whether the answer's end is marked by its framing, not by the connection's
// end.
bool IsFramed(std::span<const HttpHeader> headers) {
  return !FindHeader(headers, "Content-Length").empty() ||
         !FindHeader(headers, "Transfer-Encoding").empty();
}

}  // namespace

/// @brief One attempt, with the connection to the host that ordered it.
class ForwardService::Call final : public HttpHandler {
 public:
  Call(ForwardService& service, std::int64_t number, std::string server,
       std::unique_ptr<ResponseWriter> writer)
      : service(service),
        number(number),
        server(std::move(server)),
        writer(std::move(writer)) {
    this->writer->OnClosed([this] { this->service.End(this->number); });
    this->writer->OnDrained([this] {
      if (std::exchange(this->paused, false)) {
        this->service.client.SetPaused(this->running, false);
      }
    });
  }
  ~Call() override { this->Cancel(); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start(const HttpRequest& attempt) {
    this->running = this->service.client.Start(attempt, this);
  }

  void Cancel() {
    if (this->running != 0) {
      this->service.client.Cancel(std::exchange(this->running, 0));
    }
  }

  void OnHead(int http_status, std::span<const HttpHeader> headers) override {
    this->has_head = true;
    if (this->service.options.on_head) {
      this->service.options.on_head(this->server, http_status, headers);
    }
    ResponseHead head;
    head.http_status = http_status;
    head.headers = WithoutResult(EndToEndHeaders(headers));
    head.headers.push_back(HeaderOf(IsFramed(headers)
                                        ? ForwardResult::kAnswer
                                        : ForwardResult::kAnswerByClose));
    std::uint64_t length = 0;
    if (absl::SimpleAtoi(AbslView(FindHeader(headers, "Content-Length")),
                         &length)) {
      head.content_length = length;
    }
    this->writer->StartResponse(head);
  }

  void OnData(std::string_view data) override {
    this->writer->Write(data);
    if (this->writer->PendingBytes() > kSlowReaderBytes && !this->paused) {
      this->paused = true;
      this->service.client.SetPaused(this->running, true);
    }
  }

  void OnEnd(const HttpCallResult& end) override {
    this->running = 0;
    NotePath(this->service.monitor, this->server, end, this->has_head);
    if (end.status.ok()) {
      this->writer->FinishStream();
    } else if (this->has_head) {
      this->writer->Abort();
    } else {
      this->Fail(end);
    }
    this->service.End(this->number);
  }

 private:
  void Fail(const HttpCallResult& end) {
    SendResult(*this->writer,
               {HeaderOf(end.request_may_have_left ? ForwardResult::kLost
                                                   : ForwardResult::kNotSent)});
  }

  ForwardService& service;
  std::int64_t number;
  std::string server;
  std::unique_ptr<ResponseWriter> writer;
  HttpCallId running = 0;
  bool has_head = false;
  bool paused = false;
};

ForwardService::ForwardService(ForwardServiceOptions options,
                               HttpClient& client, PathMonitor& monitor,
                               Scheduler& scheduler)
    : options(std::move(options)),
      client(client),
      monitor(monitor),
      scheduler(scheduler) {}

ForwardService::~ForwardService() = default;

ForwardService::Refusal ForwardService::RefusalOf(
    const ForwardOrder& order) const {
  if (!IsSameKey(order.key, this->options.key)) {
    return {"wrong-key"};
  }
  if (this->stopping) {
    return {"stopping"};
  }
  if (this->monitor.IsLost()) {
    return {"path-lost", ForwardRefusal::kPathLost};
  }
  if (this->monitor.IsLost(order.server)) {
    return {"server-unreachable", ForwardRefusal::kServerUnreachable};
  }
  if (this->calls.size() >= this->options.max_running) {
    return {"full", ForwardRefusal::kFull};
  }
  if (!this->options.is_server(order.server)) {
    return {"unknown-server", ForwardRefusal::kServerUnreachable};
  }
  const bool is_in_backoff =
      this->options.is_in_backoff && this->options.is_in_backoff(order.server);
  if (is_in_backoff) {
    return {"server-in-backoff", ForwardRefusal::kServerUnreachable};
  }
  return {};
}

void ForwardService::Serve(const ServerRequest& request,
                           std::unique_ptr<ResponseWriter> writer) {
  const std::optional<ForwardOrder> order = ForwardOrderOf(request);
  const Refusal refusal =
      order.has_value() ? this->RefusalOf(*order) : Refusal{"no-order"};
  LogLine line("forwarded");
  line.Add("request",
           order.has_value() ? FindHeader(request.headers, order->echo) : "")
      .Add("from", order.has_value() ? order->from : "")
      .Add("peer", request.peer)
      .Add("server", order.has_value() ? order->server : "")
      .Add("why_not", refusal.reason);
  if (!refusal.reason.empty()) {
    line.WriteImportant();
    SendResult(*writer,
               {HeaderOf(ForwardResult::kNotTaken), HeaderOf(refusal.why)});
    return;
  }
  line.Write();
  const std::int64_t number = ++this->last_number;
  auto call =
      std::make_unique<Call>(*this, number, order->server, std::move(writer));
  Call& begun = *call;
  this->calls.emplace(number, std::move(call));
  begun.Start(DecodeForward(request, *order, this->options.authority));
}

void ForwardService::End(std::int64_t number) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    return;
  }
  found->second->Cancel();
  this->ended.push_back(std::move(found->second));
  this->calls.erase(found);
  this->scheduler.After(0, this->life.Guarded([this] { this->ended.clear(); }));
}

}  // namespace meadowthread
