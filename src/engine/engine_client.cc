#include "engine/engine_client.h"

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/error.h"
#include "net/http_code.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxControlBytes = std::size_t{1024} * 1024;

std::string GenerationUrl(const EngineAddress& engine,
                          std::string_view generation) {
  return absl::StrCat(engine.base_url, "/v1/generations/",
                      AbslView(generation));
}

}  // namespace

std::unique_ptr<EngineStream> EngineClient::Start(
    const EngineAddress& engine, const GenerationRequest& request,
    GenerationSink& sink) {
  HttpRequest http;
  http.method = "POST";
  http.url = absl::StrCat(engine.base_url, "/v1/generations");
  http.headers = {{"Content-Type", "application/json"},
                  {"Accept", "text/event-stream"}};
  http.body = EncodeGenerationRequest(request);
  http.connect_timeout_ms = this->limits.connect_timeout_ms;
  http.idle_timeout_ms = this->limits.idle_timeout_ms;
  http.send_once = true;
  http.reuse_idle_ms = 0;
  auto stream =
      std::make_unique<EngineStream>(this->client, engine.engine, sink);
  stream->Open(http);
  return stream;
}

std::unique_ptr<EngineStream> EngineClient::Resume(const EngineAddress& engine,
                                                   std::string_view generation,
                                                   std::int64_t from,
                                                   GenerationSink& sink) {
  HttpRequest http;
  http.url = absl::StrCat(GenerationUrl(engine, generation), "?from=", from);
  http.headers = {{"Accept", "text/event-stream"}};
  http.connect_timeout_ms = this->limits.connect_timeout_ms;
  http.idle_timeout_ms = this->limits.idle_timeout_ms;
  auto stream =
      std::make_unique<EngineStream>(this->client, engine.engine, sink);
  stream->Open(http);
  return stream;
}

void EngineClient::Cancel(const EngineAddress& engine,
                          std::string_view generation) {
  HttpRequest http;
  http.method = "DELETE";
  http.url = GenerationUrl(engine, generation);
  http.connect_timeout_ms = this->limits.connect_timeout_ms;
  http.total_timeout_ms = this->limits.control_timeout_ms;
  Fetch(this->client, http, kMaxControlBytes, [](const FetchResult&) {});
}

void EngineClient::ReadLoad(const EngineAddress& engine, const LoadDone& done) {
  HttpRequest http;
  http.url = absl::StrCat(engine.base_url, "/v1/load");
  http.connect_timeout_ms = this->limits.connect_timeout_ms;
  http.total_timeout_ms = this->limits.control_timeout_ms;
  const std::string name = engine.engine;
  Fetch(this->client, http, kMaxControlBytes,
        [done, name](const FetchResult& fetched) {
          if (!fetched.end.status.ok()) {
            done(fetched.end.status);
            return;
          }
          if (fetched.response.http_status != http_code::kOk) {
            ErrorDetail detail;
            detail.id = ErrorId::kRejectedByPeer;
            detail.step = "read-load-report";
            detail.peer = name;
            done(MakeError(absl::StatusCode::kUnavailable, detail,
                           absl::StrCat("the engine answered ",
                                        fetched.response.http_status)));
            return;
          }
          done(DecodeLoadReport(fetched.response.body, name));
        });
}

}  // namespace meadowthread
