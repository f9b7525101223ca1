// A head that runs for long: the memory it keeps, and the recovery of nodes that only get side-effecting
// requests.
#include <chrono>

#include "checked_head.h"

namespace yewmount::tests {
namespace {

struct RecordingEnvironment : HeadEnvironment {
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

// Prevents nodes from staying ejected for ever where all requests are writes and probes are not allowed:
// after 10 s of quick errors only 9 of 6,000 block I/Os were sent in the next 110 s, although the nodes had
// recovered.
TEST(LongLife, NodesReturnThoughOnlySideEffectingNewObjectsCome) {
  Provisioning given = default_provisioning();
  given.may_probe = false;
  SharedState all;
  CheckedHead head(given, all, second);
  for (int n = 0; n < 3; ++n) head.update_node_list({entry(n)});
  head.set_time(second);
  std::uint64_t id = 0;
  int ended = 0, late_sent = 0;
  for (int step = 0; step < 2400; ++step) {
    head.set_time(head.now + 50 * ms);
    const bool sick = head.now < 11 * second;
    const auto before = head.order.size();
    head.enqueue({.id = ++id,
                  .object = id * 7919,
                  .give_up_at = head.now + 3 * second,
                  .group = 1,
                  .plan = 1,
                  .volume = 0,
                  .shard = -1,
                  .units = 2,
                  .heads = 1});
    head.run_scheduler();
    if (head.now > 20 * second) late_sent += static_cast<int>(head.order.size() - before);
    std::vector<std::uint64_t> out;
    for (auto& [i, t] : head.requests)
      if (!t.sent.empty() && t.sent.back().in_flight) out.push_back(i);
    for (auto i : out) {
      head.finish_submit(i, static_cast<int>(head.requests[i].sent.size()) - 1,
                         sick ? Result::error : Result::ended);
      ended += !sick;
    }
    head.run_scheduler();
  }
  EXPECT_GT(late_sent, 1900) << "of 2,000 after the nodes recovered";
  EXPECT_GT(ended, 1900);
}

TEST(LongLife, AWeekOfReplacedNodesVolumesAndKeysLeavesNoState) {
  Provisioning given = default_provisioning();
  for (IoGroup& g : given.groups) g.keeps_order = true;
  given.order_gap = 200 * ms;
  given.retry_budget_window = 2 * second, given.retry_budget_base = 3, given.retry_budget_ratio = 0.2;
  RecordingEnvironment out;
  Micros now = second;
  Head head(given, out, now);
  std::vector<int> free_nodes, free_volumes;
  int nodes = 0, volumes = 0, last_node = -1;
  std::vector<int> old_nodes, old_volumes;
  std::uint64_t id = 0;
  std::vector<std::string> names(4096);
  for (int round = 0; round < 3000; ++round) {  // a node is replaced every 200 s, for about a week
    head.set_time(now);
    const int node = free_nodes.empty() ? nodes++ : free_nodes.back();
    if (!free_nodes.empty()) free_nodes.pop_back();
    names[node] = std::to_string(1000 + round);
    std::vector<NodeEntry> entries{{node, names[node], NodeState::ready, 0, 0, 1, 0}};
    if (last_node >= 0)
      entries.push_back({last_node, names[last_node], NodeState::gone, 0, 0, 1, 0}),
          old_nodes.push_back(last_node);
    head.update_node_list(ListKind::delta, entries);
    last_node = node;
    const int volume = free_volumes.empty() ? volumes++ : free_volumes.back();
    if (!free_volumes.empty()) free_volumes.pop_back();
    old_volumes.push_back(volume);
    for (int k = 0; k < 4; ++k) {
      head.enqueue({.id = ++id,
                    .object = id,
                    .give_up_at = now + 2 * second,
                    .group = k % 3,
                    .plan = 1,
                    .volume = volume,
                    .shard = 0,
                    .units = 2,
                    .heads = 1});
      head.run_scheduler();
      for (auto [i, n] : std::exchange(out.sent, {}))
        head.on_submit_result({i, 0, n, k == 3 ? Result::lost : Result::ended, k != 3, 20 * ms, 0, 0, {}});
      head.run_scheduler();
    }
    for (int step = 0; step < 40; ++step) {  // 200 s with a timer event every 5 s
      now += 5 * second;
      head.set_time(now);
      head.on_timer(0);
      for (auto [i, n] : std::exchange(out.sent, {}))
        head.on_submit_result({i, 1, n, Result::ended, true, 20 * ms, 0, 0, {}});
      head.run_scheduler();
    }
    std::erase_if(old_nodes, [&](int n) {
      if (!head.forget_node(n)) return false;
      free_nodes.push_back(n);
      return true;
    });
    std::erase_if(old_volumes, [&](int v) {
      if (!head.forget_volume(v)) return false;
      free_volumes.push_back(v);
      return true;
    });
  }
  const Head::Footprint kept = head.footprint();
  EXPECT_EQ(kept.active, 0u);
  EXPECT_LE(kept.nodes, 4u);
  EXPECT_LE(kept.volumes, 4u);
  EXPECT_EQ(kept.key_queues, 0u);
  EXPECT_LE(kept.timestamps, 8u);
}

TEST(LongLife, AnIndexWithASubmitInFlightIsNotReused) {
  Provisioning given = default_provisioning();
  RecordingEnvironment out;
  Head head(given, out, second);
  head.update_node_list(ListKind::cached, std::vector<NodeEntry>{entry(0), entry(1)});
  head.set_time(second);
  head.enqueue({.id = 1,
                .object = 5,
                .give_up_at = 3 * second,
                .group = 1,
                .plan = 1,
                .volume = 0,
                .shard = 0,
                .units = 2,
                .heads = 1});
  head.run_scheduler();
  ASSERT_EQ(out.sent.size(), 1u);
  EXPECT_FALSE(head.forget_node(0)) << "listed";
  head.update_node_list(ListKind::full, std::vector<NodeEntry>{entry(1)});
  EXPECT_FALSE(head.forget_node(0)) << "a submit is in flight";
  EXPECT_FALSE(head.forget_volume(0));
  head.on_submit_result({1, 0, 0, Result::ended, true, 20 * ms, 0, 0, {}});
  head.run_scheduler();
  EXPECT_TRUE(head.forget_node(0));
}

}  // namespace
}  // namespace yewmount::tests
