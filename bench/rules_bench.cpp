// CPU time of one iteration of the scheduling rules with many queued block I/Os, without sockets.
#include <benchmark/benchmark.h>

#include <deque>
#include <string>

#include "rules.h"

namespace {

using namespace yewmount;

struct CountingSurroundings : HeadEnvironment {
  std::vector<std::pair<std::uint64_t, int>> sent;
  std::size_t answers = 0;
  void submit(std::uint64_t id, int node, Micros) override { sent.emplace_back(id, node); }
  void shed(std::uint64_t, Micros, RejectionReason) override { ++answers; }
  void fail(std::uint64_t, RejectionReason) override { ++answers; }
  void cancel(std::uint64_t, int) override {}
  void set_timer(std::uint64_t, Micros) override {}
  void fetch_list() override {}
  void watch_list() override {}
  void probe(int) override {}
  void log_note(std::string_view) override {}
};

Provisioning scheduler_settings() {
  Provisioning p{};
  p.seed = 7, p.heads = 1;
  p.groups = {
      {600'000'000, 900'000'000, 0, 0, 2, 0.2, RepeatSafety::idempotent, DedupScope::all, false, false}};
  p.plans = {{0, 0, 0, 1e6, 1e6, 1, 1}};
  p.cold_capacity_units = 28, p.typical_units = 2, p.max_units = 6, p.share_gain_factor = 0.35,
  p.excess_gain_factor = 0.08;
  p.max_submits = 3, p.list_poll_interval = -1, p.cold_speed_factor = 0.2, p.overload_multiple = 4;
  p.warmup_time = 16'000'000, p.overload_window = 3'000'000, p.order_gap = p.retry_budget_window = -1;
  return p;
}

// Arguments: the number of queued block I/Os, and whether they write new objects (which any node may take)
// instead of reading objects from a fixed shard. One iteration is a timer tick and a settle().
void run_iterations(benchmark::State& state) {
  const int queued = static_cast<int>(state.range(0));
  const int nodes = 45;
  const bool is_new = state.range(1) != 0;
  CountingSurroundings surroundings;
  Micros now = 1'000'000;
  Head head(scheduler_settings(), surroundings, now);
  std::deque<std::string> names;
  std::vector<NodeEntry> entries;
  for (int n = 0; n < nodes; ++n) {
    names.push_back("n" + std::to_string(100 + n));
    entries.push_back({n, names.back(), NodeState::ready, n, 0, 1, 0});
  }
  head.update_node_list(ListKind::full, entries);
  for (int i = 0; i < queued + 32 * nodes; ++i)
    head.enqueue({.id = static_cast<std::uint64_t>(i + 1),
                  .object = 17u * static_cast<unsigned>(i),
                  .give_up_at = now + 900'000'000,
                  .group = 0,
                  .plan = 0,
                  .volume = i % 50,
                  .shard = is_new ? -1 : i % nodes,
                  .units = 1 + i % 6,
                  .heads = 1});
  head.run_scheduler();
  for (auto _ : state) {
    now += 5'000;
    head.set_time(now);
    head.on_timer(0);
    head.run_scheduler();
  }
  state.counters["sent"] = static_cast<double>(surroundings.sent.size());
}
BENCHMARK(run_iterations)
    ->Name("turn")
    ->ArgNames({"held", "new"})
    ->Args({100, 0})
    ->Args({100, 1})
    ->Args({10'000, 0})
    ->Args({10'000, 1})
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
