#include "net/response_writer.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "net/http_headers.h"
#include "net/server_connection.h"

namespace meadowthread {

ResponseWriter::ResponseWriter(
    std::weak_ptr<detail::ServerConnection> connection)
    : connection(std::move(connection)) {}

ResponseWriter::~ResponseWriter() {
  const auto to = this->connection.lock();
  if (to != nullptr && !this->ended) {
    to->EndIncomplete();
  }
}

void ResponseWriter::SendWhole(const ServerResponse& response) {
  const auto to = this->connection.lock();
  if (to == nullptr || this->ended || this->started) {
    return;
  }
  ResponseHead head;
  head.http_status = response.http_status;
  if (!response.content_type.empty()) {
    head.headers.push_back({"Content-Type", response.content_type});
  }
  head.headers.insert(head.headers.end(), response.headers.begin(),
                      response.headers.end());
  head.content_length = response.body.size();
  this->StartResponse(head);
  this->Write(response.body);
  this->FinishStream();
}

void ResponseWriter::StartStream(int http_status, std::string_view content_type,
                                 std::span<const HttpHeader> headers) {
  ResponseHead head;
  head.http_status = http_status;
  head.headers.push_back({"Content-Type", std::string(content_type)});
  head.headers.push_back({"Cache-Control", "no-store"});
  head.headers.insert(head.headers.end(), headers.begin(), headers.end());
  this->StartResponse(head);
}

void ResponseWriter::StartResponse(const ResponseHead& head) {
  const auto to = this->connection.lock();
  if (to == nullptr || this->ended || this->started) {
    return;
  }
  this->started = true;
  this->chunked = to->SendHead(head);
  this->left =
      to->SendsBody(head.http_status) ? head.content_length.value_or(0) : 0;
}

void ResponseWriter::Write(std::string_view data) {
  const auto to = this->connection.lock();
  if (to == nullptr || !this->started || this->ended || data.empty()) {
    return;
  }
  if (this->chunked) {
    to->Send(absl::StrCat(absl::Hex(data.size()), "\r\n"));
    to->Send(data);
    to->Send("\r\n");
    return;
  }
  if (!to->KnowsLength()) {
    to->Send(data);
    return;
  }
  const std::string_view fits = data.substr(0, this->left);
  this->left -= fits.size();
  to->Send(fits);
}

void ResponseWriter::FinishStream() {
  const auto to = this->connection.lock();
  if (to == nullptr || !this->started || this->ended) {
    return;
  }
  this->ended = true;
  if (this->left > 0) {
    to->EndIncomplete();
    return;
  }
  if (this->chunked) {
    to->Send("0\r\n\r\n");
  }
  to->EndResponse();
}

void ResponseWriter::Abort() {
  this->ended = true;
  if (const auto to = this->connection.lock()) {
    to->EndIncomplete();
  }
}

void ResponseWriter::SetRequestId(std::string_view request) {
  if (const auto to = this->connection.lock()) {
    to->SetRequestId(request);
  }
}

std::int64_t ResponseWriter::PendingBytes() const {
  const auto to = this->connection.lock();
  return to == nullptr ? 0 : to->PendingBytes();
}

bool ResponseWriter::IsClosed() const {
  const auto to = this->connection.lock();
  return to == nullptr || to->IsClosed();
}

void ResponseWriter::OnClosed(std::function<void()> told) {
  if (const auto to = this->connection.lock()) {
    to->SetOnClosed(std::move(told));
  }
}

void ResponseWriter::OnDrained(std::function<void()> told) {
  if (const auto to = this->connection.lock()) {
    to->SetOnDrained(std::move(told));
  }
}

}  // namespace meadowthread
