#include "configuration/replicated_view.h"

#include <criterion/criterion.h>

#include <array>
#include <map>
#include <random>
#include <set>

#include "configuration/template_object.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {kTemplatesKind};
constexpr std::size_t kNoLimit = 1 << 20;

StoredObject At(std::string_view name, std::int64_t version) {
  return {"templates", std::string(name), version,
          "v" + std::to_string(version), false};
}

StoredObject DeletedAt(std::string_view name, std::int64_t version) {
  return {"templates", std::string(name), version, "", true};
}

struct Host {
  explicit Host(std::string_view name) : name(name) {
    this->view.AddListener([this](const ViewChange& change) {
      this->notified += static_cast<int>(change.items.size());
    });
  }
  bool List(std::int64_t since, std::int64_t revision,
            const std::vector<StoredObject>& items) {
    return this->view.ApplyList("templates", since, {revision, items},
                                {this->clock.WallMs(), this->name});
  }
  int Offer(const StoredObject& item) {
    return this->view.ApplyItems({&item, 1});
  }
  bool LearnFrom(const Host& peer, std::size_t limit = kNoLimit) {
    const ViewDelta delta =
        peer.view.DeltaSince("templates", this->Revision(), limit);
    return this->view.ApplyDelta(delta);
  }
  std::int64_t VersionOf(std::string_view object) const {
    const StoredObject* found = this->view.Find("templates", object);
    return found == nullptr ? 0 : found->version;
  }
  std::int64_t Revision() const {
    return this->view.Digest("templates").revision;
  }
  Confirmation Confirmed() const {
    return this->view.Digest("templates").confirmed;
  }

  std::string name;
  ManualClock clock{1000};
  ReplicatedView view{clock, kKinds};
  int notified = 0;
};

Test(a_view, applies_newer_versions_and_notifies_listeners) {
  Host host("a");
  cr_assert(host.List(0, 5, {At("x", 3), At("y", 5)}));
  cr_assert(host.notified == 2 && host.Revision() == 5);
  cr_assert(host.List(5, 8, {At("x", 7), DeletedAt("y", 8)}));
  cr_assert(host.VersionOf("x") == 7 && host.VersionOf("y") == 0);
  cr_assert(host.notified == 4);
}

// Guards against a configuration revision that writes of other kinds raise: a
// host seemed to have a template that was accepted only later.
Test(the_latest_change_of_a_kind, is_not_raised_by_other_kinds) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  cr_assert(host.view.LatestChange("templates") == 3);
  cr_assert(host.List(5, 9, {}) && host.Revision() == 9);
  cr_assert(host.view.LatestChange("templates") == 3);
  host.List(9, 12, {At("x", 11)});
  cr_assert(host.view.LatestChange("templates") == 11);
}

Test(the_latest_change_of_a_kind, is_counted_once_all_before_it_are_known) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  cr_assert(host.Offer(At("y", 8)) == 1);
  cr_assert(host.view.LatestChange("templates") == 3, "6 or 7 may be missing");
  host.List(5, 8, {At("z", 7), At("y", 8)});
  cr_assert(host.view.LatestChange("templates") == 8);
}

Test(the_latest_change_of_a_kind, stays_when_its_object_is_removed) {
  Host host("a");
  host.List(0, 5, {At("x", 3), At("y", 5)});
  host.List(5, 7, {DeletedAt("y", 7)});
  cr_assert(host.view.LatestChange("templates") == 7);
  host.List(0, 9, {At("x", 3)});
  cr_assert(host.view.LatestChange("templates") == 7,
            "a list without it doesn't take it back");
  host.List(0, 12, {});
  cr_assert(host.view.LatestChange("templates") == 12,
            "it was removed at 12 at the latest");
  cr_assert(host.view.LatestChange("unknown") == 0);
}

