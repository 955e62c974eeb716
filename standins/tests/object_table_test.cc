#include "objects/object_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

namespace meadowthread::standins {
namespace {

constexpr std::int64_t kLongHistory = 1'000'000;
constexpr std::int64_t kAlways = 1'000'000'000;

ObjectWrite CreateOf(const std::string& name, const std::string& value) {
  return {{"claims", name}, value, {ConditionKind::kAbsent, 0}, false};
}

ObjectWrite UpdateOf(const std::string& name, const std::string& value,
                     std::int64_t version) {
  return {{"claims", name}, value, {ConditionKind::kVersion, version}, false};
}

ObjectWrite RemovalOf(const std::string& name, std::int64_t version) {
  return {{"claims", name}, "", {ConditionKind::kVersion, version}, true};
}

Test(a_conditional_write, is_applied_only_if_its_condition_holds) {
  ObjectTable table(kLongHistory);
  cr_assert(table.Apply(CreateOf("a", "1"), 0) == 1);
  cr_assert(!table.Apply(CreateOf("a", "2"), 0).has_value());
  cr_assert(!table.Apply(UpdateOf("a", "2", 7), 0).has_value());
  cr_assert(!table.Apply(UpdateOf("b", "2", 1), 0).has_value());
  cr_assert(table.Apply(UpdateOf("a", "2", 1), 0) == 2);
  cr_assert(!table.Apply(UpdateOf("a", "3", 1), 0).has_value());
  cr_assert(table.Get({"claims", "a"}, kAlways)->value == "2");
  cr_assert(table.Revision() == 2);
}

Test(a_conditional_write, can_create_an_object_again_after_its_removal) {
  ObjectTable table(kLongHistory);
  table.Apply(CreateOf("a", "1"), 0);
  cr_assert(table.Apply(RemovalOf("a", 1), 0) == 2);
  cr_assert(!table.Get({"claims", "a"}, kAlways).has_value());
  cr_assert(!table.Apply(UpdateOf("a", "3", 2), 0).has_value());
  cr_assert(!table.Apply(UpdateOf("a", "3", 0), 0).has_value());
  cr_assert(!table.Apply(RemovalOf("a", 2), 0).has_value());
  cr_assert(table.Apply(CreateOf("a", "4"), 0) == 3);
}

Test(a_list, shows_changes_and_tombstones) {
  ObjectTable table(kLongHistory);
  table.Apply(CreateOf("a", "1"), 0);
  table.Apply(CreateOf("b", "2"), 0);
  table.Apply(RemovalOf("a", 1), 0);
  table.Apply({{"marks", "m"}, "", {ConditionKind::kAbsent, 0}, false}, 0);
  cr_assert(table.List("claims", 0, kAlways).items.size() == 1);
  const ObjectListing changed = table.List("claims", 1, kAlways);
  cr_assert(changed.revision == 4 && changed.items.size() == 2);
  cr_assert(changed.items[0].version.deleted);
  cr_assert(table.List("claims", 3, kAlways).items.empty());
}

Test(a_stale_read, shows_a_consistent_earlier_state) {
  ObjectTable table(kLongHistory);
  table.Apply(CreateOf("a", "1"), 100);
  table.Apply(UpdateOf("a", "2", 1), 200);
  table.Apply(CreateOf("b", "3"), 300);
  cr_assert(!table.Get({"claims", "a"}, 99).has_value());
  cr_assert(table.Get({"claims", "a"}, 199)->version == 1);
  const ObjectListing stale = table.List("claims", 0, 200);
  cr_assert(stale.revision == 2 && stale.items.size() == 1);
  cr_assert(stale.items[0].version.value == "2");
}

std::vector<std::string> NamesIn(const ObjectListing& listing) {
  std::vector<std::string> names;
  for (const ListedObject& item : listing.items) {
    names.push_back(item.key.name + "@" + std::to_string(item.version.version));
  }
  std::sort(names.begin(), names.end());
  return names;
}

Test(a_list, is_the_same_from_the_index_and_from_a_scan) {
  ObjectTable table(kLongHistory);
  std::mt19937 random(11);
  for (int write = 0; write < 500; ++write) {
    const std::string name = std::to_string(random() % 30);
    const auto standing = table.Get({"claims", name}, kAlways);
    if (!standing) {
      table.Apply(CreateOf(name, "v"), write);
    } else if (random() % 4 == 0) {
      table.Apply(RemovalOf(name, standing->version), write);
    } else {
      table.Apply(UpdateOf(name, "v", standing->version), write);
    }
  }
  const std::int64_t revision = table.Revision();
  // After this later write, a read as of an earlier time has to scan.
  table.Apply({{"marks", "m"}, "", {ConditionKind::kAbsent, 0}, false}, 1000);
  for (std::int64_t since = 1; since <= revision; ++since) {
    cr_assert(NamesIn(table.List("claims", since, kAlways)) ==
              NamesIn(table.List("claims", since, 999)));
  }
  cr_assert(table.List("claims", 1, kAlways).items.size() > 20);
}

Test(a_revision, is_too_old_beyond_the_history) {
  ObjectTable table(2);
  for (int write = 0; write < 5; ++write) {
    table.Apply(CreateOf(std::to_string(write), ""), 0);
  }
  cr_assert(table.IsTooOld(2));
  cr_assert(!table.IsTooOld(3) && !table.IsTooOld(0));
  table.Compact();
  cr_assert(table.IsTooOld(4) && !table.IsTooOld(5));
}

}  // namespace
}  // namespace meadowthread::standins
