#include "engine/engine_stream.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"
#include "net/http_code.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxErrorBytes = std::size_t{16} * 1024;
constexpr std::int64_t kMsPerSecond = 1000;

using nlohmann::json;

bool IsToken(const json& data) {
  return data.contains("i") && data["i"].is_number_integer() &&
         data.contains("t") && data["t"].is_string() && data.contains("g") &&
         data["g"].is_string();
}

}  // namespace

EngineStream::EngineStream(HttpClient& client, std::string_view engine,
                           GenerationSink& sink)
    : client(client), engine(engine), sink(&sink), parser(kMaxEventBytes) {}

EngineStream::~EngineStream() { this->Close(); }

void EngineStream::Close() {
  this->sink = nullptr;
  if (this->call != 0) {
    this->client.Cancel(this->call);
    this->call = 0;
  }
}

void EngineStream::Open(const HttpRequest& request) {
  this->call = this->client.Start(request, this);
}

void EngineStream::SetPaused(bool paused) {
  if (this->call != 0) {
    this->client.SetPaused(this->call, paused);
  }
}

void EngineStream::OnHead(int status, std::span<const HttpHeader> headers) {
  this->http_status = status;
  const std::string seconds(FindHeader(headers, "Retry-After"));
  std::int64_t value = 0;
  if (absl::SimpleAtoi(seconds, &value)) {
    this->retry_after_ms = value * kMsPerSecond;
  }
}

void EngineStream::OnData(std::string_view data) {
  if (this->sink == nullptr) {
    return;
  }
  if (this->http_status != http_code::kOk) {
    if (this->error_body.size() < kMaxErrorBytes) {
      this->error_body.append(data);
    }
    return;
  }
  if (!this->parser.Feed(data, *this) && this->sink != nullptr) {
    this->CloseMalformed("an event is longer than its limit");
  }
}

void EngineStream::OnSseEvent(const SseEvent& event) {
  if (this->sink == nullptr) {
    return;
  }
  const json data = json::parse(event.data, nullptr, false);
  if (!data.is_object()) {
    this->CloseMalformed("an event's data is not a JSON object");
    return;
  }
  if (event.name == "start") {
    this->sink->OnGenerationStarted(StringOr(data, "generation", ""));
  } else if (event.name == "end") {
    this->sink->OnFinished({StringOr(data, "g", ""), IntOr(data, "count", -1),
                            StringOr(data, "finish", "stop")});
  } else if (event.name == "lost") {
    this->sink->OnLost(StringOr(data, "g", ""), StringOr(data, "reason", ""));
  } else if (event.name == "replaced") {
    this->sink->OnReplaced(StringOr(data, "g", ""));
  } else if (IsToken(data)) {
    this->sink->OnToken({data["g"].get<std::string>(),
                         data["i"].get<std::int64_t>(),
                         data["t"].get<std::string>()});
  } else if (event.name.empty()) {
    this->CloseMalformed("an unnamed event is not a token");
  }
}

void EngineStream::CloseMalformed(std::string_view what) {
  GenerationSink* receiver = this->sink;
  this->Close();
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = "read-stream";
  detail.peer = this->engine;
  StreamClose close;
  close.status = MakeError(absl::StatusCode::kDataLoss, detail, what);
  close.http_status = this->http_status;
  close.may_have_left = true;
  receiver->OnStreamClosed(close);
}

void EngineStream::OnEnd(const HttpCallResult& end) {
  this->call = 0;
  if (this->sink != nullptr) {
    this->sink->OnStreamClosed(this->MakeStreamClose(end));
  }
}

StreamClose EngineStream::MakeStreamClose(const HttpCallResult& end) const {
  StreamClose close;
  close.status = end.status;
  close.http_status = end.http_status;
  close.may_have_left = end.request_may_have_left;
  close.retry_after_ms = this->retry_after_ms;
  // An error status counts as a rejection only if the response is complete. If
  // the connection broke in between, it is unknown whether the request runs.
  if (end.status.ok() && end.http_status >= http_code::kFirstClientError) {
    close.rejected = true;
    const json body = json::parse(this->error_body, nullptr, false);
    close.reason = StringOr(body, "reason", absl::StrCat(end.http_status));
  }
  if (!end.status.ok()) {
    ErrorDetail detail = DetailOf(end.status);
    detail.peer = this->engine;
    close.status =
        MakeError(end.status.code(), detail, std::string{end.status.message()});
  }
  return close;
}

}  // namespace meadowthread
