#ifndef MEADOWTHREAD_BASE_LIFETIME_H_
#define MEADOWTHREAD_BASE_LIFETIME_H_

#include <memory>
#include <utility>

namespace meadowthread {

/// @brief A member of an object whose callbacks may be called after its end.
/// Declared last, so that it ends first.
class Lifetime {
 public:
  /// @brief `task`, which does nothing any more once the owner is gone.
  template <typename Task>
  auto Guarded(Task task) const {
    return [task = std::move(task),
            guard = std::weak_ptr<bool>(this->alive)](auto&&... told) {
      if (!guard.expired()) {
        task(std::forward<decltype(told)>(told)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LIFETIME_H_
