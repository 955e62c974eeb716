#ifndef MEADOWTHREAD_ALLOCATION_LINK_TURNS_H_
#define MEADOWTHREAD_ALLOCATION_LINK_TURNS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief A run that waits for the link of an engine that leaves.
struct LinkTurn {
  std::string host;
  std::uint64_t ticket = 0;  ///< the host's own number for it

  friend bool operator==(const LinkTurn&, const LinkTurn&) = default;
};

/// @brief Gives runs their turns at the links of leaving engines, one at a time
/// and in the order in which they asked.
///
/// Answers the load pattern "an engine leaves with runs of many hosts": a link
/// carries one copy after the other, and a run's last step that comes behind
/// another run's copy makes it pause.
class LinkTurns {
 public:
  /// @brief A run asks for its turn, or asks again.
  /// @return whether it may begin now
  bool Ask(std::string_view engine, const LinkTurn& turn, std::int64_t now_ms);

  /// @brief A run's copy is over, or it waits no longer.
  void Over(std::string_view engine, const LinkTurn& turn);

  /// @brief Gives the link to the first that waits, where it is free.
  std::optional<LinkTurn> Next(std::string_view engine, std::int64_t now_ms);

  /// @brief Forgets who has not asked again, and links nobody asks for.
  void DropOld(std::int64_t now_ms);

 private:
  struct Waiting {
    LinkTurn turn;
    std::int64_t asked_ms = 0;
  };
  struct Link {
    std::optional<LinkTurn> holder;
    std::int64_t held_since_ms = 0;
    std::deque<Waiting> waiting;
  };

  static bool IsFree(const Link& link, std::int64_t now_ms);
  static void DropSilent(Link& link, std::int64_t now_ms);

  std::map<std::string, Link, std::less<>> links;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_LINK_TURNS_H_
