// Seeded random days: heads, lists and submits that end in every way, the seven rules checked at every step.
#include <random>

#include "bench_free.h"

namespace yewmount::tests {
namespace {

struct Day {
  std::mt19937 chance;
  int any(int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); }

  Provisioning draw(unsigned seed) {
    Provisioning p = usual();
    p.seed = seed;
    p.heads = 1 + any(4);
    p.may_copy = any(2);
    p.may_probe = any(2);
    p.takes_advice = any(2);
    p.tells_elsewhere = any(2);
    p.list_asked = any(2);
    p.ask_every = 5 * second;
    p.groups[2].scope = static_cast<Scope>(any(3));
    if (any(2)) {  // rules 5 to 7 bind no deployment today; here they do
      for (IoGroup& g : p.groups) g.keeps_order = any(2);
      p.turn_rest = 200 * ms;
    }
    if (any(2)) p.budget_span = 2 * second, p.budget_spare = 1, p.budget_share = 0.1;
    if (any(2)) p.plans[0].limit = 8, p.plans[0].burst = 12.0 * p.heads, p.plans[0].slack = 1;
    if (any(2)) p.plans.insert(p.plans.end(), {p.plans[0], p.plans[1]});  // planned anew as it goes
    return p;
  }

  Result result() {
    static constexpr Result all[] = {Result::ended,         Result::ended,     Result::ended,
                                     Result::ended,         Result::error,     Result::turned_away,
                                     Result::lost,          Result::no_answer, Result::not_sent,
                                     Result::no_connection, Result::ended};
    return all[any(11)];
  }

  void run(unsigned seed) {
    chance.seed(seed);
    Provisioning p = draw(seed);
    Together all;
    std::vector<std::unique_ptr<Watched>> heads;
    auto start = [&](int i, Micros now) {
      p.own_number = i;
      p.seed = seed + 31u * static_cast<unsigned>(i);
      heads[i] = std::make_unique<Watched>(p, all, now);
      std::vector<NodeEntry> entries;
      for (int n = 0; n < 6; ++n) entries.push_back(entry(n));
      heads[i]->listed(entries, ListKind::cached);
    };
    heads.resize(p.heads);
    for (int i = 0; i < p.heads; ++i) start(i, 0);
    std::uint64_t id = 0;
    std::vector<int> mood(6, 0);  // 0: answers; 1: answers nothing; 2: quick errors
    Micros now = 0;
    std::size_t ends = 0;
    for (int step = 0; step < 1500 && !::testing::Test::HasFailure(); ++step) {
      now += 1 + any(20'000);
      if (any(60) == 0) mood[any(6)] = any(3);
      if (any(150) == 0) {
        const int node = any(6);
        const NodeEntry e = any(2) ? entry(node, NodeState::ready, now - any(400) * ms)
                                   : entry(node, static_cast<NodeState>(any(3)));
        all.to_cold.erase(node);
        for (auto& h : heads) h->at(now), h->listed({e});
      }
      if (any(300) == 0) start(any(p.heads), now);
      if (p.plans.size() > 2 && any(40) == 0) {
        Plan& plan = p.plans[static_cast<std::size_t>(2 + any(2))];
        plan.reserve = any(20), plan.weight = 1 + any(3);
        plan.nodes.clear();
        for (int n = any(4); n > 0; --n) plan.nodes.push_back(any(8));  // some that nobody has heard of
        for (auto& h : heads) h->at(now), h->planned(p.plans);
      }
      for (auto& h : heads) {
        h->at(now);
        if (any(80) == 0) h->head.listed(ListKind::failed, {});
        for (int n = any(4); n > 0; --n)
          h->take({.id = ++id,
                   .object = std::uint64_t(any(5)),
                   .give_up_at = now + (100 + any(2000)) * ms,
                   .group = any(3),
                   .plan = any(static_cast<int>(p.plans.size())),
                   .volume = any(4),
                   .shard = any(3) ? any(6) : -1,
                   .units = 1 + any(6),
                   .heads = p.heads});
        std::vector<std::pair<std::uint64_t, int>> open;
        for (auto& [i, t] : h->taken)
          for (int s = 0; s < static_cast<int>(t.sent.size()); ++s) {
            if (!t.sent[s].out) continue;
            if (now >= t.io.give_up_at)
              h->end(i, s, Result::no_answer), ++ends;
            else if (mood[t.sent[s].node] != 1 && any(4) == 0)
              open.emplace_back(i, s);
          }
        for (auto [i, s] : open) {
          const int m = mood[h->taken[i].sent[s].node];
          h->end(i, s, m == 2 ? Result::error : result(), any(3)), ++ends;
        }
        for (auto it = h->taken.begin(); it != h->taken.end();) {
          bool done = it->second.over;
          for (const Sent& s : it->second.sent) done = done && !s.out;
          const bool old = done && it->second.io.give_up_at < now - 5 * second;
          if (any(900) == 0 && !it->second.over) it->second.over = true, h->head.client_left(it->first);
          if (old && !p.groups[it->second.io.group].keeps_order)
            it = h->taken.erase(it);
          else
            ++it;
        }
        for (int node : std::exchange(h->probes, {}))
          h->head.probed(node, any(2) ? Result::ended : Result::no_answer, 2 * ms, {});
        h->settle();
      }
    }
    EXPECT_GT(ends, 100u) << "the day had too little in it to check anything";
    for (auto& h : heads) h->at(now + 4 * second), h->settle();
  }
};

class RandomDay : public ::testing::TestWithParam<unsigned> {};
TEST_P(RandomDay, KeepsTheSevenRules) { Day().run(GetParam()); }
INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, ::testing::Range(1u, 61u));

}  // namespace
}  // namespace yewmount::tests
