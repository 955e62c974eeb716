#include "net/curl_call.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace meadowthread::detail {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr int kFirstFinalStatus = 200;

}  // namespace

CurlCall::CurlCall(HttpCallId id, const HttpRequest& request,
                   HttpHandler* handler)
    : easy(curl_easy_init()),
      id(id),
      handler(handler),
      url(request.url),
      body(request.body) {
  this->SetOptions(request);
  this->SetTimeouts(request);
}

CurlCall::~CurlCall() {
  curl_easy_cleanup(this->easy);
  curl_slist_free_all(this->header_list);
}

void CurlCall::SetOptions(const HttpRequest& request) {
  curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(this->easy, CURLOPT_URL, this->url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  // An environment's proxy would stand between us and a peer named by number.
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (!this->body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->body.data());
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->body.size()));
  }
  // "Expect: 100-continue" would hold a body back for a second.
  this->header_list = curl_slist_append(this->header_list, "Expect:");
  for (const HttpHeader& header : request.headers) {
    this->header_list = curl_slist_append(
        this->header_list,
        absl::StrCat(header.name, ": ", header.value).c_str());
  }
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->header_list);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &CurlCall::OnHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &CurlCall::OnBody);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION,
                   &CurlCall::OnBeforeRequest);
  curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
  if (request.send_once) {
    // On a reused connection that turns out dead libcurl sends a second time.
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

void CurlCall::SetTimeouts(const HttpRequest& request) {
  curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request.connect_timeout_ms));
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.total_timeout_ms));
  if (request.idle_timeout_ms > 0) {
    const std::int64_t seconds =
        std::max<std::int64_t>(1, request.idle_timeout_ms / kMsPerSecond);
    curl_easy_setopt(this->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_LOW_SPEED_TIME,
                     static_cast<long>(seconds));
  }
}

std::size_t CurlCall::OnHeader(char* data, std::size_t size, std::size_t count,
                               void* self) {
  static_cast<CurlCall*>(self)->ReadHeaderLine({data, size * count});
  return size * count;
}

void CurlCall::ReadHeaderLine(std::string_view line) {
  const std::string text(
      absl::StripAsciiWhitespace(absl::string_view(line.data(), line.size())));
  if (text.rfind("HTTP/", 0) == 0) {
    this->headers.clear();
    const std::size_t space = text.find(' ');
    int status = 0;
    if (space != std::string::npos &&
        absl::SimpleAtoi(text.substr(space + 1, 3), &status)) {
      this->http_status = status;
    }
    return;
  }
  if (text.empty()) {
    if (this->http_status >= kFirstFinalStatus && this->handler != nullptr) {
      this->handler->OnHead(this->http_status, this->headers);
    }
    return;
  }
  const std::size_t colon = text.find(':');
  if (colon != std::string::npos) {
    this->headers.push_back(
        {text.substr(0, colon),
         std::string(absl::StripAsciiWhitespace(text.substr(colon + 1)))});
  }
}

std::size_t CurlCall::OnBody(char* data, std::size_t size, std::size_t count,
                             void* self) {
  auto* call = static_cast<CurlCall*>(self);
  if (call->handler == nullptr) {
    return CURL_WRITEFUNC_ERROR;
  }
  call->handler->OnData({data, size * count});
  return call->handler == nullptr ? CURL_WRITEFUNC_ERROR : size * count;
}

// Called once the connection stands and before the request's first byte: the
// last moment at which "nothing was sent" is certain.
int CurlCall::OnBeforeRequest(void* self, char* /*remote*/, char* /*local*/,
                              int /*remote_port*/, int /*local_port*/) {
  static_cast<CurlCall*>(self)->request_may_have_left = true;
  return CURL_PREREQFUNC_OK;
}

void CurlCall::SetPaused(bool paused) {
  curl_easy_pause(this->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

void CurlCall::End(CURLcode code) {
  if (this->handler == nullptr) {
    return;
  }
  HttpEnd end;
  end.status = this->StatusOf(code);
  end.http_status = this->http_status;
  end.request_may_have_left = this->request_may_have_left;
  HttpHandler* told = this->handler;
  this->handler = nullptr;
  told->OnEnd(end);
}

absl::Status CurlCall::StatusOf(CURLcode code) const {
  if (code == CURLE_OK) {
    return absl::OkStatus();
  }
  ErrorDetail detail;
  detail.peer = this->url;
  detail.step = this->request_may_have_left ? "read-answer" : "connect";
  if (!this->request_may_have_left) {
    detail.id = ErrorId::kConnectFailed;
  } else if (code == CURLE_OPERATION_TIMEDOUT) {
    detail.id = ErrorId::kPeerSilent;
  } else {
    detail.id = ErrorId::kConnectionLost;
  }
  return MakeError(absl::StatusCode::kUnavailable, detail,
                   curl_easy_strerror(code));
}

}  // namespace meadowthread::detail
