// Seeded random scenarios: heads, node lists and submits with all results. The seven safety rules are checked
// at every step.
#include <random>

#include "checked_head.h"

namespace yewmount::tests {
namespace {

struct Scenario {
  std::mt19937 random;
  int random_below(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }

  Provisioning random_provisioning(unsigned seed) {
    Provisioning p = default_provisioning();
    p.seed = seed;
    p.heads = 1 + random_below(4);
    p.may_duplicate = random_below(2);
    p.may_probe = random_below(2);
    p.may_advise_retry = random_below(2);
    p.reports_other_heads = random_below(2);
    p.polls_list = random_below(2);
    p.list_poll_interval = 5 * second;
    p.groups[2].scope = static_cast<DedupScope>(random_below(3));
    if (random_below(2)) {  // no deployment sets rules 5 to 7 today
      for (IoGroup& g : p.groups) g.keeps_order = random_below(2);
      p.order_gap = 200 * ms;
    }
    if (random_below(2))
      p.retry_budget_window = 2 * second, p.retry_budget_base = 1, p.retry_budget_ratio = 0.1;
    if (random_below(2)) p.plans[0].limit = 8, p.plans[0].burst = 12.0 * p.heads, p.plans[0].slack = 1;
    if (random_below(2))
      p.plans.insert(p.plans.end(), {p.plans[0], p.plans[1]});  // changed while the heads run
    return p;
  }

  Result result() {
    static constexpr Result all[] = {Result::ended,         Result::ended,     Result::ended,
                                     Result::ended,         Result::error,     Result::turned_away,
                                     Result::lost,          Result::no_answer, Result::not_sent,
                                     Result::no_connection, Result::ended};
    return all[random_below(11)];
  }

  void run(unsigned seed) {
    random.seed(seed);
    Provisioning p = random_provisioning(seed);
    SharedState all;
    std::vector<std::unique_ptr<CheckedHead>> heads;
    auto start = [&](int i, Micros now) {
      p.own_number = i;
      p.seed = seed + 31u * static_cast<unsigned>(i);
      heads[i] = std::make_unique<CheckedHead>(p, all, now);
      std::vector<NodeEntry> entries;
      for (int n = 0; n < 6; ++n) entries.push_back(entry(n));
      heads[i]->update_node_list(entries, ListKind::cached);
    };
    heads.resize(p.heads);
    for (int i = 0; i < p.heads; ++i) start(i, 0);
    std::uint64_t id = 0;
    std::vector<int> behaviour(6, 0);  // 0: answers; 1: no answers; 2: quick errors
    Micros now = 0;
    std::size_t ends = 0;
    for (int step = 0; step < 1500 && !::testing::Test::HasFailure(); ++step) {
      now += 1 + random_below(20'000);
      if (random_below(60) == 0) behaviour[random_below(6)] = random_below(3);
      if (random_below(150) == 0) {
        const int node = random_below(6);
        const NodeEntry e = random_below(2) ? entry(node, NodeState::ready, now - random_below(400) * ms)
                                            : entry(node, static_cast<NodeState>(random_below(3)));
        all.to_cold.erase(node);
        for (auto& h : heads) h->set_time(now), h->update_node_list({e});
      }
      if (random_below(300) == 0) start(random_below(p.heads), now);
      if (p.plans.size() > 2 && random_below(40) == 0) {
        Plan& plan = p.plans[static_cast<std::size_t>(2 + random_below(2))];
        plan.reserve = random_below(20), plan.weight = 1 + random_below(3);
        plan.nodes.clear();
        for (int n = random_below(4); n > 0; --n)
          plan.nodes.push_back(random_below(8));  // some of them unknown
        for (auto& h : heads) h->set_time(now), h->update_plans(p.plans);
      }
      for (auto& h : heads) {
        h->set_time(now);
        if (random_below(80) == 0) h->head.update_node_list(ListKind::failed, {});
        for (int n = random_below(4); n > 0; --n)
          h->enqueue({.id = ++id,
                      .object = std::uint64_t(random_below(5)),
                      .give_up_at = now + (100 + random_below(2000)) * ms,
                      .group = random_below(3),
                      .plan = random_below(static_cast<int>(p.plans.size())),
                      .volume = random_below(4),
                      .shard = random_below(3) ? random_below(6) : -1,
                      .units = 1 + random_below(6),
                      .heads = p.heads});
        std::vector<std::pair<std::uint64_t, int>> open;
        for (auto& [i, t] : h->requests)
          for (int s = 0; s < static_cast<int>(t.sent.size()); ++s) {
            if (!t.sent[s].in_flight) continue;
            if (now >= t.io.give_up_at)
              h->finish_submit(i, s, Result::no_answer), ++ends;
            else if (behaviour[t.sent[s].node] != 1 && random_below(4) == 0)
              open.emplace_back(i, s);
          }
        for (auto [i, s] : open) {
          const int m = behaviour[h->requests[i].sent[s].node];
          h->finish_submit(i, s, m == 2 ? Result::error : result(), random_below(3)), ++ends;
        }
        for (auto it = h->requests.begin(); it != h->requests.end();) {
          bool done = it->second.over;
          for (const TrackedSubmit& s : it->second.sent) done = done && !s.in_flight;
          const bool old = done && it->second.io.give_up_at < now - 5 * second;
          if (random_below(900) == 0 && !it->second.over)
            it->second.over = true, h->head.on_client_disconnected(it->first);
          if (old && !p.groups[it->second.io.group].keeps_order)
            it = h->requests.erase(it);
          else
            ++it;
        }
        for (int node : std::exchange(h->probes, {}))
          h->head.on_probe_result(node, random_below(2) ? Result::ended : Result::no_answer, 2 * ms, {});
        h->run_scheduler();
      }
    }
    EXPECT_GT(ends, 100u) << "too few submits to check anything";
    for (auto& h : heads) h->set_time(now + 4 * second), h->run_scheduler();
  }
};

class RandomDay : public ::testing::TestWithParam<unsigned> {};
TEST_P(RandomDay, KeepsTheSevenRules) { Scenario().run(GetParam()); }
INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, ::testing::Range(1u, 61u));

}  // namespace
}  // namespace yewmount::tests
