// Checksums of extents: one of each block, and one of them all with the extent's length. Seeded with the
// extent's id, so that good data at the wrong place is caught too. XXH3-64: against accidents, not against
// forgery.
#pragma once
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "wire/wire.h"

namespace yewmount::sums {

inline constexpr std::uint32_t kBlock = 16384;  // bytes; what a ranged read is checked by

// One of each block of a whole extent, into `out`.
void blocks(const wire::ExtentId& extent, std::string_view data, std::vector<std::uint64_t>& out);
// Of a whole extent, from its blocks' sums. Never 0, which stands for none.
std::uint64_t whole(const wire::ExtentId& extent, std::uint32_t length, std::span<const std::uint64_t> sums);
std::uint64_t whole(const wire::ExtentId& extent, std::string_view data);

// The blocks that a part of an extent lies in: what has to be read so that it can be checked.
struct Part {
  std::uint32_t offset = 0, length = 0;
};
Part covering(std::uint32_t offset, std::uint32_t length, std::uint32_t extent_length);

// What is wrong with what came for covering(...), against the extent's own sum; empty: nothing.
std::string_view fault(const wire::ExtentId& extent, std::uint32_t extent_length, std::uint64_t sum,
                       const Part& part, std::string_view data, std::span<const std::uint64_t> sums);

}  // namespace yewmount::sums
