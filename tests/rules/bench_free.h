// What the tests share: heads with surroundings that write down what is asked and check the seven rules as it
// is asked. There are no servers here: the tests say how each submit ends.
#pragma once
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "rules.h"

namespace yewmount::tests {

inline constexpr Micros ms = 1000, second = 1'000'000, drain_grace = second;
inline const std::vector<std::string> node_names = {"n00", "n01", "n02", "n03", "n04", "n05", "n06", "n07"};

inline Provisioning usual() {
  Provisioning p{};
  p.seed = 7;
  p.heads = 1;
  p.groups = {{300 * ms, 2 * second, 5 * second, 0, 2, 0.2, Repeat::idempotent, Scope::all, false, false},
              {600 * ms, 3 * second, 5 * second, 0, 2, 0.2, Repeat::side_effecting, Scope::all, false, false},
              {600 * ms, 3 * second, 900 * ms, 0, 2, 0.2, Repeat::fingerprinted, Scope::cell, false, false}};
  p.plans = {{0, 0, 0, 6, 0, 1, 0.8}, {0, 0, 0, 12, 12, 1, 1.4}};
  p.cold_bears = 28, p.usual_units = 2, p.most_units = 6, p.share_gain = 0.35, p.beyond_gain = 0.08;
  p.may_cancel = true, p.most_submits = 3, p.answer_slack = 8 * ms, p.ask_every = -1;
  p.cold_from = 0.17, p.fall_multiple = 4, p.warm_within = 16 * second, p.overload_for = 3 * second;
  p.turn_rest = p.budget_span = -1, p.budget_spare = p.budget_share = -1;
  return p;
}

inline NodeEntry entry(int node, NodeState state = NodeState::ready, Micros up_since = 0) {
  return {node, node_names[node], state, node, node % 2, 1, up_since};
}

struct Sent {
  int node = 0;
  Micros at = 0;
  bool out = true, may_have_run = false;
};

struct Taken {
  BlockIo io;
  std::vector<Sent> sent;
  bool over = false, shed = false, failed = false, charged = false;
};

// What all heads together may not pass; shared by the heads of one day.
struct Together {
  std::map<int, std::deque<std::pair<Micros, int>>> to_cold, by_cold;  // sent, and served for all heads
  std::map<int, std::pair<double, Micros>> limit_store;
};

class Watched : public Surroundings {
 public:
  Watched(const Provisioning& p, Together& all, Micros start)
      : given(p), all(all), now(start), born(start), head(p, *this, start) {}

  Provisioning given;
  Together& all;
  Micros now, born;
  std::map<std::uint64_t, Taken> taken;
  std::map<int, NodeEntry> list;
  std::map<int, Micros> stopped;  // since when this head was told that a node drains or is gone
  std::map<std::uint64_t, std::vector<std::uint64_t>> lines;
  std::map<std::uint64_t, Micros> rests;
  std::vector<Micros> takes, furthers;
  std::multimap<Micros, std::uint64_t> wakes;
  std::vector<std::pair<std::uint64_t, int>> order;  // id and node of each submit
  int asks = 0;
  std::vector<int> probes;
  Head head;

