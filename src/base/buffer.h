// Memory of buffers that are filled and emptied again and again.
#pragma once
#include <cstddef>
#include <string>

namespace yewmount {

// Memory that an empty buffer may keep, so that short messages need no allocation each.
inline constexpr std::size_t kMaxEmptyBufferBytes = 4 << 10;

// Empties a buffer and frees its memory, up to kMaxEmptyBufferBytes. Neither clear() nor the assignment of an
// empty string frees any: both keep the capacity.
inline void clear_buffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kMaxEmptyBufferBytes) std::string().swap(buffer);
}

}  // namespace yewmount
