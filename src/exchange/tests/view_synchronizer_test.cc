// What hosts send each other in a round after gossip has been faster.
#include "exchange/view_synchronizer.h"

#include <criterion/criterion.h>

#include <array>
#include <string>

#include "base/manual_scheduler.h"
#include "configuration/replicated_view.h"
#include "exchange/replicated_source.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {"config"};
constexpr ItemLimits kLimits = {100'000, 1'000'000};

struct Host {
  explicit Host(const Clock& clock) : view(clock, kKinds) {}
  void ReadAll(const StoredObject& object) {
    this->view.ApplyList("config", 0, {object.version, {object}}, {});
  }
  void ReadChange(const StoredObject& object) {
    const std::int64_t since = this->view.Digest("config").revision;
    this->view.ApplyList("config", since, {object.version, {object}}, {});
    this->synchronizer.NoteChange();
  }
  void HearOf(const StoredObject& object) {
    const std::array<StoredObject, 1> items = {object};
    this->view.ApplyItems(items);
    this->synchronizer.NoteChange();
  }
  ReplicatedView view;
  ReplicatedSource source{this->view};
  ViewSynchronizer synchronizer{this->source};
};

struct Pair {
  ManualClock clock{1'000'000};
  Host a{this->clock};
  Host b{this->clock};
  StoredObject first = {"config", "main", 5, std::string(50'000, 'x'), false};
  StoredObject second = {"config", "main", 6, std::string(50'000, 'y'), false};
  Pair() {
    this->a.ReadAll(this->first);
    this->b.ReadAll(this->first);
    this->a.ReadChange(this->second);
  }
};

Test(a_host_that_gossip_has_reached, is_not_sent_the_object_again) {
  Pair pair;
  pair.b.HearOf(pair.second);
  cr_assert(pair.b.view.Digest("config").revision == 5);
  const auto updates =
      pair.a.synchronizer.UpdatesFor(pair.b.synchronizer.Digests(), kLimits);
  cr_assert(updates.size() == 1 && updates[0].delta.has_value());
  cr_assert(updates[0].delta->items.empty());
  pair.b.synchronizer.Apply("a", updates);
  cr_assert(pair.b.view.Digest("config").revision == 6);
}

Test(a_host_that_gossip_has_missed, is_sent_the_object) {
  Pair pair;
  const auto updates =
      pair.a.synchronizer.UpdatesFor(pair.b.synchronizer.Digests(), kLimits);
  cr_assert(updates.size() == 1 && updates[0].delta.has_value());
  cr_assert(updates[0].delta->items.size() == 1);
  pair.b.synchronizer.Apply("a", updates);
  cr_assert(pair.b.view.Find("config", "main")->version == 6);
}

}  // namespace
}  // namespace meadowthread
