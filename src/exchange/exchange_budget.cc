#include "exchange/exchange_budget.h"

#include <algorithm>

namespace meadowthread {
namespace {

constexpr std::size_t kMaxWholeStateBytes = std::size_t{16} << 20;

}  // namespace

ExchangeBudget::ExchangeBudget(const ExchangeSettings& exchange_settings,
                               const Clock& clock)
    : settings(exchange_settings),
      regular(this->settings.regular_bytes_per_second,
              this->settings.regular_burst_bytes, clock),
      bulk(this->settings.bulk_bytes_per_second,
           this->settings.bulk_burst_bytes, clock) {}

void ExchangeBudget::Spend(std::size_t body_bytes) {
  const auto bytes =
      static_cast<std::int64_t>(body_bytes) + kHttpBytesPerMessage;
  // Once the bulk bucket is empty, bulk is charged to the regular bucket and
  // delays rounds; otherwise it would be unlimited.
  const bool is_bulk =
      bytes > this->settings.regular_item_bytes && this->bulk.Available() > 0;
  (is_bulk ? this->bulk : this->regular).Spend(bytes);
}

// The reserve covers what peers send in the meantime, which can't be refused.
bool ExchangeBudget::AllowsCall() {
  return this->regular.Available() > this->settings.regular_reserve_bytes;
}

bool ExchangeBudget::IsLow() {
  return this->regular.Available() < this->regular.Burst() / 2;
}

ItemLimits ExchangeBudget::ForRequest() {
  const std::size_t bytes = this->ItemBytes();
  return ItemLimits{bytes, bytes};
}

ItemLimits ExchangeBudget::ForAnswer() {
  const std::size_t bytes = this->ItemBytes();
  const bool has_bulk = this->bulk.Available() > 0;
  return ItemLimits{bytes, has_bulk ? kMaxWholeStateBytes : bytes};
}

std::size_t ExchangeBudget::ItemBytes() {
  const std::int64_t bulk_bytes =
      std::min(this->settings.bulk_item_bytes, this->bulk.Available());
  if (bulk_bytes > this->settings.regular_item_bytes) {
    return static_cast<std::size_t>(bulk_bytes);
  }
  const std::int64_t news_bytes = std::min(
      this->settings.regular_item_bytes,
      this->regular.Available() - this->settings.regular_reserve_bytes);
  return static_cast<std::size_t>(std::max<std::int64_t>(0, news_bytes));
}

}  // namespace meadowthread
