#include "hosts/host_list_poller.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "net/http_code.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{16} * 1024 * 1024;
constexpr std::int64_t kTimeoutMs = 2000;

}  // namespace

HostListPoller::HostListPoller(HttpClient& client, Scheduler& scheduler,
                               HostDirectory& directory, std::string_view url,
                               std::int64_t period_ms)
    : client(client),
      scheduler(scheduler),
      directory(directory),
      url(url),
      period_ms(period_ms) {}

void HostListPoller::Start() { this->Poll(); }

void HostListPoller::Poll() {
  HttpRequest request;
  request.url = this->url;
  request.total_timeout_ms = kTimeoutMs;
  Fetch(this->client, request, kMaxAnswerBytes,
        [this](const FetchResult& fetched) {
          this->OnFetched(fetched);
          this->scheduler.After(this->period_ms, [this] { this->Poll(); });
        });
}

// If the list cannot be read, the last one stays in use. Any list may be out of
// date, so hosts are asked directly for what the list lacks.
void HostListPoller::OnFetched(const FetchResult& fetched) {
  absl::Status status = fetched.end.status;
  if (status.ok() && fetched.response.http_status != http_code::kOk) {
    status = absl::UnavailableError(
        absl::StrCat("answered HTTP status ", fetched.response.http_status));
  }
  if (status.ok()) {
    const absl::StatusOr<HostList> list = DecodeHostList(fetched.response.body);
    status = list.status();
    if (list.ok()) {
      this->directory.Apply(*list);
      this->LogSkippedEntries(*list);
    }
  }
  if (status.ok() == this->failing) {
    this->failing = !status.ok();
    LogLine line("host-list");
    line.Add("state", status.ok() ? "readable" : "unreadable")
        .Add("why", std::string{status.message()})
        .Write();
  }
}

// Logs only when the number of skipped entries changes, because the list is
// read repeatedly.
void HostListPoller::LogSkippedEntries(const HostList& list) {
  if (std::exchange(this->skipped_entries, list.skipped_entries) !=
      list.skipped_entries) {
    LogLine("host-list-passed-over")
        .Add("entries", list.skipped_entries)
        .Add("first", list.first_error)
        .WriteImportant();
  }
}

}  // namespace meadowthread
