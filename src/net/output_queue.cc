#include "net/output_queue.h"

namespace meadowthread {
namespace {

// Copied bytes are collected into pieces of up to this size.
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
// Fewer shared bytes are copied, so that one call sends them with those before.
constexpr std::size_t kMinSharedBytes = std::size_t{16} * 1024;

}  // namespace

void OutputQueue::Append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  const bool fits =
      !this->pieces.empty() && this->pieces.back().shared.IsEmpty() &&
      this->pieces.back().copied.size() + bytes.size() <= kPieceBytes;
  if (!fits) {
    this->pieces.emplace_back();
  }
  this->pieces.back().copied.append(bytes);
  this->size += bytes.size();
}

void OutputQueue::AppendShared(const SharedBytes& bytes) {
  if (bytes.Size() < kMinSharedBytes) {
    this->Append(bytes.Str());
    return;
  }
  this->pieces.push_back({{}, bytes});
  this->size += bytes.Size();
}

std::string_view OutputQueue::Front() const {
  return this->pieces.empty()
             ? std::string_view()
             : this->pieces.front().View().substr(this->sent_of_first);
}

void OutputQueue::Consume(std::size_t count) {
  this->sent_of_first += count;
  this->size -= count;
  if (!this->pieces.empty() &&
      this->sent_of_first == this->pieces.front().View().size()) {
    this->pieces.pop_front();
    this->sent_of_first = 0;
  }
}

void OutputQueue::Clear() {
  this->pieces.clear();
  this->sent_of_first = 0;
  this->size = 0;
}

}  // namespace meadowthread
