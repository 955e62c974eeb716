#include "placement/ownership.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "placement/ownership_view.h"

namespace meadowthread {
namespace {

const OwnedId kWorkspaceA{OwnedKind::kWorkspace, "a"};

OwnershipSettings Half(std::string_view name) {
  OwnershipSettings settings;
  settings.half = std::string(name);
  settings.default_owner = "lukot";
  settings.default_address = "https://lukot";
  return settings;
}

StoredObject Stored(const OwnershipDocument& document, std::int64_t version) {
  return {std::string(kOwnershipKind), "workspace.a", version,
          EncodeOwnership(document), false};
}

OwnershipDocument Owned(std::string_view owner) {
  OwnershipDocument document;
  document.owner = std::string(owner);
  document.address = "https://" + document.owner;
  return document;
}

OwnershipDocument Draining(std::string_view owner, std::string_view next) {
  OwnershipDocument document = Owned(owner);
  document.state = OwnershipState::kDraining;
  document.next_owner = std::string(next);
  document.next_address = "https://" + document.next_owner;
  return document;
}

struct Fresh {
  explicit Fresh(std::string_view half)
      : clock(50'000), view(Half(half), clock) {
    this->view.SetRegistered();
    this->view.Confirm(50'001);
  }
  ManualClock clock;
  OwnershipView view;
};

Test(an_ownership_document, reads_back_and_names_bad_fields) {
  const auto field_of = [](std::string_view text) {
    return DetailOf(ParseOwnership(text).status()).field;
  };
  cr_assert(*ParseOwnership(EncodeOwnership(Draining("a", "b"))) ==
            Draining("a", "b"));
  cr_assert(field_of(R"({"epoch":1,"state":"owned"})") == "owner");
  cr_assert(field_of(R"({"owner":"a","epoch":0,"state":"owned"})") == "epoch");
  cr_assert(field_of(R"({"owner":"a","epoch":1,"state":"mine"})") == "state");
  cr_assert(field_of(R"({"owner":"a","epoch":1,"state":"draining",)"
                     R"("next_owner":"a"})") == "next_owner");
}

Test(a_missing_object, means_the_half_named_in_the_settings) {
  cr_assert(Fresh("lukot").view.MayStart(kWorkspaceA).ok());
  const absl::Status refused = Fresh("norte").view.MayStart(kWorkspaceA);
  cr_assert(DetailOf(refused).id == ErrorId::kOwnedElsewhere);
  cr_assert(DetailOf(refused).outcome == Outcome::kNotRun);
  cr_assert(DetailOf(refused).peer == "https://lukot");
}

Test(a_hand_over, stops_the_owner_and_names_where_to_go) {
  Fresh old_half("lukot");
  Fresh new_half("norte");
  const StoredObject draining = Stored(Draining("lukot", "norte"), 7);
  old_half.view.Apply(draining);
  new_half.view.Apply(draining);
  const ErrorDetail refused = DetailOf(old_half.view.MayStart(kWorkspaceA));
  cr_assert(refused.id == ErrorId::kOwnedElsewhere);
  cr_assert(refused.peer == "https://norte");
  cr_assert(!new_half.view.MayStart(kWorkspaceA).ok());
  const StoredObject moved = Stored(Owned("norte"), 9);
  old_half.view.Apply(moved);
  new_half.view.Apply(moved);
  cr_assert(!old_half.view.MayStart(kWorkspaceA).ok());
  cr_assert(new_half.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, never_goes_back_to_an_older_version) {
  Fresh half("lukot");
  half.view.Apply(Stored(Owned("norte"), 9));
  half.view.Apply(Stored(Owned("lukot"), 4));
  cr_assert(!half.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, starts_nothing_before_the_host_is_registered) {
  ManualClock clock(50'000);
  OwnershipView view(Half("lukot"), clock);
  view.Confirm(50'000);
  cr_assert(view.Look(kWorkspaceA).verdict == OwnershipVerdict::kUnregistered);
  const ErrorDetail refused = DetailOf(view.MayStart(kWorkspaceA));
  cr_assert(refused.id == ErrorId::kHostNotReady);
  cr_assert(refused.outcome == Outcome::kNotRun);
}

Test(a_view, starts_nothing_before_it_is_read_after_the_registration) {
  ManualClock clock(50'000);
  OwnershipView view(Half("lukot"), clock);
  view.SetRegistered();
  view.Confirm(50'000);  // may have been sent before
  cr_assert(view.Look(kWorkspaceA).verdict == OwnershipVerdict::kUnread);
  view.Confirm(50'001);
  cr_assert(view.MayStart(kWorkspaceA).ok());
  view.SetUnregistered();
  cr_assert(!view.MayStart(kWorkspaceA).ok());
  view.SetRegistered();
  view.Confirm(50'002);
  cr_assert(view.MayStart(kWorkspaceA).ok());
}

Test(a_view, goes_on_through_an_outage_of_the_platform) {
  Fresh half("lukot");
  half.clock.Advance(86'400'000);
  cr_assert(half.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, needs_no_registration_without_another_half) {
  ManualClock clock(50'000);
  OwnershipSettings settings = Half("lukot");
  settings.has_other_half = false;
  cr_assert(OwnershipView(settings, clock).MayStart(kWorkspaceA).ok());
}

Test(an_object_that_cannot_be_read, lets_neither_half_act) {
  for (const std::string_view name : {"lukot", "norte"}) {
    Fresh half(name);
    half.view.Apply(Stored(Owned("lukot"), 3));
    half.view.Apply({"ownership", "workspace.a", 4, "{}", false});
    cr_assert(half.view.Look(kWorkspaceA).verdict ==
              OwnershipVerdict::kUnreadable);
    cr_assert(!half.view.MayStart(kWorkspaceA).ok());
  }
}

}  // namespace
}  // namespace meadowthread