Test(a_view, ignores_a_stale_read) {
  Host host("a");
  host.List(0, 9, {At("x", 7), At("y", 8)});
  host.clock.Advance(1000);
  cr_assert(!host.List(0, 6, {At("x", 4)}));
  cr_assert(!host.List(3, 6, {At("x", 4), DeletedAt("y", 5)}));
  cr_assert(host.VersionOf("x") == 7 && host.VersionOf("y") == 8);
  cr_assert(host.Revision() == 9);
  cr_assert(host.Confirmed().unix_ms == 1000);
}

Test(a_view, keeps_its_watermark_if_there_is_a_gap) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  cr_assert(!host.List(7, 9, {At("x", 8)}));
  cr_assert(host.VersionOf("x") == 8);
  cr_assert(host.Revision() == 5);
}

Test(a_view, removes_objects_missing_in_a_full_list_but_not_newer_offers) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  host.Offer(At("z", 11));
  cr_assert(host.List(0, 9, {}));
  cr_assert(host.VersionOf("x") == 0);
  cr_assert(host.VersionOf("z") == 11);
}

Test(a_view, repairs_a_lost_watch_event_by_a_list_from_an_older_revision) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  {  // a watch that lost events: the change of x and the deletion of y
    host.Offer(At("y", 6));
    host.List(5, 9, {});
  }
  cr_assert(host.List(5, 10, {At("x", 7), DeletedAt("y", 8)}));
  cr_assert(host.VersionOf("x") == 7 && host.VersionOf("y") == 0);
}

Test(a_view, accepts_from_the_store_what_its_peer_missed) {
  // The watch of a peer lost an event, and a restarted host learned its state
  // from that peer.
  Host peer("peer");
  Host restarted("restarted");
  peer.List(0, 50, {});
  peer.List(50, 120, {});  // lost: "x" was stored at revision 100
  restarted.LearnFrom(peer);
  cr_assert(restarted.Revision() == 120);
  {
    // A stale read returns the object: it may have been deleted since.
    restarted.List(0, 110, {At("x", 100)});
    cr_assert(restarted.VersionOf("x") == 0);
  }
  {
    // A current read returns the object: it exists, whatever the peer knew.
    restarted.List(0, 130, {At("x", 100)});
    cr_assert(restarted.VersionOf("x") == 100);
  }
}

Test(an_offer, never_replaces_a_newer_version) {
  Host host("a");
  host.List(0, 9, {At("x", 7)});
  cr_assert(host.Offer(At("x", 6)) == 0 && host.Offer(At("x", 7)) == 0);
  cr_assert(host.VersionOf("x") == 7);
}

Test(an_offer, never_restores_a_deleted_object) {
  Host host("a");
  host.List(0, 5, {At("x", 3)});
  host.List(5, 9, {DeletedAt("x", 8)});
  cr_assert(host.Offer(At("x", 3)) == 0);
  {  // the tombstone is discarded
    host.List(0, 10, {});
    cr_assert(host.view.DeltaSince("templates", 0, kNoLimit).items.empty());
  }
  cr_assert(host.Offer(At("x", 3)) == 0);
  cr_assert(host.VersionOf("x") == 0);
  cr_assert(host.Offer(At("x", 11)) == 1);
}

Test(an_offer, of_another_kind_or_with_a_duplicate_version_is_ignored) {
  Host host("a");
  host.Offer(At("x", 3));
  cr_assert(host.Offer(At("y", 3)) == 0);
  cr_assert(host.Offer({"leases", "l", 4, "", false}) == 0);
  host.List(0, 9, {{"leases", "l", 4, "", false}});
  cr_assert(host.VersionOf("l") == 0);
  cr_assert(host.Offer(At("y", 0)) == 0 && host.Offer(At("y", -1)) == 0);
}

Test(a_host_restarted_in_a_store_outage, gets_the_full_state_from_a_peer) {
  Host peer("a");
  peer.List(0, 9, {At("x", 7), At("y", 8)});
  peer.Offer(At("z", 12));
  Host host("b");
  cr_assert(host.LearnFrom(peer));
  cr_assert(host.VersionOf("x") == 7 && host.VersionOf("z") == 12);
  cr_assert(host.Revision() == 9);
  cr_assert(host.Confirmed().by == "a" && host.Confirmed().unix_ms == 1000);
}

