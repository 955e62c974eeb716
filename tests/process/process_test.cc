// What the process tests themselves rest on.
#include "process/process.h"

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace meadowthread::tests {
namespace {

Test(ports_for_hosts, are_not_given_to_two_processes) {
  constexpr int kMany = 60;
  const std::vector<int> ours = FreePorts(kMany);
  const pid_t child = ::fork();
  if (child == 0) {
    const std::vector<int> theirs = FreePorts(kMany);
    const bool apart =
        std::none_of(theirs.begin(), theirs.end(), [&ours](int port) {
          return std::find(ours.begin(), ours.end(), port) != ours.end();
        });
    ::_exit(apart ? 0 : 1);
  }
  int status = -1;
  cr_assert(::waitpid(child, &status, 0) == child);
  cr_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0,
            "a port was given to two processes");
}

}  // namespace
}  // namespace meadowthread::tests
