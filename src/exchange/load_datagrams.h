#ifndef MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_

#include <QHostAddress>
#include <QUdpSocket>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "exchange/load_note.h"

namespace meadowthread {

/// @brief One host's notes as they travel.
struct LoadDatagram {
  std::string host;
  std::vector<EngineLoadNote> notes;
};

/// @brief The datagram's bytes (CBOR).
std::string EncodeLoads(const LoadDatagram& datagram);

/// @brief Reads a datagram; whatever its bytes are, it gives notes or an error.
absl::StatusOr<LoadDatagram> DecodeLoads(std::string_view bytes);

/// @brief Where another host takes load notes.
struct LoadPeer {
  std::string name;
  std::string address;  ///< an IP number
  std::uint16_t port = 0;
};

/// @brief How often notes are told.
struct LoadDatagramSettings {
  std::int64_t period_ms = 120;
  /// Sent by this host, headers included; with many peers notes are told less
  /// often.
  std::int64_t bytes_per_second = 20'000;
  std::size_t notes = 32;  ///< most in a datagram
};

/// @brief Tells all other hosts what this one has at each engine, by UDP: one
/// that is lost is made good by the next.
class LoadDatagrams {
 public:
  /// @param[in] source,sink,clock,scheduler outlive this
  LoadDatagrams(std::string_view host, const LoadDatagramSettings& settings,
                LoadSource& source, LoadSink& sink, const Clock& clock,
                Scheduler& scheduler);
  LoadDatagrams(const LoadDatagrams&) = delete;
  LoadDatagrams& operator=(const LoadDatagrams&) = delete;

  /// @brief Listens and begins to tell.
  absl::Status Start(std::string_view address, std::uint16_t port);

  void SetPeers(std::span<const LoadPeer> peers);

 private:
  void TellLater(std::int64_t delay_ms);
  void Tell();
  void Take();

  std::string host;
  LoadDatagramSettings settings;
  LoadSource& source;
  LoadSink& sink;
  const Clock& clock;
  Scheduler& scheduler;
  std::vector<LoadPeer> peers;
  QUdpSocket socket;
  bool told_any = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_LOAD_DATAGRAMS_H_
