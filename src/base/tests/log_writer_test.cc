#include "base/log_writer.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

struct Pipe {
  Pipe() {
    cr_assert(pipe(this->ends.data()) == 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  std::string Read() const {
    std::string text(1 << 20, '\0');
    const ssize_t count = read(this->ends[0], text.data(), text.size());
    return text.substr(0, count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  std::array<int, 2> ends = {};
};

int CountOf(const std::string& text, const std::string& what) {
  int count = 0;
  for (std::size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + 1)) {
    ++count;
  }
  return count;
}

Test(the_log, is_limited_per_second_and_counts_dropped_lines) {
  const Pipe to;
  ManualClock clock(1'000);
  LogLimits limits;
  limits.routine_per_second = 10.0;
  LogWriter writer(to.ends[1], limits, clock);
  for (int i = 0; i < 100; ++i) {
    writer.Add("event=route", false);
  }
  writer.Flush();
  cr_assert(writer.Dropped() == 90);
  const std::string text = to.Read();
  cr_assert(CountOf(text, "event=route\n") == 10);
  cr_assert(CountOf(text, "event=log-dropped lines=") == 1);
  // One second later the same number of lines is accepted again.
  clock.Advance(1'000);
  for (int i = 0; i < 100; ++i) {
    writer.Add("event=route", false);
  }
  writer.Flush();
  cr_assert(CountOf(to.Read(), "event=route\n") == 10);
}

Test(the_log, drops_routine_lines_before_failures) {
  const Pipe to;
  ManualClock clock(1'000);
  LogLimits limits;
  limits.routine_per_second = 5.0;
  LogWriter writer(to.ends[1], limits, clock);
  for (int i = 0; i < 50; ++i) {
    writer.Add("event=route", false);
    writer.Add("event=attempt-failed", true);
  }
  writer.Flush();
  const std::string text = to.Read();
  cr_assert(CountOf(text, "event=attempt-failed") == 50);
  cr_assert(CountOf(text, "event=route") == 5);
}

Test(a_reader_that_stops_reading, never_blocks_the_writer) {
  const Pipe to;
  ManualClock clock(1'000);
  LogLimits limits;
  limits.routine_per_second = 1e9;
  limits.max_buffered_bytes = std::size_t{64} * 1024;
  LogWriter writer(to.ends[1], limits, clock);
  // Many times the capacity of a pipe: if any write blocked, the test would
  // hang.
  const std::string line =
      absl::StrCat("event=route why=", std::string(500, 'x'));
  for (int i = 0; i < 10'000; ++i) {
    writer.Add(line, false);
  }
  cr_assert(writer.Dropped() > 9'000);
  // Once the reader continues, lines arrive complete and the dropped ones are
  // reported.
  std::string text;
  for (int i = 0; i < 10; ++i) {
    text += to.Read();
    clock.Advance(1'000);
    writer.Flush();
  }
  text += to.Read();
  cr_assert(CountOf(text, "event=log-dropped") >= 1);
  cr_assert(CountOf(text, line + "\n") == CountOf(text, "event=route"));
}

}  // namespace
}  // namespace meadowthread
