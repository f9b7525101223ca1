// Test fixture: a head whose environment records the requested actions and checks the seven safety rules at
// each of them. There are no nodes here: the tests say how each submit ends.
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

inline Provisioning default_provisioning() {
  Provisioning p{};
  p.seed = 7;
  p.heads = 1;
  p.groups = {
      {300 * ms, 2 * second, 5 * second, 0, 2, 0.2, RepeatSafety::idempotent, DedupScope::all, false, false},
      {600 * ms, 3 * second, 5 * second, 0, 2, 0.2, RepeatSafety::side_effecting, DedupScope::all, false,
       false},
      {600 * ms, 3 * second, 900 * ms, 0, 2, 0.2, RepeatSafety::fingerprinted, DedupScope::cell, false,
       false}};
  p.plans = {{0, 0, 0, 6, 0, 1, 0.8}, {0, 0, 0, 12, 12, 1, 1.4}};
  p.cold_capacity_units = 28, p.typical_units = 2, p.max_units = 6, p.share_gain_factor = 0.35,
  p.excess_gain_factor = 0.08;
  p.may_cancel = true, p.max_submits = 3, p.answer_slack = 8 * ms, p.list_poll_interval = -1;
  p.cold_speed_factor = 0.17, p.overload_multiple = 4, p.warmup_time = 16 * second,
  p.overload_window = 3 * second;
  p.order_gap = p.retry_budget_window = -1, p.retry_budget_base = p.retry_budget_ratio = -1;
  return p;
}

inline NodeEntry entry(int node, NodeState state = NodeState::ready, Micros up_since = 0) {
  return {node, node_names[node], state, node, node % 2, 1, up_since};
}

struct TrackedSubmit {
  int node = 0;
  Micros at = 0;
  bool in_flight = true;
  bool may_have_run = false;
};

struct TrackedBio {
  BlockIo io;
  std::vector<TrackedSubmit> sent;
  bool over = false;
  bool shed = false;
  bool failed = false;
  bool charged = false;
};

// What the limits for all heads together are checked against; shared by the heads of one test.
struct SharedState {
  std::map<int, std::deque<std::pair<Micros, int>>> to_cold;  // units sent to cold nodes
  std::map<int, std::deque<std::pair<Micros, int>>> by_cold;  // units served by them
  std::map<int, std::pair<double, Micros>> limit_bucket;
};

class CheckedHead : public HeadEnvironment {
 public:
  CheckedHead(const Provisioning& p, SharedState& all, Micros start)
      : given(p), all(all), now(start), started_at(start), head(p, *this, start) {}

  Provisioning given;
  SharedState& all;
  Micros now;
  Micros started_at;
  std::map<std::uint64_t, TrackedBio> requests;
  std::map<int, NodeEntry> list;
  std::map<int, Micros> stopped;  // when this head learned that a node is draining or gone
  std::map<std::uint64_t, std::vector<std::uint64_t>> key_order;
  std::map<std::uint64_t, Micros> blocked_until;
  std::vector<Micros> request_times;
  std::vector<Micros> retry_times;
  std::multimap<Micros, std::uint64_t> timers;
  std::vector<std::pair<std::uint64_t, int>> order;  // id and node of each submit
  int list_requests = 0;
  std::vector<int> probes;
  Head head;

