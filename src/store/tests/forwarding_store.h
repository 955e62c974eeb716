#ifndef MEADOWTHREAD_STORE_TESTS_FORWARDING_STORE_H_
#define MEADOWTHREAD_STORE_TESTS_FORWARDING_STORE_H_

#include <cstdint>
#include <string_view>

#include "store/object_store.h"

namespace meadowthread {

/// @brief Forwards every call to another store; tests override single methods.
class ForwardingStore : public ObjectStore {
 public:
  /// @param[in] to must outlive this store's calls
  explicit ForwardingStore(ObjectStore& to) : to(to) {}

  void Get(std::string_view kind, std::string_view name,
           const GetDone& done) override {
    this->to.Get(kind, name, done);
  }
  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t expected_version, const PutDone& done) override {
    this->to.Put(kind, name, value, expected_version, done);
  }
  void Delete(std::string_view kind, std::string_view name,
              std::int64_t expected_version, const PutDone& done) override {
    this->to.Delete(kind, name, expected_version, done);
  }
  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override {
    this->to.List(kind, since, done);
  }
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override {
    this->to.Watch(kind, since, wait_ms, done);
  }

 private:
  ObjectStore& to;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_TESTS_FORWARDING_STORE_H_
