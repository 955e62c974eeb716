// How changes spread over a fleet: real exchange code in virtual time on a fake
// network with packet loss, partitions and frozen hosts.
#include "exchange/exchanger.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "exchange/tests/fake_fleet.h"

namespace meadowthread {
namespace {

using fake::FakeFleet;
using fake::FakeHost;
using fake::ObjectOf;

constexpr std::int64_t kWarmUpMs = 3000;
constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kInForceMs = 5000;

Test(a_change, reaches_every_host_within_a_second) {
  FakeFleet fleet({50, 6, 2}, {}, 1);
  fleet.Run(kWarmUpMs);
  const StoredObject mark = ObjectOf(kMarksKind, "pasig-4", 7);
  fleet.At(0).ReceiveFromStore(mark);
  cr_assert(fleet.RunUntilHeld(0, mark, kSecondMs));
}

Test(a_change, reaches_every_live_host_with_losses_and_a_third_frozen) {
  FakeFleet fleet({48, 6, 2}, {}, 2);
  const int frozen = fleet.Size() / 3;
  for (int host = 0; host < frozen; ++host) {
    fleet.network.Freeze(fleet.NameOf(host));
  }
  fleet.network.SetLoss(0.1);
  fleet.network.SetDelay([](const auto&, const auto&) { return 40; });
  fleet.Run(kWarmUpMs);
  const StoredObject mark = ObjectOf(kMarksKind, "pasig-4", 7);
  fleet.At(frozen).ReceiveFromStore(mark);
  cr_assert(fleet.RunUntilHeld(frozen, mark, kInForceMs));
}

Test(a_change, offered_by_an_operator_is_propagated) {
  FakeFleet fleet({9, 3, 1}, {}, 3);
  fleet.Run(kWarmUpMs);
  const StoredObject mark = ObjectOf(kMarksKind, "makati-1", 9);
  const std::string offer = EncodeOffer(std::vector<StoredObject>{mark});
  cr_assert(*fleet.At(4).exchanger.Offer(offer) == R"({"taken":1})");
  cr_assert(*fleet.At(4).exchanger.Offer(offer) == R"({"taken":0})");
  cr_assert(fleet.RunUntilHeld(0, mark, kSecondMs));
}

Test(a_change, that_every_host_holds_is_not_sent_again) {
  FakeFleet fleet({9, 3, 1}, {}, 3);
  fleet.Run(kWarmUpMs);
  const StoredObject mark = ObjectOf(kMarksKind, "makati-1", 9);
  cr_assert(fleet.At(4)
                .exchanger.Offer(EncodeOffer(std::vector<StoredObject>{mark}))
                .ok());
  fleet.Run(10 * kSecondMs);
  const auto items_sent = [&fleet] {
    std::int64_t sum = 0;
    for (int host = 0; host < fleet.Size(); ++host) {
      sum += fleet.At(host).exchanger.Stats().items_sent;
    }
    return sum;
  };
  const std::int64_t before = items_sent();
  fleet.Run(20 * kSecondMs);
  cr_assert(items_sent() == before);
}

Test(an_older_copy, never_overwrites_a_newer_version) {
  FakeFleet fleet({9, 3, 1}, {}, 4);
  const StoredObject old_template = ObjectOf(kTemplatesKind, "lukot", 3, "old");
  const StoredObject new_template = ObjectOf(kTemplatesKind, "lukot", 8, "new");
  for (int host = 0; host < 8; ++host) {
    fleet.At(host).ReceiveFromStore(new_template);
  }
  fleet.At(8).ReceiveFromStore(old_template);
  cr_assert(fleet.RunUntilHeld(0, new_template, kInForceMs));
  const std::string offer =
      EncodeOffer(std::vector<StoredObject>{old_template});
  cr_assert(fleet.At(0).exchanger.Offer(offer).ok());
  fleet.Run(kInForceMs);
  cr_assert(fleet.Holding(0, new_template) == 9);
}

Test(a_restarted_host, gets_all_objects_from_its_peers) {
  FakeFleet fleet({9, 3, 1}, {}, 5);
  constexpr int kObjects = 400;
  for (int object = 1; object <= kObjects; ++object) {
    fleet.At(0).ReceiveFromStore(ObjectOf(kTemplatesKind,
                                          absl::StrCat("t-", object), object,
                                          std::string(1000, 'x')));
  }
  const StoredObject last =
      ObjectOf(kTemplatesKind, absl::StrCat("t-", kObjects), kObjects);
  cr_assert(fleet.RunUntilHeld(0, last, 20 * kSecondMs));
  fleet.StartHost(5);
  cr_assert(!fleet.At(5).exchanger.HasCaughtUp());
  cr_assert(fleet.RunUntil([&] { return fleet.At(5).exchanger.HasCaughtUp(); },
                           kInForceMs));
  cr_assert(fleet.At(5).view.Live(kTemplatesKind).size() == kObjects);
}

Test(a_restarted_host, without_an_answer_from_any_peer_has_not_caught_up) {
  FakeFleet fleet({3, 3, 1}, {}, 6);
  fleet.network.Freeze("host-1");
  fleet.network.Freeze("host-2");
  fleet.Run(60 * kSecondMs);
  cr_assert(!fleet.At(0).exchanger.HasCaughtUp());
}

Test(full_state, is_not_sent_unrequested_to_a_host_slightly_behind) {
  FakeFleet fleet({2, 1, 1}, {}, 13);
  constexpr int kObjects = 100;
  ObjectList all{kObjects + 50, {}};
  for (int object = 1; object <= kObjects; ++object) {
    all.items.push_back(ObjectOf(kTemplatesKind, absl::StrCat("t-", object),
                                 object, std::string(1000, 'x')));
    fleet.At(1).ReceiveFromStore(all.items.back());
  }
  fleet.At(0).view.ApplyList(kTemplatesKind, 0, all, {});
  fleet.Run(kRequestFullStateAfterMs / 2);
  cr_assert(fleet.At(0).exchanger.Stats().items_sent == 0);
  // There is no other host with a delta, so it requests the full state.
  cr_assert(fleet.RunUntil(
      [&] {
        return fleet.At(1).view.Digest(kTemplatesKind).revision == all.revision;
      },
      2 * kRequestFullStateAfterMs));
  fleet.Run(20 * kSecondMs);
  cr_assert(fleet.At(0).exchanger.Stats().items_sent == kObjects);
}

Test(an_object_too_large_for_a_request, travels_in_answers) {
  FakeFleet fleet({4, 1, 1}, {}, 14);
  const StoredObject small = ObjectOf(kTemplatesKind, "small", 2);
  fleet.At(0).ReceiveFromStore(small);
  cr_assert(fleet.RunUntilHeld(0, small, kInForceMs));
  // JSON escapes each quote, which doubles the size on the network.
  const StoredObject large =
      ObjectOf(kTemplatesKind, "large", 5, std::string(900000, '"'));
  fleet.At(0).ReceiveFromStore(large);
  cr_assert(fleet.RunUntilHeld(0, large, 60 * kSecondMs));
  cr_assert(fleet.network.LargestRequest() < std::size_t{1} << 20);
}

Test(a_partition, heals_soon_after_its_end) {
  FakeFleet fleet({24, 4, 2}, {}, 7);
  fleet.Run(kWarmUpMs);
  const auto side = [](const std::string& host) {
    return std::stoi(host.substr(host.find('-') + 1)) % 2;
  };
  fleet.network.SetDelay([side](const auto& from, const auto& to) {
    return side(from) == side(to) ? 1 : -1;
  });
  fleet.Run(120 * kSecondMs);
  const StoredObject left = ObjectOf(kTemplatesKind, "lukot", 20);
  const StoredObject right = ObjectOf(kMarksKind, "laredo-2", 21);
  fleet.At(0).ReceiveFromStore(left);
  fleet.At(1).ReceiveFromStore(right);
  fleet.Run(10 * kSecondMs);
  cr_assert(fleet.Holding(0, left) == 12 && fleet.Holding(0, right) == 12);
  fleet.network.SetDelay([](const auto&, const auto&) { return 1; });
  cr_assert(fleet.RunUntilHeld(0, left, kInForceMs));
  cr_assert(fleet.RunUntilHeld(0, right, kInForceMs));
}

Test(frozen_peers, cost_few_calls) {
  FakeFleet fleet({9, 3, 1}, {}, 8);
  for (int host = 6; host < 9; ++host) {
    fleet.network.Freeze(fleet.NameOf(host));
  }
  fleet.Run(60 * kSecondMs);
  const std::int64_t failures_before = fleet.At(0).exchanger.Stats().failures;
  const std::int64_t calls_before = fleet.At(0).exchanger.Stats().calls;
  fleet.Run(60 * kSecondMs);
  const ExchangeStats stats = fleet.At(0).exchanger.Stats();
  cr_assert(stats.peers_suspected == 3 && stats.peers_alive == 5);
  const std::int64_t failures = stats.failures - failures_before;
  cr_assert(8 * failures <= stats.calls - calls_before);
  fleet.network.Thaw("host-7");
  cr_assert(fleet.RunUntil(
      [&] { return !fleet.At(0).directory.IsSuspected("host-7"); },
      20 * kSecondMs));
}

Test(the_byte_budget, is_kept_under_a_burst_of_changes) {
  FakeFleet fleet({9, 3, 1}, {}, 9);
  const ExchangeSettings settings;
  constexpr int kSeconds = 120;
  std::int64_t version = 0;
  for (int tick = 0; tick < kSeconds * 10; ++tick) {
    ++version;
    fleet.At(0).ReceiveFromStore(ObjectOf(kTemplatesKind,
                                          absl::StrCat("t-", version % 100),
                                          version, std::string(4000, 'x')));
    fleet.Run(kSecondMs / 10);
  }
  const std::int64_t rate =
      settings.regular_bytes_per_second + settings.bulk_bytes_per_second;
  const std::int64_t burst =
      settings.regular_burst_bytes + settings.bulk_burst_bytes;
  for (int host = 0; host < fleet.Size(); ++host) {
    const ExchangeStats stats = fleet.At(host).exchanger.Stats();
    const std::int64_t messages = 2 * (stats.calls + stats.served);
    const std::int64_t bytes =
        stats.bytes_in + stats.bytes_out + messages * kHttpBytesPerMessage;
    cr_assert(bytes <= rate * kSeconds + burst, "host %d: %ld of %ld", host,
              static_cast<long>(bytes),
              static_cast<long>(rate * kSeconds + burst));
  }
  const StoredObject last =
      ObjectOf(kTemplatesKind, absl::StrCat("t-", version % 100), version);
  cr_assert(fleet.RunUntilHeld(0, last, 120 * kSecondMs));
}

Test(a_malformed_message, is_refused_with_its_field) {
  FakeFleet fleet({2, 1, 1}, {}, 10);
  Exchanger& exchanger = fleet.At(0).exchanger;
  const auto field_of = [&exchanger](std::string_view text) {
    return DetailOf(exchanger.Exchange(text).status()).field;
  };
  cr_assert(DetailOf(exchanger.Exchange("[").status()).id ==
            ErrorId::kMalformedRequest);
  cr_assert(field_of(R"({"views":[]})") == "from");
  cr_assert(field_of(R"({"from":"host-1","views":7})") == "views");
  cr_assert(field_of(R"({"from":"host-1","views":[3]})") == "views");
  cr_assert(field_of(R"({"from":"host-1","views":[{"kind":"marks",)"
                     R"("revision":-1}]})") == "revision");
  cr_assert(field_of(R"({"from":"host-1","views":[{"kind":"marks",)"
                     R"("revision":1,"since":0,"upto":1,)"
                     R"("items":[{"name":"a"}]}]})") == "version");
  cr_assert(DetailOf(exchanger.Offer("{}").status()).field == "items");
  cr_assert(exchanger.Stats().malformed == 7);
}

Test(a_message, from_an_unexpected_host_name_is_rejected) {
  FakeFleet fleet({3, 1, 1}, {}, 11);
  // The address of host-1 now belongs to host-2.
  fleet.network.Attach("host-1", [&fleet](auto, auto params) {
    return fleet.At(2).exchanger.Exchange(params);
  });
  fleet.Run(kInForceMs);
  const ExchangeStats stats = fleet.At(0).exchanger.Stats();
  cr_assert(stats.malformed > 0 && stats.failures == stats.malformed);
  const ExchangeMessage own{"host-0", 1, {}, {}};
  cr_assert(!fleet.At(0).exchanger.Exchange(EncodeExchange(own)).ok());
}

Test(load_notes, go_to_hosts_of_the_region_only) {
  struct Notes final : LoadSource, LoadSink {
    std::vector<EngineLoadNote> NotesFor(std::string_view,
                                         std::size_t limit) override {
      return std::vector<EngineLoadNote>(limit, {"e-3", "", 2, 900, 5});
    }
    void OnNotes(std::string_view host,
                 std::span<const EngineLoadNote> notes) override {
      this->heard[std::string(host)].assign(notes.begin(), notes.end());
    }
    std::map<std::string, std::vector<EngineLoadNote>> heard;
  };
  FakeFleet fleet({4, 4, 2}, {}, 12);
  Notes notes;
  Notes quiet;
  fleet.At(0).exchanger.EnableLoadNotes(&notes, &notes);
  fleet.At(1).exchanger.EnableLoadNotes(&notes, &quiet);
  fleet.At(2).exchanger.EnableLoadNotes(&notes, &notes);
  fleet.Run(20 * kSecondMs);
  cr_assert(notes.heard.size() == 2 && quiet.heard.empty());
  const std::vector<EngineLoadNote>& from = notes.heard.at("host-2");
  cr_assert(from.size() == ExchangeSettings{}.load_notes);
  cr_assert(from.front() == (EngineLoadNote{"e-3", "host-2", 2, 900, 5}));
}

/// @brief Plays many changes that gossip brings to nearly all hosts, while a
/// few hosts read the store.
/// @return the mean bytes a host and second
double PlayGossipedChanges(FakeFleet* fleet) {
  constexpr int kReaders = 4;
  constexpr std::int64_t kChangeMs = 30;
  constexpr std::int64_t kReadMs = 120;
  constexpr std::int64_t kPlayMs = 4'800;
  constexpr unsigned kMissedOneIn = 50;
  std::mt19937 random(1);
  const StoredObject first = ObjectOf(kMarksKind, "first", 1);
  for (int host = 0; host < fleet->Size(); ++host) {
    fleet->At(host).exchanger.ExcludeFromPush(kMarksKind);
    fleet->At(host).view.ApplyList(kMarksKind, 0, {1, {first}}, {});
    fleet->At(host).exchanger.NoteChange(kMarksKind);
  }
  fleet->Run(kWarmUpMs);
  std::int64_t before = 0;
  for (int host = 0; host < fleet->Size(); ++host) {
    const ExchangeStats stats = fleet->At(host).exchanger.Stats();
    before += stats.bytes_in + stats.bytes_out;
  }
  std::vector<StoredObject> changes;
  for (std::int64_t at_ms = 0; at_ms < kPlayMs; at_ms += kChangeMs) {
    const std::int64_t version = 2 + std::ssize(changes);
    changes.push_back(ObjectOf(kMarksKind, absl::StrCat("i-", version), version,
                               std::string(400, 'x')));
    for (int host = kReaders; host < fleet->Size(); ++host) {
      if (random() % kMissedOneIn != 0) {
        fleet->At(host).view.ApplyItems({&changes.back(), 1});
        fleet->At(host).exchanger.NoteChange(kMarksKind);
      }
    }
    if (at_ms % kReadMs == 0) {
      FakeHost& reader =
          fleet->At(static_cast<int>(at_ms / kReadMs) % kReaders);
      const std::int64_t since = reader.view.Digest(kMarksKind).revision;
      const std::vector<StoredObject> news(changes.begin() + (since - 1),
                                           changes.end());
      reader.view.ApplyList(kMarksKind, since, {version, news},
                            {fleet->clock.WallMs(), "reader"});
      reader.exchanger.NoteChange(kMarksKind);
    }
    fleet->Run(kChangeMs);
  }
  std::int64_t bytes = 0;
  for (int host = 0; host < fleet->Size(); ++host) {
    const ExchangeStats stats = fleet->At(host).exchanger.Stats();
    bytes += stats.bytes_in + stats.bytes_out;
  }
  return static_cast<double>(bytes - before) * kSecondMs / kPlayMs /
         fleet->Size();
}

// Hosts sent each other all that had changed for a second whenever a single
// object was on its way. The bytes then used up the budget, rounds were
// skipped, and hosts read the store because nobody confirmed their views.
Test(changes_that_gossip_brings, are_not_sent_again_by_rounds) {
  constexpr double kAllowedGrowth = 1.2;
  FakeFleet small({64, 5, 1}, {}, 1);
  const double small_bytes = PlayGossipedChanges(&small);
  FakeFleet large({512, 5, 1}, {}, 1);
  const double large_bytes = PlayGossipedChanges(&large);
  cr_assert(large_bytes <= kAllowedGrowth * small_bytes, "%.0f, %.0f bytes/s",
            small_bytes, large_bytes);
  // Less than each change once.
  cr_assert(large_bytes < 400.0 * kSecondMs / 30, "%.0f bytes/s", large_bytes);
  std::int64_t oldest_ms = 0;
  std::int64_t skipped = 0;
  for (int host = 0; host < large.Size(); ++host) {
    FakeHost& at = large.At(host);
    oldest_ms =
        std::max(oldest_ms, large.clock.WallMs() -
                                at.view.Digest(kMarksKind).confirmed.unix_ms);
    skipped += at.exchanger.Stats().rounds_skipped;
  }
  cr_assert(skipped < large.Size() / 10, "%d rounds",
            static_cast<int>(skipped));
  cr_assert(oldest_ms < 3'500, "%d ms", static_cast<int>(oldest_ms));
}

Test(a_message, reads_back_as_it_was_written) {
  ExchangeMessage message{"pasig-1", 17, {}, {}};
  message.loads.push_back({"e-1", "pasig-1", 3, 4096, 99});
  KindDelta delta{"marks", 4, 9, true, true, 0, "", {}};
  delta.items = {ObjectOf(kMarksKind, "a", 8), {"marks", "b", 9, "", true}};
  const KindDigest digest{"marks", 11, 1234, "pasig-2", 0xabc, {12, 15}};
  KindUpdate sent;
  sent.digest = digest;
  sent.delta = delta;
  sent.full_state_required = true;
  message.views.push_back(sent);
  const auto read = DecodeExchange(EncodeExchange(message), "pasig-1");
  cr_assert(read.ok() && read->from == "pasig-1" && read->incarnation == 17);
  cr_assert(read->loads == message.loads);
  const KindUpdate& view = read->views.at(0);
  cr_assert(view.digest == digest);
  cr_assert(view.delta->items == delta.items);
  cr_assert(view.delta->since == 4 && view.delta->revision == 9);
  cr_assert(view.delta->full && view.delta->cut && view.full_state_required);
}

// Versions beyond the revision only save bytes: a message with strange ones is
// taken without them.
Test(a_message, is_read_without_malformed_versions) {
  std::string many = "1";
  for (std::size_t n = 0; n < kMaxBeyondVersions; ++n) {
    many += ",1";
  }
  for (const std::string& offsets :
       {std::string("7"), std::string("[-1]"), std::string("[1e300]"),
        std::string("[\"x\"]"), absl::StrCat("[", many, "]")}) {
    const std::string text = absl::StrCat(
        R"({"from": "a", "incarnation": 1, "views": [{"kind": "marks", )",
        R"("revision": 5, "confirmed_unix_ms": 0, "confirmed_by": "", )",
        R"("beyond": "1", "beyond_at": )", offsets, "}]}");
    const auto read = DecodeExchange(text, "a");
    cr_assert(read.ok(), "%s", offsets.c_str());
    cr_assert(read->views.at(0).digest.beyond_versions.empty());
  }
}

}  // namespace
}  // namespace meadowthread
