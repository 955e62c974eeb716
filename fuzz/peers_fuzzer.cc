// Fuzzes the parsers of messages from other hosts: datagrams and the calls of
// the state exchange.
#include "allocation/allocation_messages.h"
#include "base/clock.h"
#include "configuration/value_patch.h"
#include "exchange/datagrams.h"
#include "exchange/exchange_message.h"
#include "exchange/load_datagrams.h"
#include "exchange/patch_history.h"
#include "exchange/view_datagrams.h"
#include "fuzz/fuzz_input.h"
#include "permits/permit_messages.h"
#include "quarantine/crash_messages.h"
#include "quarantine/crash_record_table.h"

namespace {

constexpr std::size_t kMaxPatchedBytes = 1'000'000;

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace meadowthread;  // NOLINT(google-build-using-namespace)
  const std::string_view text = fuzz::TextOf(data, size);
  const absl::StatusOr<Datagram> datagram = DecodeDatagram(text);
  if (datagram.ok()) {
    (void)LoadsFrom(datagram->host, datagram->payload);
    (void)PlacementRequestFrom(datagram->payload);
    (void)PlacementResponseFrom(datagram->payload);
    (void)LinkReleaseFrom(datagram->payload);
    (void)GroupPressureFrom(datagram->payload);
    (void)EngineAttemptFrom(datagram->payload);
    (void)ReadingSeenFrom(datagram->payload);
    (void)RateNewsFrom(datagram->payload);
    (void)FullNewsFrom(datagram->payload);
    (void)PermitRequestFrom(datagram->payload);
    (void)PermitResponseFrom(datagram->payload);
    CrashRecordTable book;
    for (const nlohmann::json& one : datagram->payload) {
      const absl::StatusOr<CrashRecord> record = CrashRecordFrom(one);
      if (record.ok()) {
        book.Apply(*record, record->cleared_ms);
      }
    }
    (void)ItemsFrom(datagram->payload);
    const absl::StatusOr<ObjectPatch> patch =
        ObjectPatchFrom(datagram->payload);
    if (patch.ok()) {
      (void)ApplyPatch("a value that the patch may refer to", patch->bytes,
                       kMaxPatchedBytes);
    }
    const absl::StatusOr<std::vector<StoredObject>> items =
        ItemsFromList(datagram->payload);
    if (items.ok()) {
      ManualClock clock{1'000};
      const std::vector<std::string_view> kinds = {"servers", "config"};
      ReplicatedView view(clock, kinds);
      view.ApplyItems(*items);
    }
  }
  (void)DecodeExchange(text, "peer");
  (void)DecodeOffer(text);
  (void)DecodeCrashRecord("0123456789abcdef0123456789abcdef", text);
  return 0;
}