  void at(Micros t) {
    while (!wakes.empty() && wakes.begin()->first <= t) {
      now = std::max(now, wakes.begin()->first);
      const std::uint64_t token = wakes.begin()->second;
      wakes.erase(wakes.begin());
      head.at(now);
      head.woke(token);
      head.settle();
      check_answers();
    }
    now = t;
    head.at(now);
  }
  void listed(const std::vector<NodeEntry>& entries, ListKind kind = ListKind::delta) {
    if (kind != ListKind::delta) list.clear();
    for (const NodeEntry& e : entries) list[e.node] = e;
    for (int i = 0; i < static_cast<int>(node_names.size()); ++i)
      if (list.count(i) && list[i].state == NodeState::ready)
        stopped.erase(i);
      else
        stopped.try_emplace(i, now);
    head.listed(kind, entries);
  }
  void planned(const std::vector<Plan>& plans) {
    given.plans = plans;
    head.planned(plans);
  }
  void take(BlockIo io) {
    taken[io.id].io = io;
    if (given.groups[io.group].keeps_order && io.object) lines[io.object].push_back(io.id);
    takes.push_back(now);
    head.take(io);
  }
  void end(std::uint64_t id, int submit, Result result, int from_others = 0, int use = 0) {
    Taken& t = taken.at(id);
    Sent& s = t.sent[submit];
    s.out = false;
    s.may_have_run =
        result != Result::turned_away && result != Result::no_connection && result != Result::not_sent;
    if (given.groups[t.io.group].keeps_order &&
        (result == Result::no_answer || result == Result::lost || result == Result::called_off))
      rests[t.io.object] = now + std::max<Micros>(0, given.turn_rest);
    if (result == Result::ended) all.by_cold[s.node].emplace_back(now, t.io.units);
    const bool over = t.over || result == Result::ended;
    t.over = over;
    head.answered({id, submit, s.node, result, over, now - s.at, use, from_others, {}});
  }
  void settle() {
    head.settle();
    check_answers();
  }
  void submit(std::uint64_t id, int node, Micros) override {
    Taken& t = taken.at(id);
    const IoGroup& g = given.groups[t.io.group];
    EXPECT_FALSE(t.over) << "rule 1: a submit after the final answer";
    ASSERT_TRUE(list.count(node));
    if (t.io.shard >= 0) {
      EXPECT_EQ(list[node].shard, t.io.shard);
    }
    for (const Sent& s : t.sent) {
      if (!s.out && !s.may_have_run) continue;
      EXPECT_FALSE(s.out && !given.may_copy) << "rule 2: two submits at once";
      EXPECT_NE(g.repeat, Repeat::side_effecting) << "rule 2: a second effect";
      if (g.repeat != Repeat::fingerprinted) continue;
      EXPECT_LT(now, s.at + g.memory_span) << "rule 2: beyond the memory span";
      if (g.scope == Scope::zone) {
        EXPECT_EQ(list[s.node].zone, list[node].zone);
      }
      if (g.scope == Scope::cell) {
        EXPECT_EQ(list[s.node].shard, list[node].shard);
      }
    }
    if (stopped.count(node)) {
      EXPECT_LE(now, stopped[node] + drain_grace) << "rule 3";
    }
    if (const Micros up = list[node].up_since; up > 0) {
      all.to_cold[node].emplace_back(now, t.io.units);
      auto sum = [&](std::deque<std::pair<Micros, int>>& log) {
        while (!log.empty() && log.front().first <= now - given.overload_for) log.pop_front();
        double units = 0;
        for (auto& [at, u] : log) units += u;
        return units;
      };
      const double age = std::min(1.0, double(now - up) / double(given.warm_within));
      const double sure =
          given.cold_bears * (given.cold_from + (1 - given.cold_from) * age) / given.cold_from;
      const double borne = sure + 0.75 * given.fall_multiple * sum(all.by_cold[node]);
      EXPECT_LE(sum(all.to_cold[node]), borne + given.most_units) << "rule 4 at age " << age;
    }
    if (g.keeps_order && t.io.object) {
      for (std::uint64_t earlier : lines[t.io.object]) {
        if (earlier == id) break;
        EXPECT_TRUE(taken[earlier].over) << "rule 5: an earlier one is unfinished";
        for (const Sent& s : taken[earlier].sent) EXPECT_FALSE(s.out) << "rule 5: an earlier one is out";
      }
      if (t.sent.empty() && rests.count(t.io.object)) {
        EXPECT_GE(now, rests[t.io.object]) << "rule 5";
      }
    }
    if (given.budget_span >= 0 && !t.sent.empty()) {
      furthers.push_back(now);
      auto recent = [&](const std::vector<Micros>& v) {
        return std::count_if(v.begin(), v.end(), [&](Micros m) { return m > now - given.budget_span; });
      };
      EXPECT_LE(recent(furthers), given.budget_spare + given.budget_share * double(recent(takes)))
          << "rule 6";
    }
    if (const Plan& p = given.plans[t.io.plan]; p.limit > 0 && !t.charged) {
      auto [it, fresh] = all.limit_store.try_emplace(t.io.volume, p.burst, now);
      auto& [level, at] = it->second;
      level = std::min(p.burst, level + p.limit * double(now - at) / 1e6) - t.io.units;
      at = now;
      EXPECT_GE(level, -p.slack) << "rule 7";
    }
    t.charged = true;
    EXPECT_LT(static_cast<int>(t.sent.size()), given.most_submits);
    t.sent.push_back({node, now});
    order.emplace_back(id, node);
  }
  void shed(std::uint64_t id, Micros, GiveUp) override {
    Taken& t = taken.at(id);
    EXPECT_FALSE(t.over) << "rule 1: two final answers";
    EXPECT_LE(now, t.io.give_up_at + given.answer_slack) << "rule 1: too late";
    const IoGroup& g = given.groups[t.io.group];
    for (const Sent& s : t.sent)
      if (s.out || s.may_have_run) {
        EXPECT_NE(g.repeat, Repeat::side_effecting) << "rule 2: shed though it may have run";
        EXPECT_FALSE(g.repeat == Repeat::fingerprinted && g.scope != Scope::all) << "rule 2";
      }
    t.over = t.shed = true;
  }
  void fail(std::uint64_t id, GiveUp) override {
    EXPECT_FALSE(taken.at(id).over) << "rule 1: two final answers";
    EXPECT_LE(now, taken.at(id).io.give_up_at + given.answer_slack) << "rule 1: too late";
    taken.at(id).over = taken.at(id).failed = true;
  }
  void cancel(std::uint64_t, int) override {}
  void wake(std::uint64_t token, Micros from_now) override { wakes.emplace(now + from_now, token); }
  void fetch_list() override { ++asks; }
  void watch_list() override { ++asks; }
  void probe(int node) override {
    EXPECT_TRUE(given.may_probe);
    probes.push_back(node);
  }
  void note(std::string_view) override {}

 private:
  void check_answers() {
    for (const auto& [id, t] : taken)
      if (!t.over) {
        ASSERT_LE(now, t.io.give_up_at + given.answer_slack) << "rule 1: no answer in time";
      }
  }
};

}  // namespace yewmount::tests
