// XXH3-64 checksums of extents: one for each block, and one over all block checksums and the extent's length.
// All are seeded with the extent's id, so that intact data of another extent or offset is detected as well.
// They detect accidental corruption, not deliberate forgery.
#pragma once
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "wire/wire.h"

namespace yewmount::checksums {

inline constexpr std::uint32_t kBlockBytes = 16384;  // the unit in which a ranged read is verified

// Writes the checksum of each block of a whole extent to `checksums`.
void compute_blocks(const wire::ExtentId& extent, std::string_view data,
                    std::vector<std::uint64_t>& checksums);
// Returns the checksum of a whole extent, from its block checksums or its data. Never 0, which stands for an
// unknown checksum.
std::uint64_t compute_extent(const wire::ExtentId& extent, std::uint32_t length,
                             std::span<const std::uint64_t> block_checksums);
std::uint64_t compute_extent(const wire::ExtentId& extent, std::string_view data);

// A byte range of an extent.
struct Range {
  std::uint32_t offset = 0;
  std::uint32_t length = 0;
};
// Returns the smallest range of whole blocks that covers a byte range: what has to be read to verify it.
Range align_to_blocks(std::uint32_t offset, std::uint32_t length, std::uint32_t extent_length);

// Verifies the data and block checksums read for a range from align_to_blocks() against the extent's
// checksum. Returns a description of the first mismatch, or an empty string if there is none.
std::string_view find_mismatch(const wire::ExtentId& extent, std::uint32_t extent_length,
                               std::uint64_t extent_checksum, const Range& range, std::string_view data,
                               std::span<const std::uint64_t> block_checksums);

}  // namespace yewmount::checksums