Test(a_peer, raises_the_watermark_only_by_a_newer_delta_without_a_gap) {
  Host peer("a");
  peer.List(0, 5, {At("x", 3)});
  peer.List(5, 9, {At("y", 8)});
  Host host("b");
  host.List(0, 5, {At("x", 3)});
  {  // the delta starts above the watermark
    ViewDelta delta = peer.view.DeltaSince("templates", 8, kNoLimit);
    cr_assert(!host.view.ApplyDelta(delta));
    cr_assert(host.Revision() == 5);
  }
  {  // the peer itself is behind
    Host old_peer("c");
    old_peer.List(0, 4, {At("x", 2)});
    cr_assert(!host.LearnFrom(old_peer));
    cr_assert(host.VersionOf("x") == 3 && host.Revision() == 5);
  }
  cr_assert(host.LearnFrom(peer));
  cr_assert(host.Revision() == 9 && host.VersionOf("y") == 8);
}

Test(a_peer, passes_on_deletions_whose_tombstones_it_discarded) {
  Host host("b");
  host.List(0, 5, {At("x", 3)});
  Host peer("a");
  peer.List(0, 9, {At("y", 8)});
  cr_assert(host.LearnFrom(peer));
  cr_assert(host.VersionOf("x") == 0 && host.VersionOf("y") == 8);
}

Test(a_delta, that_is_truncated_is_continued_where_it_ended) {
  Host peer("a");
  peer.clock.Advance(500);
  peer.List(0, 1, {});
  peer.List(1, 40, {At("a", 10), At("b", 20), DeletedAt("c", 30), At("d", 40)});
  Host host("b");
  host.List(0, 1, {});
  host.Offer(At("c", 5));
  {  // the limit admits one item
    cr_assert(host.LearnFrom(peer, 1));
    cr_assert(host.Revision() == 10 && host.VersionOf("d") == 0);
    cr_assert(host.Confirmed().by == "b");
  }
  for (int i = 0; i < 3; ++i) {
    host.LearnFrom(peer, 1);
  }
  cr_assert(host.Revision() == 40 && host.VersionOf("c") == 0);
  cr_assert(host.VersionOf("d") == 40 && host.Confirmed().by == "a");
}

