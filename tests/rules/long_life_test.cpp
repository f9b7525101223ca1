// A head that runs for months: what a turn costs, what it keeps, and nodes that only see side-effecting work.
#include <chrono>

#include "bench_free.h"

namespace yewmount::tests {
namespace {

struct Quiet : Surroundings {
  std::vector<std::pair<std::uint64_t, int>> sent;
  std::size_t answers = 0;
  void submit(std::uint64_t id, int node, Micros) override { sent.emplace_back(id, node); }
  void shed(std::uint64_t, Micros, GiveUp) override { ++answers; }
  void fail(std::uint64_t, GiveUp) override { ++answers; }
  void cancel(std::uint64_t, int) override {}
  void wake(std::uint64_t, Micros) override {}
  void fetch_list() override {}
  void watch_list() override {}
  void probe(int) override {}
  void note(std::string_view) override {}
};

// Guards against a node that is shut for ever, and then every node, where volumes only write and probing is
// not allowed: 10 s of quick errors left 9 of 6,000 block I/Os sent in the 110 s of health after them.
TEST(LongLife, NodesReturnThoughOnlySideEffectingNewObjectsCome) {
  Provisioning given = usual();
  given.may_probe = false;
  Together all;
  Watched head(given, all, second);
  for (int n = 0; n < 3; ++n) head.listed({entry(n)});
  head.at(second);
  std::uint64_t id = 0;
  int ended = 0, late_sent = 0;
  for (int step = 0; step < 2400; ++step) {
    head.at(head.now + 50 * ms);
    const bool sick = head.now < 11 * second;
    const auto before = head.order.size();
    head.take({.id = ++id,
               .object = id * 7919,
               .give_up_at = head.now + 3 * second,
               .group = 1,
               .plan = 1,
               .volume = 0,
               .shard = -1,
               .units = 2,
               .heads = 1});
    head.settle();
    if (head.now > 20 * second) late_sent += static_cast<int>(head.order.size() - before);
    std::vector<std::uint64_t> out;
    for (auto& [i, t] : head.taken)
      if (!t.sent.empty() && t.sent.back().out) out.push_back(i);
    for (auto i : out) {
      head.end(i, static_cast<int>(head.taken[i].sent.size()) - 1, sick ? Result::error : Result::ended);
      ended += !sick;
    }
    head.settle();
  }
  EXPECT_GT(late_sent, 1900) << "of 2,000 after the nodes were well again";
  EXPECT_GT(ended, 1900);
}

TEST(LongLife, AWeekOfReplacedNodesNewVolumesAndKeysLeavesNothingBehind) {
  Provisioning given = usual();
  for (IoGroup& g : given.groups) g.keeps_order = true;
  given.turn_rest = 200 * ms;
  given.budget_span = 2 * second, given.budget_spare = 3, given.budget_share = 0.2;
  Quiet out;
  Micros now = second;
  Head head(given, out, now);
  std::vector<int> free_nodes, free_volumes;
  int nodes = 0, volumes = 0, last_node = -1;
  std::vector<int> old_nodes, old_volumes;
  std::uint64_t id = 0;
  std::vector<std::string> names(4096);
  for (int round = 0; round < 3000; ++round) {  // a node replaced every 200 s: about a week of them
    head.at(now);
    const int node = free_nodes.empty() ? nodes++ : free_nodes.back();
    if (!free_nodes.empty()) free_nodes.pop_back();
    names[node] = std::to_string(1000 + round);
    std::vector<NodeEntry> entries{{node, names[node], NodeState::ready, 0, 0, 1, 0}};
    if (last_node >= 0)
      entries.push_back({last_node, names[last_node], NodeState::gone, 0, 0, 1, 0}),
          old_nodes.push_back(last_node);
    head.listed(ListKind::delta, entries);
    last_node = node;
    const int volume = free_volumes.empty() ? volumes++ : free_volumes.back();
    if (!free_volumes.empty()) free_volumes.pop_back();
    old_volumes.push_back(volume);
    for (int k = 0; k < 4; ++k) {
      head.take({.id = ++id,
                 .object = id,
                 .give_up_at = now + 2 * second,
                 .group = k % 3,
                 .plan = 1,
                 .volume = volume,
                 .shard = 0,
                 .units = 2,
                 .heads = 1});
      head.settle();
      for (auto [i, n] : std::exchange(out.sent, {}))
        head.answered({i, 0, n, k == 3 ? Result::lost : Result::ended, k != 3, 20 * ms, 0, 0, {}});
      head.settle();
    }
    for (int step = 0; step < 40; ++step) {  // 200 s in steps of 5 s; what a tick does it does at each
      now += 5 * second;
      head.at(now);
      head.woke(0);
      for (auto [i, n] : std::exchange(out.sent, {}))
        head.answered({i, 1, n, Result::ended, true, 20 * ms, 0, 0, {}});
      head.settle();
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
  EXPECT_EQ(kept.in_hand, 0u);
  EXPECT_LE(kept.nodes, 4u);
  EXPECT_LE(kept.volumes, 4u);
  EXPECT_EQ(kept.lines, 0u);
  EXPECT_LE(kept.marks, 8u);
}

TEST(LongLife, AnIndexWithASubmitOutIsNotGivenAway) {
  Provisioning given = usual();
  Quiet out;
  Head head(given, out, second);
  head.listed(ListKind::cached, std::vector<NodeEntry>{entry(0), entry(1)});
  head.at(second);
  head.take({.id = 1,
             .object = 5,
             .give_up_at = 3 * second,
             .group = 1,
             .plan = 1,
             .volume = 0,
             .shard = 0,
             .units = 2,
             .heads = 1});
  head.settle();
  ASSERT_EQ(out.sent.size(), 1u);
  EXPECT_FALSE(head.forget_node(0)) << "listed";
  head.listed(ListKind::full, std::vector<NodeEntry>{entry(1)});
  EXPECT_FALSE(head.forget_node(0)) << "a submit is out there";
  EXPECT_FALSE(head.forget_volume(0));
  head.answered({1, 0, 0, Result::ended, true, 20 * ms, 0, 0, {}});
  head.settle();
  EXPECT_TRUE(head.forget_node(0));
}

}  // namespace
}  // namespace yewmount::tests