  void set_time(Micros t) {
    while (!timers.empty() && timers.begin()->first <= t) {
      now = std::max(now, timers.begin()->first);
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      head.set_time(now);
      head.on_timer(token);
      head.run_scheduler();
      check_answers();
    }
    now = t;
    head.set_time(now);
  }
  void update_node_list(const std::vector<NodeEntry>& entries, ListKind kind = ListKind::delta) {
    if (kind != ListKind::delta) list.clear();
    for (const NodeEntry& e : entries) list[e.node] = e;
    for (int i = 0; i < static_cast<int>(node_names.size()); ++i)
      if (list.count(i) && list[i].state == NodeState::ready)
        stopped.erase(i);
      else
        stopped.try_emplace(i, now);
    head.update_node_list(kind, entries);
  }
  void update_plans(const std::vector<Plan>& plans) {
    given.plans = plans;
    head.update_plans(plans);
  }
  void enqueue(BlockIo io) {
    requests[io.id].io = io;
    if (given.groups[io.group].keeps_order && io.object) key_order[io.object].push_back(io.id);
    request_times.push_back(now);
    head.enqueue(io);
  }
  void finish_submit(std::uint64_t id, int submit, Result result, int from_others = 0, int use = 0) {
    TrackedBio& t = requests.at(id);
    TrackedSubmit& s = t.sent[submit];
    s.in_flight = false;
    s.may_have_run =
        result != Result::turned_away && result != Result::no_connection && result != Result::not_sent;
    if (given.groups[t.io.group].keeps_order &&
        (result == Result::no_answer || result == Result::lost || result == Result::called_off))
      blocked_until[t.io.object] = now + std::max<Micros>(0, given.order_gap);
    if (result == Result::ended) all.by_cold[s.node].emplace_back(now, t.io.units);
    const bool over = t.over || result == Result::ended;
    t.over = over;
    head.on_submit_result({id, submit, s.node, result, over, now - s.at, use, from_others, {}});
  }
  void run_scheduler() {
    head.run_scheduler();
    check_answers();
  }
  void submit(std::uint64_t id, int node, Micros) override {
    TrackedBio& t = requests.at(id);
    const IoGroup& g = given.groups[t.io.group];
    EXPECT_FALSE(t.over) << "rule 1: a submit after the final answer";
    ASSERT_TRUE(list.count(node));
    if (t.io.shard >= 0) {
      EXPECT_EQ(list[node].shard, t.io.shard);
    }
    for (const TrackedSubmit& s : t.sent) {
      if (!s.in_flight && !s.may_have_run) continue;
      EXPECT_FALSE(s.in_flight && !given.may_duplicate) << "rule 2: two submits at once";
      EXPECT_NE(g.repeat, RepeatSafety::side_effecting) << "rule 2: a second effect";
      if (g.repeat != RepeatSafety::fingerprinted) continue;
      EXPECT_LT(now, s.at + g.dedup_window) << "rule 2: beyond the dedup window";
      if (g.scope == DedupScope::zone) {
        EXPECT_EQ(list[s.node].zone, list[node].zone);
      }
      if (g.scope == DedupScope::cell) {
        EXPECT_EQ(list[s.node].shard, list[node].shard);
      }
    }
    if (stopped.count(node)) {
      EXPECT_LE(now, stopped[node] + drain_grace) << "rule 3";
    }
    if (const Micros up = list[node].up_since; up > 0) {
      all.to_cold[node].emplace_back(now, t.io.units);
      auto sum = [&](std::deque<std::pair<Micros, int>>& log) {
        while (!log.empty() && log.front().first <= now - given.overload_window) log.pop_front();
        double units = 0;
        for (auto& [at, u] : log) units += u;
        return units;
      };
      const double age = std::min(1.0, double(now - up) / double(given.warmup_time));
      const double sure = given.cold_capacity_units *
                          (given.cold_speed_factor + (1 - given.cold_speed_factor) * age) /
                          given.cold_speed_factor;
      const double borne = sure + 0.75 * given.overload_multiple * sum(all.by_cold[node]);
      EXPECT_LE(sum(all.to_cold[node]), borne + given.max_units) << "rule 4 at age " << age;
    }
    if (g.keeps_order && t.io.object) {
      for (std::uint64_t earlier : key_order[t.io.object]) {
        if (earlier == id) break;
        EXPECT_TRUE(requests[earlier].over) << "rule 5: an earlier request is unfinished";
        for (const TrackedSubmit& s : requests[earlier].sent)
          EXPECT_FALSE(s.in_flight) << "rule 5: an earlier request is in flight";
      }
      if (t.sent.empty() && blocked_until.count(t.io.object)) {
        EXPECT_GE(now, blocked_until[t.io.object]) << "rule 5";
      }
    }
    if (given.retry_budget_window >= 0 && !t.sent.empty()) {
      retry_times.push_back(now);
      auto recent = [&](const std::vector<Micros>& v) {
        return std::count_if(v.begin(), v.end(),
                             [&](Micros m) { return m > now - given.retry_budget_window; });
      };
      EXPECT_LE(recent(retry_times),
                given.retry_budget_base + given.retry_budget_ratio * double(recent(request_times)))
          << "rule 6";
    }
    if (const Plan& p = given.plans[t.io.plan]; p.limit > 0 && !t.charged) {
      auto [it, is_new] = all.limit_bucket.try_emplace(t.io.volume, p.burst, now);
      auto& [level, at] = it->second;
      level = std::min(p.burst, level + p.limit * double(now - at) / 1e6) - t.io.units;
      at = now;
      EXPECT_GE(level, -p.slack) << "rule 7";
    }
    t.charged = true;
    EXPECT_LT(static_cast<int>(t.sent.size()), given.max_submits);
    t.sent.push_back({node, now});
    order.emplace_back(id, node);
  }
  void shed(std::uint64_t id, Micros, RejectionReason) override {
    TrackedBio& t = requests.at(id);
    EXPECT_FALSE(t.over) << "rule 1: two final answers";
    EXPECT_LE(now, t.io.give_up_at + given.answer_slack) << "rule 1: too late";
    const IoGroup& g = given.groups[t.io.group];
    for (const TrackedSubmit& s : t.sent)
      if (s.in_flight || s.may_have_run) {
        EXPECT_NE(g.repeat, RepeatSafety::side_effecting) << "rule 2: shed though it may have run";
        EXPECT_FALSE(g.repeat == RepeatSafety::fingerprinted && g.scope != DedupScope::all) << "rule 2";
      }
    t.over = t.shed = true;
  }
  void fail(std::uint64_t id, RejectionReason) override {
    EXPECT_FALSE(requests.at(id).over) << "rule 1: two final answers";
    EXPECT_LE(now, requests.at(id).io.give_up_at + given.answer_slack) << "rule 1: too late";
    requests.at(id).over = requests.at(id).failed = true;
  }
  void cancel(std::uint64_t, int) override {}
  void set_timer(std::uint64_t token, Micros from_now) override { timers.emplace(now + from_now, token); }
  void fetch_list() override { ++list_requests; }
  void watch_list() override { ++list_requests; }
  void probe(int node) override {
    EXPECT_TRUE(given.may_probe);
    probes.push_back(node);
  }
  void log_note(std::string_view) override {}

 private:
  void check_answers() {
    for (const auto& [id, t] : requests)
      if (!t.over) {
        ASSERT_LE(now, t.io.give_up_at + given.answer_slack) << "rule 1: no answer in time";
      }
  }
};

}  // namespace yewmount::tests
