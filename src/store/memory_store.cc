#include "store/memory_store.h"

#include <utility>

#include "store/store_errors.h"

namespace meadowthread {

void MemoryStore::Get(std::string_view kind, std::string_view name,
                      const GetDone& done) {
  ++this->read_calls;
  absl::StatusOr<StoredObject> result = StoreError(
      ErrorId::kNotFound, "get", std::string(kind) + "/" + std::string(name));
  const auto found =
      this->objects.find(Key{std::string(kind), std::string(name)});
  if (this->down) {
    result = StoreError(ErrorId::kStoreUnavailable, "get", kind);
  } else if (found != this->objects.end() && !found->second.deleted) {
    result = found->second;
  }
  this->pending_results.push_back([done, result] { done(result); });
}

void MemoryStore::Put(std::string_view kind, std::string_view name,
                      std::string_view value, std::int64_t expected_version,
                      const PutDone& done) {
  this->Submit(Write{{std::string(kind), std::string(name)},
                     std::string(value),
                     expected_version,
                     false},
               done);
}

void MemoryStore::Delete(std::string_view kind, std::string_view name,
                         std::int64_t expected_version, const PutDone& done) {
  this->Submit(
      Write{{std::string(kind), std::string(name)}, "", expected_version, true},
      done);
}

void MemoryStore::List(std::string_view kind, std::int64_t since,
                       const ListDone& done) {
  ++this->read_calls;
  if (this->down) {
    const absl::Status error =
        StoreError(ErrorId::kStoreUnavailable, "list", kind);
    this->pending_results.push_back([done, error] { done(error); });
    return;
  }
  ObjectList list;
  list.revision = this->revision;
  for (const auto& [key, object] : this->objects) {
    const bool wanted = key.kind == kind && object.version > since &&
                        (since > 0 || !object.deleted);
    if (wanted) {
      list.items.push_back(object);
    }
  }
  this->pending_results.push_back([done, list] { done(list); });
}

void MemoryStore::Watch(std::string_view kind, std::int64_t since,
                        std::int64_t /*wait_ms*/, const ListDone& done) {
  this->List(kind, since, done);
}

void MemoryStore::Settle() {
  while (this->Step()) {
  }
}

bool MemoryStore::Step() {
  if (this->pending_results.empty()) {
    return false;
  }
  const std::function<void()> result = std::move(this->pending_results.front());
  this->pending_results.pop_front();
  result();
  return true;
}

void MemoryStore::FailWrites(const std::vector<WriteFault>& coming) {
  this->faults.insert(this->faults.end(), coming.begin(), coming.end());
}

void MemoryStore::ReleaseDelayed() {
  const std::vector<Write> held = std::exchange(this->delayed, {});
  for (const Write& write : held) {
    this->Apply(write).IgnoreError();
  }
}

void MemoryStore::Submit(const Write& write, const PutDone& done) {
  ++this->write_calls;
  absl::StatusOr<std::int64_t> result =
      StoreError(ErrorId::kStoreUnavailable, "put", write.key.kind);
  if (!this->down) {
    const WriteFault fault = this->NextFault();
    if (fault == WriteFault::kDelayed) {
      this->delayed.push_back(write);
    } else if (fault != WriteFault::kRequestLost) {
      result = this->Apply(write);
    }
    if (fault != WriteFault::kNone) {
      result = StoreError(ErrorId::kStoreUnknown, "put", write.key.kind);
    }
  }
  this->pending_results.push_back([done, result] { done(result); });
}

absl::StatusOr<std::int64_t> MemoryStore::Apply(const Write& write) {
  StoredObject& object = this->objects[write.key];
  const std::int64_t current_version = object.deleted ? 0 : object.version;
  if (current_version != write.expected_version) {
    return StoreError(ErrorId::kStoreConflict, "put",
                      write.key.kind + "/" + write.key.name);
  }
  object.kind = write.key.kind;
  object.name = write.key.name;
  object.version = ++this->revision;
  object.value = write.value;
  object.deleted = write.removes;
  return object.version;
}

WriteFault MemoryStore::NextFault() {
  if (this->faults.empty()) {
    return WriteFault::kNone;
  }
  const WriteFault fault = this->faults.front();
  this->faults.pop_front();
  return fault;
}

}  // namespace meadowthread