Test(tombstones, are_bounded_and_hosts_far_behind_still_learn_of_deletions) {
  Host peer("a");
  Host host("b");
  std::vector<StoredObject> all;
  for (std::size_t i = 1; i <= kMaxTombstones + 1; ++i) {
    all.push_back(At("x" + std::to_string(i), static_cast<std::int64_t>(i)));
  }
  peer.List(0, 10'000, all);
  host.List(0, 10'000, all);
  std::vector<StoredObject> deletions;
  deletions.reserve(all.size());
  for (const StoredObject& object : all) {
    deletions.push_back(DeletedAt(object.name, object.version + 10'000));
  }
  peer.List(10'000, 20'000, deletions);
  {  // the oldest are discarded, and the complete state is sent instead
    const ViewDelta delta = peer.view.DeltaSince("templates", 10'000, kNoLimit);
    cr_assert(delta.full && delta.items.size() == kMaxTombstones / 2);
  }
  cr_assert(host.LearnFrom(peer));
  cr_assert(host.view.Live("templates").empty());
  cr_assert(peer.Offer(all.front()) == 0 && host.Offer(all.front()) == 0);
}

Test(a_template, is_kept_with_its_newest_history_entry_only) {
  TemplateObject object;
  object.current.yaml = "now";
  object.history = {{"", "", 0, "before", 2}, {"", "", 0, "long ago", 1}};
  Host host("a");
  host.Offer({"templates", "x", 3, TemplateToJson(object), false});
  const StoredObject* held = host.view.Find("templates", "x");
  const auto read = TemplateFromJson(held->value, held->version);
  cr_assert(read->current.yaml == "now" && read->history.size() == 1);
  cr_assert(read->history.front().yaml == "before");
}

Test(a_confirmation, is_adopted_if_it_is_the_latest_at_the_watermark) {
  Host host("b");
  host.List(0, 9, {});
  host.view.ApplyDigest({"templates", 9, {3000, "c"}});
  cr_assert(host.Confirmed().by == "c");
  host.view.ApplyDigest({"templates", 9, {2000, "d"}});
  host.view.ApplyDigest({"templates", 8, {3500, "e"}});
  host.view.ApplyDigest({"templates", 10, {3600, "f"}});
  cr_assert(host.Confirmed().by == "c");
}

Test(a_confirmation, from_a_clock_far_ahead_is_ignored) {
  Host host("b");
  host.List(0, 9, {});
  host.view.ApplyDigest({"templates", 9, {1001 + kMaxClockSkewMs, "c"}});
  cr_assert(host.Confirmed().by == "b");
}

// Hosts read a store's history at random revisions, late, repeatedly and by way
// of peers. The version of an object never decreases on any host, and all hosts
// converge to the same state.
Test(versions, never_decrease_under_random_exchanges) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::vector<StoredObject> history;
    std::vector<Host> hosts;
    hosts.reserve(3);
    for (const char* name : {"a", "b", "c"}) {
      hosts.emplace_back(name);
    }
    std::map<std::string, std::int64_t> highest;
    std::set<std::string> deleted;
    const auto state_at = [&](std::int64_t since, std::int64_t revision) {
      std::map<std::string, StoredObject> state;
      for (std::int64_t v = 0; v < revision; ++v) {
        state[history[static_cast<std::size_t>(v)].name] =
            history[static_cast<std::size_t>(v)];
      }
      std::vector<StoredObject> items;
      for (const auto& [name, object] : state) {
        if (object.version > since && (since > 0 || !object.deleted)) {
          items.push_back(object);
        }
      }
      return items;
    };
    for (int step = 0; step < 120; ++step) {
      const auto revision = static_cast<std::int64_t>(history.size());
      Host& host = hosts[random() % 3];
      const std::string name = "x" + std::to_string(random() % 4);
      switch (random() % 5) {
        case 0:
          history.push_back(random() % 3 == 0 ? DeletedAt(name, revision + 1)
                                              : At(name, revision + 1));
          break;
        case 1: {
          const auto at = static_cast<std::int64_t>(
              random() % static_cast<unsigned>(revision + 1));
          const std::int64_t since = random() % 4 == 0 ? 0 : host.Revision();
          host.List(since, std::max(at, since),
                    state_at(since, std::max(at, since)));
          break;
        }
        case 2:
          host.LearnFrom(hosts[random() % 3], random() % 2 == 0 ? 1 : kNoLimit);
          break;
        case 3:
          if (!history.empty()) {
            host.Offer(history[random() % history.size()]);
          }
          break;
        default:
          break;
      }
      for (const Host& each : hosts) {
        for (int i = 0; i < 4; ++i) {
          const std::string object = "x" + std::to_string(i);
          std::int64_t& seen = highest[each.name + "/" + object];
          const std::int64_t now = each.VersionOf(object);
          cr_assert(now == 0 || now >= seen, "seed %u step %d", seed, step);
          // An object seen as deleted may only reappear with a newer version.
          seen = now == 0 && seen > 0 && !deleted.contains(each.name + object)
                     ? seen + 1
                     : std::max(seen, now);
          if (now == 0) {
            deleted.insert(each.name + object);
          } else {
            deleted.erase(each.name + object);
          }
        }
      }
    }
    const auto end = static_cast<std::int64_t>(history.size());
    hosts[0].List(0, end, state_at(0, end));
    for (Host& host : hosts) {
      host.LearnFrom(hosts[0]);
      cr_assert(host.view.Live("templates").size() == state_at(0, end).size(),
                "seed %u", seed);
    }
  }
}

/////////////////////////////
// A store's older copy
/////////////////////////////

std::int64_t In(std::int64_t era, std::int64_t revision) {
  return StoreRevision{era, revision}.Ordinal();
}

/// @brief A host that knows two objects, of which the older copy has one.
struct RestoredHost : Host {
  RestoredHost() : Host("a") {
    this->List(0, In(3, 40), {At("kept", In(3, 12)), At("lost", In(3, 38))});
  }
  void ReadCopy() { this->List(0, In(4, 20), {At("kept", In(4, 12))}); }
};

// Its revisions are lower, and every read counted as stale.
Test(a_store_back_from_an_older_copy, is_read_on) {
  RestoredHost host;
  host.ReadCopy();
  cr_assert(host.Revision() == In(4, 20));
  cr_assert(host.List(In(4, 20), In(4, 21), {At("new", In(4, 21))}));
  cr_assert(host.VersionOf("new") == In(4, 21));
}

Test(an_object_that_the_copy_lacks, stays_until_it_can_be_written_again) {
  RestoredHost host;
  host.ReadCopy();
  host.clock.Advance(kRewritingMs - 1);
  host.view.EndRewriting();
  cr_assert(host.VersionOf("lost") == In(3, 38));
  cr_assert(host.List(0, In(4, 25), {At("kept", In(4, 12))}),
            "a further list of the era does not remove it either");
  cr_assert(host.VersionOf("lost") == In(3, 38));
  host.clock.Advance(1);
  host.view.EndRewriting();
  cr_assert(host.VersionOf("lost") == 0);
  cr_assert(host.VersionOf("kept") == In(4, 12));
}

Test(an_object_that_is_written_again, stays) {
  RestoredHost host;
  host.ReadCopy();
  cr_assert(host.Offer(At("lost", In(4, 22))) == 1);
  host.clock.Advance(kRewritingMs);
  host.view.EndRewriting();
  cr_assert(host.VersionOf("lost") == In(4, 22));
}

Test(a_peer_of_the_era_before, brings_nothing_back) {
  RestoredHost behind;
  RestoredHost host;
  host.ReadCopy();
  host.clock.Advance(kRewritingMs);
  host.view.EndRewriting();
  cr_assert(!host.LearnFrom(behind));
  cr_assert(host.Offer(At("lost", In(3, 38))) == 0);
  cr_assert(host.VersionOf("lost") == 0);
}

Test(a_host_that_does_not_reach_the_store, enters_the_era_by_a_peer) {
  RestoredHost behind;
  RestoredHost host;
  int entered = 0;
  behind.view.AddEraListener([&entered](std::string_view) { ++entered; });
  host.ReadCopy();
  cr_assert(behind.LearnFrom(host) && entered == 1);
  cr_assert(behind.Revision() == In(4, 20));
  cr_assert(behind.VersionOf("lost") == In(3, 38));
  behind.clock.Advance(kRewritingMs);
  behind.view.EndRewriting();
  cr_assert(behind.VersionOf("lost") == 0);
}

// What waits for being written again is no part of the store's state.
Test(a_new_host, hears_nothing_of_what_the_copy_lacks) {
  RestoredHost host;
  Host started("b");
  host.ReadCopy();
  cr_assert(started.LearnFrom(host));
  cr_assert(started.VersionOf("kept") == In(4, 12));
  cr_assert(started.VersionOf("lost") == 0);
}

Test(a_store_that_comes_back_twice, is_read_on_each_time) {
  RestoredHost host;
  host.ReadCopy();
  host.Offer(At("lost", In(4, 22)));
  host.clock.Advance(1'000);
  host.List(0, In(6, 15), {At("kept", In(6, 12))});
  host.clock.Advance(kRewritingMs - 1);
  host.view.EndRewriting();
  cr_assert(host.VersionOf("lost") == In(4, 22));
  host.clock.Advance(1);
  host.view.EndRewriting();
  cr_assert(host.VersionOf("lost") == 0 && host.Revision() == In(6, 15));
}

}  // namespace
}  // namespace meadowthread
