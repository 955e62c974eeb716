#ifndef MEADOWTHREAD_BASE_LIFETIME_H_
#define MEADOWTHREAD_BASE_LIFETIME_H_

#include <memory>
#include <utility>

namespace meadowthread {

/// @brief Disables the callbacks of an object once it is destroyed.
///
/// To be the last member of the object, so that it is destroyed first.
class Lifetime {
 public:
  /// @brief Wraps `task` so that it does nothing once the owner is destroyed.
  template <typename Task>
  auto Guarded(Task task) const {
    return [task = std::move(task),
            guard = std::weak_ptr<bool>(this->alive)](auto&&... args) {
      if (!guard.expired()) {
        task(std::forward<decltype(args)>(args)...);
      }
    };
  }

  /// @brief Expires when the owner is destroyed.
  std::weak_ptr<const bool> Watch() const { return this->alive; }

 private:
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_LIFETIME_H_
