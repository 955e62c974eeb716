#include "process/caller.h"

#include <memory>

#include "process/process.h"

namespace meadowthread::tests {
namespace {

using nlohmann::json;

constexpr std::size_t kEventLimit = std::size_t{1024} * 1024;
constexpr std::size_t kAnswerLimit = std::size_t{64} * 1024 * 1024;

}  // namespace

void StreamingCaller::Begin(const HttpRequest& http) {
  this->Leave();
  this->parser = SseParser(kEventLimit);
  this->body.clear();
  this->over = false;
  this->done = false;
  this->problem = nullptr;
  this->status = 0;
  this->call = this->client.Start(http, this);
}

void StreamingCaller::Ask(const std::string& base_url, const std::string& key,
                          const std::string& prompt,
                          const std::string& idempotency_key) {
  const json body_json = {
      {"model", "reconcile"}, {"stream", true}, {"prompt", prompt}};
  HttpRequest http = Post(base_url + "/v1/completions", key, body_json.dump(),
                          idempotency_key);
  http.send_once = true;
  this->Begin(http);
}

void StreamingCaller::Resume(const std::string& base_url,
                             const std::string& key) {
  HttpRequest http;
  http.url = base_url + "/v1/answers/resume";
  http.headers = {{"Authorization", "Bearer " + key},
                  {"Meadowthread-Resume-Token", this->resume_token}};
  if (!this->tokens.empty()) {
    http.headers.push_back(
        {"Last-Event-ID", std::to_string(this->tokens.back().index)});
  }
  http.send_once = true;
  this->Begin(http);
}

void StreamingCaller::Leave() {
  if (this->call != 0) {
    this->client.Cancel(this->call);
    this->call = 0;
  }
}

void StreamingCaller::OnHead(int http_status,
                             std::span<const HttpHeader> headers) {
  this->status = http_status;
  const std::string_view token =
      FindHeader(headers, "Meadowthread-Resume-Token");
  if (!token.empty()) {
    this->resume_token = std::string(token);
  }
  this->request = std::string(FindHeader(headers, "Meadowthread-Request"));
}

void StreamingCaller::OnData(std::string_view data) {
  if (this->status == 200) {
    // The parser knows no ids; tokens are told apart by their place instead.
    this->body.append(data);
    std::size_t end = this->body.find("\n\n");
    while (end != std::string::npos) {
      const std::string event = this->body.substr(0, end + 2);
      this->body.erase(0, end + 2);
      const std::size_t id = event.find("id: ");
      this->event_id =
          id == std::string::npos
              ? ""
              : event.substr(id + 4, event.find('\n', id) - id - 4);
      this->parser.Feed(event, *this);
      end = this->body.find("\n\n");
    }
  } else {
    this->body.append(data);
  }
}

void StreamingCaller::OnSseEvent(const SseEvent& event) {
  if (event.data == "[DONE]") {
    this->done = true;
    ++this->terminals;
    return;
  }
  const json data = json::parse(event.data, nullptr, false);
  if (event.name == "error") {
    this->problem = data;
    ++this->terminals;
    return;
  }
  if (!this->event_id.empty()) {
    this->tokens.push_back({std::stoll(this->event_id),
                            data["choices"][0]["text"].get<std::string>()});
  }
}

void StreamingCaller::OnEnd(const HttpCallResult& end) {
  this->call = 0;
  this->over = true;
  if (end.status.ok() && this->status != 200) {
    this->problem = json::parse(this->body, nullptr, false);
    ++this->terminals;
  }
}

std::string StreamingCaller::Outcome() const {
  if (this->done) {
    return "complete";
  }
  return this->problem.is_object() ? this->problem.value("outcome", "") : "cut";
}

bool StreamingCaller::IsExact() const {
  for (std::size_t i = 0; i < this->tokens.size(); ++i) {
    const bool right = this->tokens[i].index == static_cast<std::int64_t>(i) &&
                       this->tokens[i].text == "w" + std::to_string(i) + " ";
    if (!right) {
      return false;
    }
  }
  return true;
}

std::string StreamingCaller::Text() const {
  std::string text;
  for (const ReceivedToken& token : this->tokens) {
    text += token.text;
  }
  return text;
}

FetchResult Call(HttpClient& client, const HttpRequest& request) {
  // Shared with the answer, which may come after the wait was given up.
  const auto answer = std::make_shared<std::optional<FetchResult>>();
  Fetch(client, request, kAnswerLimit,
        [answer](const FetchResult& fetched) { *answer = fetched; });
  WaitFor([&answer] { return answer->has_value(); });
  return answer->value_or(FetchResult{});
}

HttpRequest Post(const std::string& url, const std::string& key,
                 const std::string& body, const std::string& idempotency_key) {
  HttpRequest request;
  request.method = "POST";
  request.url = url;
  request.headers = {{"Authorization", "Bearer " + key},
                     {"Content-Type", "application/json"}};
  if (!idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", idempotency_key});
  }
  request.body = body;
  return request;
}

nlohmann::json JsonOf(const FetchResult& fetched) {
  return json::parse(fetched.response.body, nullptr, false);
}

}  // namespace meadowthread::tests
