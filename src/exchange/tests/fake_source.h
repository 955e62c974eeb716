#ifndef MEADOWTHREAD_EXCHANGE_TESTS_FAKE_SOURCE_H_
#define MEADOWTHREAD_EXCHANGE_TESTS_FAKE_SOURCE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "exchange/exchange_source.h"

namespace meadowthread::fake {

/// @brief A host's copies, kept the plain way: by name, newest version only.
class FakeSource final : public ExchangeSource {
 public:
  explicit FakeSource(const std::vector<std::string>& kind_names) {
    for (const std::string& kind : kind_names) {
      this->order.push_back(kind);
      this->kinds[kind] = Kind{};
    }
  }

  /// @brief As if read from the platform: all up to `revision` is known.
  void Read(const std::string& kind, const std::vector<StoredObject>& items,
            std::int64_t revision) {
    for (const StoredObject& item : items) {
      this->Take(item);
    }
    this->kinds[kind].revision = std::max(this->kinds[kind].revision, revision);
  }

  std::int64_t VersionOf(const std::string& kind,
                         const std::string& name) const {
    const auto& objects = this->kinds.at(kind).objects;
    const auto found = objects.find(name);
    return found == objects.end() ? 0 : found->second.version;
  }

  std::size_t Count(const std::string& kind) const {
    return this->kinds.at(kind).objects.size();
  }

  std::vector<KindDigest> Digests() const override {
    std::vector<KindDigest> digests;
    for (const std::string& kind : this->order) {
      digests.push_back(KindDigest{kind, this->kinds.at(kind).revision, 0, ""});
    }
    return digests;
  }

  KindDelta DeltaSince(std::string_view kind, std::int64_t revision,
                       std::size_t limit_bytes) const override {
    const Kind& held = this->kinds.at(std::string(kind));
    KindDelta delta;
    delta.kind = std::string(kind);
    delta.since = revision;
    delta.revision = held.revision;
    std::size_t bytes = 0;
    for (auto at = held.by_version.upper_bound(revision);
         at != held.by_version.end(); ++at) {
      const StoredObject& item = held.objects.at(at->second);
      if (!delta.items.empty() && bytes > limit_bytes) {
        delta.cut = true;
        delta.revision = std::min(held.revision, delta.items.back().version);
        break;
      }
      bytes += item.name.size() + item.value.size();
      delta.items.push_back(item);
    }
    return delta;
  }

  int Apply(std::string_view /*from*/, const KindDigest& /*digest*/,
            const KindDelta& delta) override {
    const auto found = this->kinds.find(delta.kind);
    if (found == this->kinds.end()) {
      return 0;
    }
    const int taken = this->Offer(delta.items);
    if (delta.since <= found->second.revision) {
      found->second.revision = std::max(found->second.revision, delta.revision);
    }
    return taken;
  }

  int Offer(std::span<const StoredObject> items) override {
    int taken = 0;
    for (const StoredObject& item : items) {
      taken += this->Take(item) ? 1 : 0;
    }
    return taken;
  }

 private:
  struct Kind {
    std::int64_t revision = 0;
    std::map<std::string, StoredObject> objects;
    std::map<std::int64_t, std::string> by_version;
  };

  bool Take(const StoredObject& item) {
    const auto kind = this->kinds.find(item.kind);
    if (kind == this->kinds.end()) {
      return false;
    }
    StoredObject& held = kind->second.objects[item.name];
    if (held.version >= item.version) {
      return false;
    }
    kind->second.by_version.erase(held.version);
    kind->second.by_version[item.version] = item.name;
    held = item;
    return true;
  }

  std::vector<std::string> order;
  std::map<std::string, Kind> kinds;
};

}  // namespace meadowthread::fake

#endif  // MEADOWTHREAD_EXCHANGE_TESTS_FAKE_SOURCE_H_
