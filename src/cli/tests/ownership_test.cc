#include "placement/ownership.h"

#include <criterion/criterion.h>

#include "cli/ownership_commands.h"
#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

RunRecord Move(FakePlatformState& state) {
  FakeConnector connector(state);
  RandomNonceSource operations;
  const auto command =
      MakeOwnershipMoveCommand(connector, state.clock, operations);
  return RunCommand(*command, {"workspace.makati", "--to", "west", "--address",
                               "https://west.example", "--default-owner",
                               "east", "--object-api", "http://h"});
}

RunRecord Show(FakePlatformState& state, const std::string& object) {
  FakeConnector connector(state);
  const auto command = MakeOwnershipShowCommand(connector);
  return RunCommand(*command, {"--object", object, "--object-api", "http://h"});
}

Test(a_move_of_ownership, runs_to_completion) {
  FakePlatformState state;
  const RunRecord run = Move(state);
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(run.out == "workspace.makati is owned by west, epoch 2\n");
  cr_assert(Contains(Show(state, "workspace.makati").out, "west   2"));
  cr_assert(Show(state, "engine.e-1").code == ExitCode::kNotFound);
}

Test(a_move_of_ownership, that_waits_for_a_host_has_an_unknown_result) {
  FakePlatformState state;
  state.Put("status", "entry-1", R"({"ownership":{"half":"east"}})");
  const RunRecord run = Move(state);
  cr_assert(run.code == ExitCode::kUnknown);
  cr_assert(Contains(run.err, "draining; it waits for entry-1"));
}

Test(a_move_of_ownership,
     is_a_conflict_if_another_move_to_a_third_deployment_is_running) {
  FakePlatformState state;
  OwnershipDocument document;
  document.owner = "east";
  document.state = OwnershipState::kDraining;
  document.next_owner = "north";
  state.Put("ownership", "workspace.makati", EncodeOwnership(document));
  cr_assert(Move(state).code == ExitCode::kConflict);
}

}  // namespace
}  // namespace meadowthread
