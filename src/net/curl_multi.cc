#include "net/curl_multi.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace meadowthread::detail {
namespace {

// Idle connections kept for reuse; streams in progress don't count here.
constexpr long kIdleConnections = 256;  // NOLINT(google-runtime-int): libcurl's
constexpr std::size_t kMostEvents = 256;

std::uint32_t EventsOf(int what) {
  std::uint32_t events = 0;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) {
    events |= EPOLLIN;
  }
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) {
    events |= EPOLLOUT;
  }
  return events;
}

int SelectionOf(std::uint32_t events) {
  int selection = 0;
  selection |= (events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
  selection |= (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
  selection |= (events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
  return selection;
}

}  // namespace

CurlMulti::CurlMulti()
    : multi(curl_multi_init()),
      epoll(epoll_create1(EPOLL_CLOEXEC)),
      notifier(std::make_unique<QSocketNotifier>(this->epoll,
                                                 QSocketNotifier::Read)) {
  QObject::connect(this->notifier.get(), &QSocketNotifier::activated, this,
                   [this] { this->TakeEvents(); });
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &CurlMulti::OnSocket);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &CurlMulti::OnTimer);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
  this->timer.setSingleShot(true);
  this->timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&this->timer, &QTimer::timeout, this, [this] {
    this->Act(CURL_SOCKET_TIMEOUT, 0);
    this->Settle();
  });
}

CurlMulti::~CurlMulti() {
  for (const auto& [id, call] : this->calls) {
    call->Silence();
    curl_multi_remove_handle(this->multi, call->Easy());
  }
  this->calls.clear();
  curl_multi_cleanup(this->multi);
  this->notifier.reset();
  close(this->epoll);
}

HttpCallId CurlMulti::Start(const HttpRequest& request, HttpHandler* handler) {
  const HttpCallId id = ++this->last_id;
  auto call = std::make_unique<CurlCall>(id, request, handler);
  CURL* easy = call->Easy();
  this->calls.emplace(id, std::move(call));
  if (this->depth == 0) {
    curl_multi_add_handle(this->multi, easy);
    return id;
  }
  // libcurl refuses to be called from within one of its own callbacks.
  QTimer::singleShot(0, this, [this, id] {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
      curl_multi_add_handle(this->multi, found->second->Easy());
    }
  });
  return id;
}

void CurlMulti::Cancel(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  found->second->Silence();
  if (this->depth == 0) {
    this->Take(id);
  } else {
    this->silenced.push_back(id);
  }
}

void CurlMulti::SetPaused(HttpCallId id, bool paused) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || found->second->IsSilenced()) {
    return;
  }
  // Going on may hand over kept data at once, from within this call.
  ++this->depth;
  found->second->SetPaused(paused);
  --this->depth;
  if (this->depth == 0) {
    this->RemoveSilenced();
  }
}

void CurlMulti::Act(curl_socket_t socket, int events) {
  int running = 0;
  ++this->depth;
  curl_multi_socket_action(this->multi, socket, events, &running);
  --this->depth;
}

// Level-triggered: what does not fit into one turn comes again in the next.
void CurlMulti::TakeEvents() {
  std::array<epoll_event, kMostEvents> events;
  const int count = epoll_wait(this->epoll, events.data(),
                               static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    this->Act(events[i].data.fd, SelectionOf(events[i].events));
  }
  this->Settle();
}

// What could not be done while libcurl was on the stack.
void CurlMulti::Settle() {
  this->FinishCalls();
  this->RemoveSilenced();
}

void CurlMulti::FinishCalls() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    char* self = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &self);
    const HttpCallId id = reinterpret_cast<CurlCall*>(self)->Id();
    const CURLcode code = message->data.result;
    this->Take(id)->End(code);
  }
}

void CurlMulti::RemoveSilenced() {
  const std::vector<HttpCallId> doomed = std::exchange(this->silenced, {});
  for (const HttpCallId id : doomed) {
    this->Take(id);
  }
}

std::unique_ptr<CurlCall> CurlMulti::Take(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return nullptr;
  }
  std::unique_ptr<CurlCall> call = std::move(found->second);
  this->calls.erase(found);
  curl_multi_remove_handle(this->multi, call->Easy());
  return call;
}

void CurlMulti::Watch(curl_socket_t socket, int what) {
  epoll_event event = {};
  event.events = EventsOf(what);
  event.data.fd = socket;
  const bool known = !this->watched.insert(socket).second;
  epoll_ctl(this->epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
}

int CurlMulti::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what,
                        void* self, void* /*socket_data*/) {
  auto* multi = static_cast<CurlMulti*>(self);
  if (what != CURL_POLL_REMOVE) {
    multi->Watch(socket, what);
    return 0;
  }
  multi->watched.erase(socket);
  epoll_ctl(multi->epoll, EPOLL_CTL_DEL, socket, nullptr);
  return 0;
}

// NOLINTNEXTLINE(google-runtime-int): libcurl's signature
int CurlMulti::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* multi = static_cast<CurlMulti*>(self);
  if (timeout_ms < 0) {
    multi->timer.stop();
  } else {
    multi->timer.start(static_cast<int>(timeout_ms));
  }
  return 0;
}

}  // namespace meadowthread::detail
