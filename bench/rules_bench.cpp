// What one turn of the module costs with many block I/Os held: time in, wishes out, no sockets.
#include <benchmark/benchmark.h>

#include <deque>
#include <string>

#include "rules.h"

namespace {

using namespace yewmount;

struct Sink : HeadEnvironment {
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

Provisioning given() {
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

// held: how many wait; shard -1: new objects, 0: reads of one node. One turn is a tick and a settle.
void turn(benchmark::State& state) {
  const int held = static_cast<int>(state.range(0)), nodes = 45;
  const bool fresh = state.range(1) != 0;
  Sink out;
  Micros now = 1'000'000;
  Head head(given(), out, now);
  std::deque<std::string> names;
  std::vector<NodeEntry> entries;
  for (int n = 0; n < nodes; ++n) {
    names.push_back("n" + std::to_string(100 + n));
    entries.push_back({n, names.back(), NodeState::ready, n, 0, 1, 0});
  }
  head.update_node_list(ListKind::full, entries);
  for (int i = 0; i < held + 32 * nodes; ++i)
    head.enqueue({.id = static_cast<std::uint64_t>(i + 1),
                  .object = 17u * static_cast<unsigned>(i),
                  .give_up_at = now + 900'000'000,
                  .group = 0,
                  .plan = 0,
                  .volume = i % 50,
                  .shard = fresh ? -1 : i % nodes,
                  .units = 1 + i % 6,
                  .heads = 1});
  head.run_scheduler();
  for (auto _ : state) {
    now += 5'000;
    head.set_time(now);
    head.on_timer(0);
    head.run_scheduler();
  }
  state.counters["sent"] = static_cast<double>(out.sent.size());
}
BENCHMARK(turn)
    ->ArgNames({"held", "new"})
    ->Args({100, 0})
    ->Args({100, 1})
    ->Args({10'000, 0})
    ->Args({10'000, 1})
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
