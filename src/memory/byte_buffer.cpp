#include "memory/byte_buffer.h"

#include <algorithm>
#include <cstring>

namespace yewmount::memory {
namespace {

// Memory that a buffer keeps when it is emptied, so that short messages need no allocation each.
constexpr std::size_t kMaxEmptyCapacityBytes = 512;
// A buffer of more than kMinShrinkBytes shrinks once it holds less than this part of its capacity.
constexpr std::size_t kMinShrinkBytes = 4 << 10;
constexpr std::size_t kShrinkDivisor = 4;

}  // namespace

void ByteBuffer::reserve(std::size_t bytes) {
  if (bytes > capacity_) reallocate(bytes);
}

void ByteBuffer::append(std::string_view bytes) {
  if (bytes.empty()) return;
  const std::size_t needed = size() + bytes.size();
  if (needed > capacity_) {
    reallocate(capacity_ == 0 ? needed : std::max(needed, capacity_ + capacity_ / 2));
  } else if (end_ + bytes.size() > capacity_) {
    std::memmove(bytes_.get(), bytes_.get() + begin_, size());
    end_ -= begin_;
    begin_ = 0;
  }
  std::memcpy(bytes_.get() + end_, bytes.data(), bytes.size());
  end_ += bytes.size();
}

void ByteBuffer::consume(std::size_t bytes) {
  begin_ += bytes;
  if (bytes > 0 && begin_ < end_ && capacity_ > kMinShrinkBytes && size() < capacity_ / kShrinkDivisor)
    return reallocate(size());
  if (begin_ < end_) return;
  begin_ = end_ = 0;
  if (capacity_ <= kMaxEmptyCapacityBytes) return;
  bytes_.reset();
  capacity_ = 0;
  charge_.set(0);
}

void ByteBuffer::truncate(std::size_t bytes) {
  if (bytes == 0) return clear();
  end_ = std::min(end_, begin_ + bytes);
}

void ByteBuffer::reallocate(std::size_t capacity) {
  auto larger = std::make_unique_for_overwrite<char[]>(capacity);
  const std::size_t count = size();
  if (count > 0) std::memcpy(larger.get(), bytes_.get() + begin_, count);
  bytes_ = std::move(larger);
  capacity_ = capacity;
  begin_ = 0;
  end_ = count;
  charge_.set(charged_bytes(capacity));
}

}  // namespace yewmount::memory
