// Positions in the history of a store that may come back from an older copy.
#include "store/store_era.h"

#include <criterion/criterion.h>

#include "base/error.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

Test(a_position, follows_all_those_of_earlier_eras) {
  const StoreRevision late = {3, 1'037};
  const StoreRevision early = {4, 12};
  cr_assert(late < early && late.Ordinal() < early.Ordinal());
  cr_assert(StoreRevision::Of(early.Ordinal()) == early);
  cr_assert(EraOf(early.Ordinal()) == 4);
}

Test(a_position, in_a_store_without_eras_is_its_revision) {
  cr_assert(StoreRevision({0, 1'037}).Ordinal() == 1'037);
  cr_assert(RevisionText(1'037) == "1037");
  cr_assert(RevisionText(StoreRevision({4, 12}).Ordinal()) == "4:12");
}

Test(a_position, keeps_its_order_up_to_the_bounds) {
  const StoreRevision last = {StoreRevision::kMaxEra,
                              StoreRevision::kMaxRevision};
  cr_assert(last.Ordinal() > 0 && StoreRevision::Of(last.Ordinal()) == last);
  cr_assert(StoreRevision::Of(-1) == StoreRevision{});
}

struct EraFixture {
  EraFixture() {
    this->era.AddListener([this] { ++this->begun; });
  }
  ErrorId ErrorOf(std::string_view named) {
    return DetailOf(this->era.Read(named, "list", "config").status()).id;
  }

  StoreEra era;
  int begun = 0;
};

Test(an_era, begins_with_the_first_answer_that_names_a_later_one) {
  EraFixture fixture;
  cr_assert(*fixture.era.Read("3", "list", "config") == 3);
  cr_assert(fixture.begun == 0, "nothing is known from before");
  cr_assert(*fixture.era.Read("7", "list", "config") == 7);
  cr_assert(fixture.begun == 1 && fixture.era.Known() == 7);
  cr_assert(*fixture.era.Read("7", "list", "config") == 7);
  cr_assert(fixture.begun == 1);
}

Test(an_answer_of_an_earlier_era, is_dropped) {
  EraFixture fixture;
  cr_assert(fixture.era.Read("4", "list", "config").ok());
  cr_assert(fixture.ErrorOf("3") == ErrorId::kStoreUnavailable);
  cr_assert(fixture.era.Known() == 4);
}

Test(an_answer_with_a_malformed_era, is_dropped) {
  EraFixture fixture;
  cr_assert(fixture.era.Read("4", "list", "config").ok());
  for (const char* const named :
       {"x", "-1", "5x", "4194304", "99999999999999999999", "5.0"}) {
    cr_assert(fixture.ErrorOf(named) == ErrorId::kStoreMalformed, "%s", named);
  }
  cr_assert(fixture.era.Known() == 4);
}

Test(an_answer_that_names_no_era, is_of_the_known_one) {
  EraFixture fixture;
  cr_assert(*fixture.era.Read("", "list", "config") == 0);
  cr_assert(fixture.era.Read("4", "list", "config").ok());
  cr_assert(*fixture.era.Read("", "list", "config") == 4);
}

}  // namespace
}  // namespace meadowthread
