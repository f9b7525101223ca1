// Throughput of computing and verifying checksums on one core, by extent size.
#include <benchmark/benchmark.h>

#include <string>

#include "checksums/checksums.h"

namespace {

using namespace yewmount;

void compute(benchmark::State& state) {
  const std::string data(static_cast<std::size_t>(state.range(0)), 'd');
  for (auto _ : state) benchmark::DoNotOptimize(checksums::compute_extent({1, 2}, data));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(compute)->Name("made")->Arg(1024)->Arg(24 << 10)->Arg(384 << 10)->Arg(8 << 20);

void verify(benchmark::State& state) {
  const std::string data(static_cast<std::size_t>(state.range(0)), 'd');
  const auto size = static_cast<std::uint32_t>(data.size());
  std::vector<std::uint64_t> block_checksums;
  checksums::compute_blocks({1, 2}, data, block_checksums);
  const std::uint64_t extent_checksum = checksums::compute_extent({1, 2}, data);
  for (auto _ : state)
    benchmark::DoNotOptimize(
        checksums::find_mismatch({1, 2}, size, extent_checksum, {0, size}, data, block_checksums));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(verify)->Name("checked")->Arg(1024)->Arg(24 << 10)->Arg(384 << 10)->Arg(8 << 20);

}  // namespace

BENCHMARK_MAIN();
