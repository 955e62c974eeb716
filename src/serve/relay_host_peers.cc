// What a relay host shares with other hosts of its servers: permits, attempts
// that it sends for them or they for it, and what it can't reach.
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serve/detail/relay_host_impl.h"

namespace meadowthread {
namespace {

// Time for further failures to show that it is the path that is lost. A call
// fails at several servers within it if connections are refused.
constexpr std::int64_t kPathConfirmMs = 100;
// An attempt may hold a quarter of a megabyte for a host that reads slowly.
// With this many, those of other hosts take an eighth of the memory.
constexpr std::int64_t kMemoryMbPerAttempt = 2;

}  // namespace

// A key that no caller can guess.
std::string RelayHost::Impl::MakeForwardKey() {
  constexpr int kWords = 4;
  std::random_device device;
  std::string key;
  for (int word = 0; word < kWords; ++word) {
    absl::StrAppend(&key, absl::Hex(device(), absl::kZeroPad8));
  }
  return key;
}

std::vector<std::string> RelayHost::Impl::PermitHosts() const {
  std::vector<std::string> names;
  for (const AllocatorHost& host : this->AllocatorHosts()) {
    names.push_back(host.name);
  }
  return names;
}

// The hosts that may send to servers for this one. A request may be held to
// regions, so that its body must not go to a host of another region.
std::vector<ForwardPeer> RelayHost::Impl::FitForwardPeers() const {
  std::vector<ForwardPeer> fit;
  for (const ForwardPeer& peer : this->forward_peers) {
    if (this->stop_datagrams.AvailableInMs(peer.name) <= 0) {
      fit.push_back(peer);
    }
  }
  return fit;
}

bool RelayHost::Impl::AcceptsRequests(std::string_view address) const {
  const Backend* const backend = this->backends.FindByAddress(address);
  return backend != nullptr && backend->AcceptsNewRequests();
}

std::vector<std::string> RelayHost::Impl::ServerAddresses() const {
  std::vector<std::string> addresses;
  for (const Backend* const backend : this->backends.All()) {
    if (!backend->leaving) {
      addresses.push_back(backend->entry.address);
    }
  }
  return addresses;
}

ForwardServiceOptions RelayHost::Impl::ForwardOptions() {
  ForwardServiceOptions options;
  options.key = this->forward_key;
  options.authority = absl::StrCat(this->settings.host.address, ":",
                                   this->settings.listen.loads_port);
  options.max_running = static_cast<std::size_t>(
      this->settings.bounds.memory_mb / kMemoryMbPerAttempt);
  options.is_server = [this](std::string_view address) {
    return this->backends.FindByAddress(address) != nullptr;
  };
  options.is_in_backoff = [this](std::string_view address) {
    const Backend* const server = this->backends.FindByAddress(address);
    return server != nullptr && this->backoffs.RemainingMs(
                                    server->key, this->clock.MonotonicMs()) > 0;
  };
  options.on_head = [this](std::string_view address, int http_status,
                           std::span<const HttpHeader> headers) {
    this->NoteForwardedHead(address, http_status, headers);
  };
  return options;
}

void RelayHost::Impl::NoteForwardedHead(std::string_view address,
                                        int http_status,
                                        std::span<const HttpHeader> headers) {
  const Backend* const server = this->backends.FindByAddress(address);
  const BackendProtocol& wire = this->platform.Backends();
  if (server != nullptr &&
      wire.Read(http_status, headers) != AnswerMeaning::kOtherInstance) {
    ApplyNotice({this->clock, this->backoffs, this->backends}, server->key,
                wire.NoticeIn(http_status, headers));
  }
}

// What a host can't reach is not told to others at once: by then it may be
// known that the host itself has lost its path, which says nothing about the
// server.
void RelayHost::Impl::ReportAttempt(const HealthUpdate& update) {
  const EngineAttempt attempt = {std::string(update.id),
                                 static_cast<int>(update.result)};
  if (update.result != AttemptResult::kUnreachable) {
    this->allocation.ReportAttempt(attempt);
    return;
  }
  this->scheduler.After(kPathConfirmMs, [this, attempt] {
    const Backend* const backend = this->backends.Find(attempt.engine);
    if (backend == nullptr || !this->path.IsLost(backend->entry.address)) {
      this->allocation.ReportAttempt(attempt);
    }
  });
}

void RelayHost::Impl::SetPathStates() {
  const auto set = [this](std::string_view what, auto value) {
    this->metrics.SetState(what, static_cast<double>(value));
  };
  set("path_lost", this->path.IsLost() ? 1 : 0);
  set("server_paths_lost", this->path.LostPaths());
  set("attempts_forwarded", this->routed_client.Stats().forwarded);
  set("attempts_forwarded_answered", this->routed_client.Stats().answered);
  set("attempts_forwarded_not_sent", this->routed_client.Stats().not_sent);
  set("forwards_taken", this->forward_service.Taken());
  set("forwards_running", this->forward_service.Running());
  set("servers_naming_a_rate", this->permits.LimitedServers());
  set("servers_in_backoff", this->backoffs.Count(this->clock.MonotonicMs()));
  set("shares_borrowed", this->share_loans.Borrowed());
  set("shares_lent", this->share_loans.Lent());
  set("permits_granted", this->permits.Stats().granted);
  set("permits_refused", this->permits.Stats().refused);
  set("permits_without_granting_host", this->permits.Stats().fallback);
}

}  // namespace meadowthread
