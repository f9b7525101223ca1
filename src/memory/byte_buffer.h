// A queue of bytes in one piece of memory, whose capacity is charged to a budget.
#pragma once
#include <cstddef>
#include <memory>
#include <string_view>

#include "memory/budget.h"

namespace yewmount::memory {

// What the allocator needs for each piece of memory besides the bytes themselves.
inline constexpr std::size_t kAllocationOverheadBytes = 16;

// The bytes to charge for a piece of memory of this capacity.
inline std::size_t charged_bytes(std::size_t capacity) {
  return capacity > 0 ? capacity + kAllocationOverheadBytes : 0;
}

class ByteBuffer {
 public:
  ByteBuffer(Budget& budget, Use use) : charge_(budget, use) {}

  std::string_view view() const { return {bytes_.get() + begin_, size()}; }
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  std::size_t capacity() const { return capacity_; }
  // Bytes that can be appended before more memory is needed.
  std::size_t spare() const { return capacity_ - size(); }

  // Sets the capacity to what `bytes` bytes in all need, without spare room. Never shrinks.
  void reserve(std::size_t bytes);
  // Appends bytes. Where the capacity is too small, it grows by half, and at least to what is needed.
  void append(std::string_view bytes);
  // Removes bytes from the front; frees memory once little or nothing is left.
  void consume(std::size_t bytes);
  // Keeps the first bytes only.
  void truncate(std::size_t bytes);
  void clear() { consume(size()); }

 private:
  void reallocate(std::size_t capacity);

  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  Charge charge_;
};

}  // namespace yewmount::memory
