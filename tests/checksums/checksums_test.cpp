// Tests that intact data verifies and that each kind of corruption is detected, over many seeded cases.
#include "checksums/checksums.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace yewmount::tests {
namespace {

struct StoredExtent {
  wire::ExtentId extent;
  std::string data;
  std::vector<std::uint64_t> block_checksums;
  std::uint64_t checksum = 0;
};

StoredExtent make_extent(std::ranlux24_base& random) {
  StoredExtent s;
  s.extent = {random(), random()};
  const std::size_t sizes[] = {
      1, 100, checksums::kBlockBytes - 1, checksums::kBlockBytes, checksums::kBlockBytes + 1, 70'000};
  s.data.resize(sizes[random() % 6]);
  for (char& c : s.data) c = static_cast<char>(random());
  checksums::compute_blocks(s.extent, s.data, s.block_checksums);
  s.checksum = checksums::compute_extent(s.extent, s.data);
  return s;
}

struct ReadResult {
  checksums::Range range;
  std::string data;
  std::vector<std::uint64_t> block_checksums;
};

// Reads a random range of the extent.
ReadResult read(const StoredExtent& s, std::ranlux24_base& random) {
  const auto size = static_cast<std::uint32_t>(s.data.size());
  const auto offset = static_cast<std::uint32_t>(random() % size);
  const auto length = static_cast<std::uint32_t>(1 + random() % (size - offset));
  const checksums::Range range = checksums::align_to_blocks(offset, length, size);
  EXPECT_LE(range.offset, offset);
  EXPECT_GE(range.offset + range.length, offset + length);
  EXPECT_LE(range.offset + range.length, size);
  return {range, s.data.substr(range.offset, range.length), s.block_checksums};
}

std::string_view mismatch(const StoredExtent& s, const ReadResult& r) {
  return checksums::find_mismatch(s.extent, static_cast<std::uint32_t>(s.data.size()), s.checksum, r.range,
                                  r.data, r.block_checksums);
}

TEST(Checksums, IntactDataVerifies) {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::ranlux24_base random(seed);
    const StoredExtent s = make_extent(random);
    ASSERT_EQ(mismatch(s, read(s, random)), "") << seed;
    ASSERT_NE(s.checksum, 0u);
    ASSERT_EQ(s.checksum, checksums::compute_extent(s.extent, static_cast<std::uint32_t>(s.data.size()),
                                                    s.block_checksums));
  }
}

// The parameter selects the kind of corruption.
struct Corruption : ::testing::TestWithParam<int> {};

TEST_P(Corruption, IsAlwaysDetected) {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::ranlux24_base random(seed);
    const StoredExtent s = make_extent(random);
    ReadResult r = read(s, random);
    switch (GetParam()) {
      case 0:  // a flipped bit
        r.data[random() % r.data.size()] ^= static_cast<char>(1 << random() % 8);
        break;
      case 1:  // truncated data
        r.data.resize(random() % r.data.size());
        break;
      case 2:  // an extra byte
        r.data += static_cast<char>(random());
        break;
      case 3:  // a flipped bit of a block checksum
        r.block_checksums[random() % r.block_checksums.size()] ^= std::uint64_t{1} << random() % 64;
        break;
      case 4:  // data corrupted at rest, with block checksums computed from the corrupted data
      {
        std::string corrupted = s.data;
        corrupted[r.range.offset] ^= 1;
        checksums::compute_blocks(s.extent, corrupted, r.block_checksums);
        r.data = corrupted.substr(r.range.offset, r.range.length);
        break;
      }
      case 5:  // intact data and checksums of another extent
      {
        const wire::ExtentId other{s.extent.head, s.extent.serial + 1};
        checksums::compute_blocks(other, s.data, r.block_checksums);
        break;
      }
      case 6:  // a torn write: the remaining bytes are old
      {
        const std::size_t from = random() % r.data.size();
        for (std::size_t i = from; i < r.data.size(); ++i) r.data[i] = static_cast<char>(~r.data[i]);
        break;
      }
      default:  // a missing block checksum
        r.block_checksums.pop_back();
    }
    ASSERT_NE(mismatch(s, r), "") << GetParam() << ' ' << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds, Corruption, ::testing::Range(0, 8));

TEST(Checksums, SwappedBlocksAreDetected) {
  std::ranlux24_base random(4);
  StoredExtent s;
  s.extent = {1, 2};
  s.data = std::string(checksums::kBlockBytes, 'a') + std::string(checksums::kBlockBytes, 'b');
  checksums::compute_blocks(s.extent, s.data, s.block_checksums);
  s.checksum = checksums::compute_extent(s.extent, s.data);
  ReadResult r{{0, 2 * checksums::kBlockBytes},
               std::string(checksums::kBlockBytes, 'b') + std::string(checksums::kBlockBytes, 'a'),
               s.block_checksums};
  EXPECT_NE(mismatch(s, r), "");
  std::swap(r.block_checksums[0], r.block_checksums[1]);
  EXPECT_NE(mismatch(s, r), "");
}

}  // namespace
}  // namespace yewmount::tests
