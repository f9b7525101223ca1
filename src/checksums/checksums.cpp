#include "checksums/checksums.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace yewmount::checksums {
namespace {

std::uint64_t extent_seed(const wire::ExtentId& extent) {
  return extent.head ^ (extent.serial << 32 | extent.serial >> 32);
}

std::uint64_t hash(std::uint64_t seed, std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::size_t block_count(std::uint32_t length) {
  return (length + std::size_t{kBlockBytes} - 1) / kBlockBytes;
}

}  // namespace

void compute_blocks(const wire::ExtentId& extent, std::string_view data,
                    std::vector<std::uint64_t>& checksums) {
  checksums.clear();
  for (std::size_t offset = 0; offset < data.size(); offset += kBlockBytes)
    checksums.push_back(hash(extent_seed(extent) + offset, data.substr(offset, kBlockBytes)));
}

std::uint64_t compute_extent(const wire::ExtentId& extent, std::uint32_t length,
                             std::span<const std::uint64_t> block_checksums) {
  // Hashes the values in little-endian byte order, so that all machines compute the same checksum.
  XXH3_state_t state;
  XXH3_INITSTATE(&state);
  XXH3_64bits_reset_withSeed(&state, extent_seed(extent));
  const auto add = [&](std::uint64_t value) {
    char bytes[8];
    for (int i = 0; i < 8; ++i) bytes[i] = static_cast<char>(value >> (8 * i));
    XXH3_64bits_update(&state, bytes, sizeof bytes);
  };
  add(length);
  for (std::uint64_t checksum : block_checksums) add(checksum);
  return std::max<std::uint64_t>(1, XXH3_64bits_digest(&state));
}

std::uint64_t compute_extent(const wire::ExtentId& extent, std::string_view data) {
  thread_local std::vector<std::uint64_t> block_checksums;
  compute_blocks(extent, data, block_checksums);
  return compute_extent(extent, static_cast<std::uint32_t>(data.size()), block_checksums);
}

Range align_to_blocks(std::uint32_t offset, std::uint32_t length, std::uint32_t extent_length) {
  const std::uint32_t begin = offset / kBlockBytes * kBlockBytes;
  const std::uint64_t end = (std::uint64_t{offset} + length + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
  return {begin, static_cast<std::uint32_t>(std::min<std::uint64_t>(end, extent_length) - begin)};
}

std::string_view find_mismatch(const wire::ExtentId& extent, std::uint32_t extent_length,
                               std::uint64_t extent_checksum, const Range& range, std::string_view data,
                               std::span<const std::uint64_t> block_checksums) {
  if (data.size() != range.length) return "length differs from the requested one";
  if (block_checksums.size() != block_count(extent_length)) return "wrong number of block checksums";
  if (compute_extent(extent, extent_length, block_checksums) != extent_checksum)
    return "block checksums do not match the extent's checksum";
  std::size_t block = range.offset / kBlockBytes;
  for (std::size_t offset = 0; offset < data.size(); offset += kBlockBytes, ++block)
    if (hash(extent_seed(extent) + block * kBlockBytes, data.substr(offset, kBlockBytes)) !=
        block_checksums[block])
      return "data does not match its block checksum";
  return {};
}

}  // namespace yewmount::checksums
