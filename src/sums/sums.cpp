#include "sums/sums.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace yewmount::sums {
namespace {

std::uint64_t seed(const wire::ExtentId& e) { return e.head ^ (e.serial << 32 | e.serial >> 32); }

std::uint64_t sum_of(std::uint64_t seed, std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::size_t count(std::uint32_t length) { return (length + std::size_t{kBlock} - 1) / kBlock; }

}  // namespace

void blocks(const wire::ExtentId& extent, std::string_view data, std::vector<std::uint64_t>& out) {
  out.clear();
  for (std::size_t at = 0; at < data.size(); at += kBlock)
    out.push_back(sum_of(seed(extent) + at, data.substr(at, kBlock)));
}

std::uint64_t whole(const wire::ExtentId& extent, std::uint32_t length, std::span<const std::uint64_t> sums) {
  // Byte by byte, so that machines of either order agree.
  XXH3_state_t state;
  XXH3_INITSTATE(&state);
  XXH3_64bits_reset_withSeed(&state, seed(extent));
  const auto add = [&](std::uint64_t v) {
    char bytes[8];
    for (int i = 0; i < 8; ++i) bytes[i] = static_cast<char>(v >> (8 * i));
    XXH3_64bits_update(&state, bytes, sizeof bytes);
  };
  add(length);
  for (std::uint64_t s : sums) add(s);
  return std::max<std::uint64_t>(1, XXH3_64bits_digest(&state));
}

std::uint64_t whole(const wire::ExtentId& extent, std::string_view data) {
  thread_local std::vector<std::uint64_t> sums;
  blocks(extent, data, sums);
  return whole(extent, static_cast<std::uint32_t>(data.size()), sums);
}

Part covering(std::uint32_t offset, std::uint32_t length, std::uint32_t extent_length) {
  const std::uint32_t from = offset / kBlock * kBlock;
  const std::uint64_t to = (std::uint64_t{offset} + length + kBlock - 1) / kBlock * kBlock;
  return {from, static_cast<std::uint32_t>(std::min<std::uint64_t>(to, extent_length) - from)};
}

std::string_view fault(const wire::ExtentId& extent, std::uint32_t extent_length, std::uint64_t sum,
                       const Part& part, std::string_view data, std::span<const std::uint64_t> sums) {
  if (data.size() != part.length) return "another length than was asked for";
  if (sums.size() != count(extent_length)) return "not one sum for each block";
  if (whole(extent, extent_length, sums) != sum) return "sums that are not those of this extent";
  std::size_t block = part.offset / kBlock;
  for (std::size_t at = 0; at < data.size(); at += kBlock, ++block)
    if (sum_of(seed(extent) + block * kBlock, data.substr(at, kBlock)) != sums[block])
      return "data that its sum does not fit";
  return {};
}

}  // namespace yewmount::sums
