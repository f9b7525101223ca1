// Thousands of seeded corruptions of each kind, every one caught; what is whole passes.
#include "sums/sums.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace yewmount::tests {
namespace {

struct Stored {
  wire::ExtentId extent;
  std::string data;
  std::vector<std::uint64_t> sums;
  std::uint64_t sum = 0;
};

Stored store(std::ranlux24_base& chance) {
  Stored s;
  s.extent = {chance(), chance()};
  const std::size_t sizes[] = {1, 100, sums::kBlock - 1, sums::kBlock, sums::kBlock + 1, 70'000};
  s.data.resize(sizes[chance() % 6]);
  for (char& c : s.data) c = static_cast<char>(chance());
  sums::blocks(s.extent, s.data, s.sums);
  s.sum = sums::whole(s.extent, s.data);
  return s;
}

struct Read {
  sums::Part part;
  std::string data;
  std::vector<std::uint64_t> sums;
};

Read read(const Stored& s, std::ranlux24_base& chance) {
  const auto size = static_cast<std::uint32_t>(s.data.size());
  const auto offset = static_cast<std::uint32_t>(chance() % size);
  const auto length = static_cast<std::uint32_t>(1 + chance() % (size - offset));
  const sums::Part part = sums::covering(offset, length, size);
  EXPECT_LE(part.offset, offset);
  EXPECT_GE(part.offset + part.length, offset + length);
  EXPECT_LE(part.offset + part.length, size);
  return {part, s.data.substr(part.offset, part.length), s.sums};
}

std::string_view fault(const Stored& s, const Read& r) {
  return sums::fault(s.extent, static_cast<std::uint32_t>(s.data.size()), s.sum, r.part, r.data, r.sums);
}

TEST(Sums, WhatIsWholePasses) {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::ranlux24_base chance(seed);
    const Stored s = store(chance);
    ASSERT_EQ(fault(s, read(s, chance)), "") << seed;
    ASSERT_NE(s.sum, 0u);
    ASSERT_EQ(s.sum, sums::whole(s.extent, static_cast<std::uint32_t>(s.data.size()), s.sums));
  }
}

// Each kind of damage, two thousand times each.
struct Damage : ::testing::TestWithParam<int> {};

TEST_P(Damage, IsCaughtEveryTime) {
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::ranlux24_base chance(seed);
    const Stored s = store(chance);
    Read r = read(s, chance);
    switch (GetParam()) {
      case 0:  // a bit
        r.data[chance() % r.data.size()] ^= static_cast<char>(1 << chance() % 8);
        break;
      case 1:  // cut short
        r.data.resize(chance() % r.data.size());
        break;
      case 2:  // longer
        r.data += static_cast<char>(chance());
        break;
      case 3:  // a bit of a sum
        r.sums[chance() % r.sums.size()] ^= std::uint64_t{1} << chance() % 64;
        break;
      case 4:  // damaged at rest, with sums made anew of the damage
      {
        std::string all = s.data;
        all[r.part.offset] ^= 1;
        sums::blocks(s.extent, all, r.sums);
        r.data = all.substr(r.part.offset, r.part.length);
        break;
      }
      case 5:  // another extent's data, whole and with its own sums
      {
        const wire::ExtentId other{s.extent.head, s.extent.serial + 1};
        sums::blocks(other, s.data, r.sums);
        break;
      }
      case 6:  // a torn write: the rest of it is old
      {
        const std::size_t from = chance() % r.data.size();
        for (std::size_t i = from; i < r.data.size(); ++i) r.data[i] = static_cast<char>(~r.data[i]);
        break;
      }
      default:  // a sum too few
        r.sums.pop_back();
    }
    ASSERT_NE(fault(s, r), "") << GetParam() << ' ' << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds, Damage, ::testing::Range(0, 8));

TEST(Sums, TwoBlocksThatChangedPlacesAreCaught) {
  std::ranlux24_base chance(4);
  Stored s;
  s.extent = {1, 2};
  s.data = std::string(sums::kBlock, 'a') + std::string(sums::kBlock, 'b');
  sums::blocks(s.extent, s.data, s.sums);
  s.sum = sums::whole(s.extent, s.data);
  Read r{{0, 2 * sums::kBlock}, std::string(sums::kBlock, 'b') + std::string(sums::kBlock, 'a'), s.sums};
  EXPECT_NE(fault(s, r), "");
  std::swap(r.sums[0], r.sums[1]);
  EXPECT_NE(fault(s, r), "");
}

}  // namespace
}  // namespace yewmount::tests
