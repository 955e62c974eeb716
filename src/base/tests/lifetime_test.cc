#include "base/lifetime.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>

namespace meadowthread {
namespace {

class Owner {
 public:
  explicit Owner(int& calls) : calls(calls) {}

  std::function<void(int)> Callback() {
    return this->life.Guarded([this](int by) { this->calls += by; });
  }

 private:
  int& calls;
  Lifetime life;
};

Test(a_guarded_callback, runs_while_its_owner_lives) {
  int calls = 0;
  Owner owner(calls);
  const auto callback = owner.Callback();
  callback(1);
  callback(2);
  cr_assert(calls == 3);
}

Test(a_guarded_callback, does_nothing_after_its_owner_is_destroyed) {
  int calls = 0;
  auto owner = std::make_unique<Owner>(calls);
  const auto callback = owner->Callback();
  // The callback must not touch the owner once it is destroyed.
  owner.reset();
  callback(1);
  cr_assert(calls == 0);
}

}  // namespace
}  // namespace meadowthread
