#include "configuration/marks.h"

#include <criterion/criterion.h>

#include <array>

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 2> kKinds = {kTemplatesKind, kMarksKind};

MarkDocument Leaving() {
  return MarkDocument{"host-1", HostMark::kLeaving, true, "op-1", "ana", 7};
}

Test(a_mark, survives_encoding_and_decoding) {
  const absl::StatusOr<MarkDocument> read = MarkFromJson(MarkToJson(Leaving()));
  cr_assert(read.ok() && *read == Leaving());
}

Test(a_mark, that_is_malformed_is_an_error) {
  for (const char* text : {"", "{}", R"({"mark":"gone"})", R"({"mark":1})"}) {
    cr_assert(!MarkFromJson(text).ok());
  }
}

Test(a_host, is_live_until_it_is_marked) {
  ManualClock clock(0);
  ReplicatedView view(clock, kKinds);
  const Marks marks(view);
  cr_assert(marks.MarkOf("host-1").mark == HostMark::kLive);
  {  // a mark is offered
    const StoredObject offer = {"marks", "host-1", 5, MarkToJson(Leaving()),
                                false};
    view.ApplyItems({&offer, 1});
  }
  cr_assert(marks.MarkOf("host-1") == Leaving());
  cr_assert(marks.NotLive().size() == 1);
  {  // the mark is removed
    const StoredObject removal = {"marks", "host-1", 6, "", true};
    view.ApplyItems({&removal, 1});
  }
  cr_assert(marks.MarkOf("host-1").mark == HostMark::kLive);
  cr_assert(marks.NotLive().empty());
}

Test(a_host, whose_mark_cannot_be_read_counts_as_leaving) {
  ManualClock clock(0);
  ReplicatedView view(clock, kKinds);
  const StoredObject offer = {"marks", "host-1", 5, "?", false};
  view.ApplyItems({&offer, 1});
  cr_assert(Marks(view).MarkOf("host-1").mark == HostMark::kLeaving);
}

}  // namespace
}  // namespace meadowthread
