#include "placement/ownership.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "placement/ownership_view.h"

namespace meadowthread {
namespace {

const OwnedId kWorkspaceA{OwnedKind::kWorkspace, "a"};

OwnershipSettings OwnershipSettingsFor(std::string_view name) {
  OwnershipSettings settings;
  settings.deployment = std::string(name);
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

/// A host that is registered and has read the ownership objects since.
struct RegisteredHost {
  explicit RegisteredHost(std::string_view deployment)
      : clock(50'000), view(OwnershipSettingsFor(deployment), clock) {
    this->view.SetRegistered();
    this->view.ConfirmReadSince(50'001);
  }
  ManualClock clock;
  OwnershipView view;
};

Test(an_ownership_document, can_be_parsed_again_and_reports_invalid_fields) {
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

Test(a_missing_object, means_the_default_owner) {
  cr_assert(RegisteredHost("lukot").view.MayStart(kWorkspaceA).ok());
  const absl::Status refused =
      RegisteredHost("norte").view.MayStart(kWorkspaceA);
  cr_assert(DetailOf(refused).id == ErrorId::kOwnedElsewhere);
  cr_assert(DetailOf(refused).outcome == Outcome::kNotRun);
  cr_assert(DetailOf(refused).peer == "https://lukot");
}

Test(a_change_of_owner, stops_the_old_owner_and_names_the_new_address) {
  RegisteredHost old_owner("lukot");
  RegisteredHost new_owner("norte");
  const StoredObject draining = Stored(Draining("lukot", "norte"), 7);
  old_owner.view.Apply(draining);
  new_owner.view.Apply(draining);
  const ErrorDetail refused = DetailOf(old_owner.view.MayStart(kWorkspaceA));
  cr_assert(refused.id == ErrorId::kOwnedElsewhere);
  cr_assert(refused.peer == "https://norte");
  cr_assert(!new_owner.view.MayStart(kWorkspaceA).ok());
  const StoredObject moved = Stored(Owned("norte"), 9);
  old_owner.view.Apply(moved);
  new_owner.view.Apply(moved);
  cr_assert(!old_owner.view.MayStart(kWorkspaceA).ok());
  cr_assert(new_owner.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, never_goes_back_to_an_older_version) {
  RegisteredHost host("lukot");
  host.view.Apply(Stored(Owned("norte"), 9));
  host.view.Apply(Stored(Owned("lukot"), 4));
  cr_assert(!host.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, starts_nothing_before_the_host_is_registered) {
  ManualClock clock(50'000);
  OwnershipView view(OwnershipSettingsFor("lukot"), clock);
  view.ConfirmReadSince(50'000);
  cr_assert(view.Lookup(kWorkspaceA).verdict ==
            OwnershipVerdict::kUnregistered);
  const ErrorDetail refused = DetailOf(view.MayStart(kWorkspaceA));
  cr_assert(refused.id == ErrorId::kHostNotReady);
  cr_assert(refused.outcome == Outcome::kNotRun);
}

Test(a_view, starts_nothing_before_a_read_after_the_registration) {
  ManualClock clock(50'000);
  OwnershipView view(OwnershipSettingsFor("lukot"), clock);
  view.SetRegistered();
  view.ConfirmReadSince(50'000);  // the read may have been sent before
  cr_assert(view.Lookup(kWorkspaceA).verdict == OwnershipVerdict::kUnread);
  view.ConfirmReadSince(50'001);
  cr_assert(view.MayStart(kWorkspaceA).ok());
  view.SetUnregistered();
  cr_assert(!view.MayStart(kWorkspaceA).ok());
  view.SetRegistered();
  view.ConfirmReadSince(50'002);
  cr_assert(view.MayStart(kWorkspaceA).ok());
}

Test(a_view, goes_on_during_an_outage_of_the_object_store) {
  RegisteredHost host("lukot");
  host.clock.Advance(86'400'000);
  cr_assert(host.view.MayStart(kWorkspaceA).ok());
}

Test(a_view, needs_no_registration_without_another_deployment) {
  ManualClock clock(50'000);
  OwnershipSettings settings = OwnershipSettingsFor("lukot");
  settings.has_other_deployment = false;
  cr_assert(OwnershipView(settings, clock).MayStart(kWorkspaceA).ok());
}

Test(an_invalid_object, stops_both_deployments) {
  for (const std::string_view name : {"lukot", "norte"}) {
    RegisteredHost host(name);
    host.view.Apply(Stored(Owned("lukot"), 3));
    host.view.Apply({"ownership", "workspace.a", 4, "{}", false});
    cr_assert(host.view.Lookup(kWorkspaceA).verdict ==
              OwnershipVerdict::kUnreadable);
    cr_assert(!host.view.MayStart(kWorkspaceA).ok());
  }
}

}  // namespace
}  // namespace meadowthread
