// What checksums cost: seconds of one core a GiB, by size of extent.
#include <benchmark/benchmark.h>

#include <string>

#include "sums/sums.h"

namespace {

using namespace yewmount;

void made(benchmark::State& state) {
  const std::string data(static_cast<std::size_t>(state.range(0)), 'd');
  for (auto _ : state) benchmark::DoNotOptimize(sums::whole({1, 2}, data));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(made)->Arg(1024)->Arg(24 << 10)->Arg(384 << 10)->Arg(8 << 20);

void checked(benchmark::State& state) {
  const std::string data(static_cast<std::size_t>(state.range(0)), 'd');
  const auto size = static_cast<std::uint32_t>(data.size());
  std::vector<std::uint64_t> all;
  sums::blocks({1, 2}, data, all);
  const std::uint64_t sum = sums::whole({1, 2}, data);
  for (auto _ : state) benchmark::DoNotOptimize(sums::fault({1, 2}, size, sum, {0, size}, data, all));
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(checked)->Arg(1024)->Arg(24 << 10)->Arg(384 << 10)->Arg(8 << 20);

}  // namespace

BENCHMARK_MAIN();
