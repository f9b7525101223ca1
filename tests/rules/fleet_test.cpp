// Many independent heads in simulated time, with nodes that start cold: the sum of what the heads send to a
// cold node is checked against the overload rule by a separate checker.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "checked_head.h"

namespace yewmount::tests {
namespace {

constexpr Micros kStep = 5 * ms;
const std::vector<std::string> kNames = {"n00", "n01", "n02", "n03", "n04", "n05",
                                         "n06", "n07", "n08", "n09", "n10", "n11"};
constexpr int kCold = 5;  // the node that starts cold

Provisioning provisioned(int heads, bool brief_window = false) {
  Provisioning p = default_provisioning();
  p.heads = heads;
  if (!brief_window) return p;
  p.overload_window = second;
  p.cold_capacity_units = 42;
  p.overload_multiple = 3;
  p.warmup_time = 13 * second;
  return p;
}

// A node that has just started bears N requests of mean work within the overload window, with a tolerance of
// 2 sqrt(N) + 2. An overload breaks the rule if more than two thirds of its units came from heads that knew
// of the restart.
class Checker {
 public:
  explicit Checker(const Provisioning& p) : p_(p) {}
  void up(Micros at) { up_ = at, sent_.clear(); }
  void sent(Micros at, double units, bool informed) {
    if (overloaded_) return;
    sent_.push_back({at, units, informed});
    while (sent_.front().at <= at - p_.overload_window) sent_.pop_front();
    double all = 0, by_informed = 0;
    for (const SentUnits& s : sent_) all += s.units, by_informed += s.informed ? s.units : 0;
    const double age = std::min(1.0, static_cast<double>(at - up_) / static_cast<double>(p_.warmup_time));
    const double n = p_.cold_capacity_units / p_.typical_units *
                     (p_.cold_speed_factor + (1 - p_.cold_speed_factor) * age) / p_.cold_speed_factor;
    const double most = n + 2 * std::sqrt(n) + 2;
    worst = std::max(worst, all / p_.typical_units / most);
    if (all / p_.typical_units <= most) return;
    overloaded_ = true;
    broken = by_informed > all * 2 / 3;
  }
  double worst = 0;  // the highest load, as a part of what is allowed
  bool broken = false;

 private:
  struct SentUnits {
    Micros at;
    double units;
    bool informed;
  };
  const Provisioning p_;
  Micros up_ = 0;
  std::deque<SentUnits> sent_;
  bool overloaded_ = false;
};

struct Scenario {
  int heads = 20;
  double load = 2;             // relative to the least promised rate of all nodes
  double burst = 1;            // factor of the load while a node is cold
  Micros informed_within = 0;  // each head learns of the restart at a random time within this
  bool restart = false;        // all heads restart with the node, with a node list that may be outdated
  bool bad = false;            // the node resets all connections at first: it is ejected, then probed
  Micros again_after = 0;      // the node restarts a second time
  bool hot = false;            // a third of the requests are for the cold node
  bool quiet = false;          // hardly any traffic, then a surge for the cold node only; see kSurgeDelay
  int users = 0;               // heads that the surge goes through; 0: all
  bool brief_window = false;   // an overload counts within one second, and a cold node bears more in it
  unsigned seed = 1;
};

// A quiet time before the restart, then each user asks the cold node for so many requests a second.
constexpr Micros kQuietTime = 30 * second;
constexpr double kQuietRate = 0.5;  // requests a second at each head, for all nodes
constexpr Micros kSurgeDelay = 500 * ms;
constexpr double kSurgeRate = 5;
constexpr Micros kFirstSeconds = 3 * second;  // of the surge
constexpr double kNoRate = 1e-12;             // as good as none; the distribution takes no zero

// One head with its requests in progress; its submits go to the fleet.
struct Member : HeadEnvironment {
  Member(const Provisioning& p, Micros now, std::function<void(Member&, std::uint64_t, int)> send)
      : send(std::move(send)), head(std::make_unique<Head>(p, *this, now)) {}
  struct Bio {
    int units, submits;
  };
  std::function<void(Member&, std::uint64_t, int)> send;
  std::unordered_map<std::uint64_t, Bio> bios;
  bool informed = true;
  double rate = 0;
  std::unique_ptr<Head> head;  // last: it requests actions in its constructor
  void submit(std::uint64_t id, int node, Micros) override { send(*this, id, node); }
  void shed(std::uint64_t id, Micros, RejectionReason) override { bios.erase(id); }
  void fail(std::uint64_t id, RejectionReason) override { bios.erase(id); }
  void cancel(std::uint64_t, int) override {}
  void set_timer(std::uint64_t, Micros) override {}
  void fetch_list() override {}
  void watch_list() override {}
  void probe(int) override {}
  void log_note(std::string_view) override {}
};

class Fleet {
 public:
  explicit Fleet(const Scenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        checker(provisioned(scenario.heads, scenario.brief_window)) {
    p_ = provisioned(scenario.heads, scenario.brief_window);
    // The rate of a warm node, from the least that the settings promise of a cold one.
    warm_ = p_.cold_capacity_units / p_.overload_multiple / p_.cold_speed_factor /
            static_cast<double>(p_.overload_window);
    double all = 0;
    std::exponential_distribution<double> uneven(1);
    for (int i = 0; i < scenario.heads; ++i) {
      members_.push_back(make_member(i, 0));
      members_[i]->rate = 0.3 + uneven(random_);  // some heads get several times the mean
      all += members_[i]->rate;
    }
    for (auto& m : members_) m->rate *= warm_ * static_cast<double>(kNames.size()) / p_.typical_units / all;
  }

  void run() {
    const Micros start = scenario_.quiet ? kQuietTime : 8 * second,
                 second_start = scenario_.again_after > 0 ? start + scenario_.again_after : 0;
    std::vector<Micros> informed_at(members_.size());
    for (now_ = 0; now_ < start + scenario_.again_after + 10 * second; now_ += kStep) {
      if (now_ == start || now_ == second_start) {
        up_ = now_;
        checker.up(now_);
        free_at_[kCold] = now_;
        for (std::size_t i = 0; i < members_.size(); ++i) {
          members_[i]->informed = false;
          informed_at[i] = now_ + (scenario_.informed_within > 0
                                       ? static_cast<Micros>(random_() % scenario_.informed_within)
                                       : 0);
          if (!scenario_.restart) continue;
          const double rate = members_[i]->rate;
          retired_.push_back(std::move(members_[i]));
          members_[i] = make_member(static_cast<int>(i), now_);
          members_[i]->rate = rate;
          members_[i]->informed = false;
        }
      }
      deliver();
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Member& m = *members_[i];
        m.head->set_time(now_);
        if (up_ > 0 && !m.informed && now_ >= informed_at[i]) {
          m.informed = true;
          const NodeEntry e{kCold, kNames[kCold], NodeState::ready, kCold, 0, 1, up_};
          m.head->update_node_list(ListKind::delta, {&e, 1});
        }
        std::poisson_distribution<int> arrivals(request_rate(i) * static_cast<double>(kStep));
        for (int n = arrivals(random_); n > 0; --n) send_request(m);
        m.head->on_timer(0);
        m.head->run_scheduler();
      }
    }
  }

  std::size_t to_cold = 0, ended = 0;
  std::size_t served_early = 0;  // by the cold node in the first seconds of the surge

 private:
  bool is_surge() const { return scenario_.quiet && up_ > 0 && now_ >= up_ + kSurgeDelay; }

  // Requests a microsecond at a head.
  double request_rate(std::size_t head) const {
    if (is_surge()) return is_user(head) ? kSurgeRate / second : kNoRate;
    if (scenario_.quiet) return kQuietRate / second;
    return members_[head]->rate * scenario_.load * (up_ > 0 ? scenario_.burst : 1);
  }

  // The users are spread evenly over the heads' numbers.
  bool is_user(std::size_t head) const {
    const std::size_t heads = members_.size();
    const std::size_t users = scenario_.users > 0 ? static_cast<std::size_t>(scenario_.users) : heads;
    return (head + 1) * users / heads > head * users / heads;
  }

  std::unique_ptr<Member> make_member(int number, Micros now) {
    Provisioning p = p_;
    p.own_number = number;
    p.seed = scenario_.seed * 1000003ull + static_cast<unsigned>(number) + static_cast<unsigned>(now);
    auto m = std::make_unique<Member>(p, now,
                                      [this](Member& m, std::uint64_t id, int node) { sent(m, id, node); });
    std::vector<NodeEntry> all;
    for (int n = 0; n < static_cast<int>(kNames.size()); ++n)
      all.push_back({n, kNames[n], NodeState::ready, n, 0, 1, 0});
    m->head->update_node_list(ListKind::cached, all);
    return m;
  }

  void send_request(Member& m) {
    const int units = std::min(6, 1 + static_cast<int>(random_() % 3));  // two on average
    const int group = random_() % 3 == 0;
    int shard = random_() % 2 ? static_cast<int>(random_() % kNames.size()) : -1;
    if (is_surge() || (scenario_.hot && up_ > 0 && random_() % 3 == 0)) shard = kCold;
    m.bios[++last_] = {units, 0};
    m.head->enqueue({.id = last_,
                     .object = random_() | 1u,
                     .give_up_at = now_ + p_.groups[group].hard_limit,
                     .group = group,
                     .plan = static_cast<int>(random_() % 2),
                     .volume = static_cast<int>(random_() % 5),
                     .shard = shard,
                     .units = units,
                     .heads = scenario_.heads});
  }

  // Each node serves its queue in order; a cold node is slower.
  void sent(Member& m, std::uint64_t id, int node) {
    Member::Bio& bio = m.bios.at(id);
    double speed = warm_ * 4;  // a warm node is several times faster than promised
    Result result = Result::ended;
    if (node == kCold && up_ > 0) {
      ++to_cold;
      checker.sent(now_, bio.units, m.informed);
      const double age = std::min(1.0, static_cast<double>(now_ - up_) / static_cast<double>(p_.warmup_time));
      speed = warm_ * (p_.cold_speed_factor + (1 - p_.cold_speed_factor) * age);
      if (scenario_.bad && now_ - up_ < 4 * second) result = Result::lost;
    }
    Micros& free = free_at_[node];
    free = std::max(free, now_) + static_cast<Micros>(bio.units / speed);
    const Micros at = result == Result::ended ? free : now_ + ms;
    pending_.push_back({at, &m, id, bio.submits++, node, result, now_});
  }

  void deliver() {
    std::vector<PendingAnswer> later;
    for (const PendingAnswer& d : std::exchange(pending_, {})) {
      if (d.at > now_) {
        later.push_back(d);
        continue;
      }
      const auto it = d.to->bios.find(d.id);
      const bool good = d.result == Result::ended, over = good || it == d.to->bios.end();
      ended += good && it != d.to->bios.end();
      served_early += good && d.node == kCold && up_ > 0 && now_ < up_ + kSurgeDelay + kFirstSeconds;
      if (good && it != d.to->bios.end()) d.to->bios.erase(it);
      d.to->head->set_time(now_);
      d.to->head->on_submit_result({d.id, d.no, d.node, d.result, over, now_ - d.sent, 0, 0, {}});
    }
    pending_.insert(pending_.end(), later.begin(), later.end());
  }

  struct PendingAnswer {
    Micros at;
    Member* to;
    std::uint64_t id;
    int no, node;
    Result result;
    Micros sent;
  };
  const Scenario scenario_;
  std::mt19937 random_;

 public:
  Checker checker;

 private:
  Provisioning p_;
  double warm_ = 0;
  std::vector<std::unique_ptr<Member>> members_, retired_;
  std::vector<PendingAnswer> pending_;
  std::unordered_map<int, Micros> free_at_;
  Micros now_ = 0, up_ = 0;
  std::uint64_t last_ = 0;
};

struct ColdNodes : ::testing::TestWithParam<int> {
  void play(Scenario scenario) {
    scenario.heads = GetParam();
    for (scenario.seed = 1; scenario.seed <= 3; ++scenario.seed) {
      SCOPED_TRACE(scenario.seed);
      Fleet fleet(scenario);
      fleet.run();
      EXPECT_FALSE(fleet.checker.broken) << "up to " << fleet.checker.worst << " of the allowed load";
      EXPECT_GT(fleet.to_cold, 0u) << "the cold node must get some requests";
      RecordProperty("worst", std::to_string(fleet.checker.worst));
      if (std::getenv("FLEET_VERBOSE"))
        std::printf("heads %d users %d seed %u worst %.2f to cold %zu early %zu ended %zu\n", scenario.heads,
                    scenario.users, scenario.seed, fleet.checker.worst, fleet.to_cold, fleet.served_early,
                    fleet.ended);
    }
  }
};

TEST_P(ColdNodes, UnderNormalTraffic) { play({.load = 2}); }
TEST_P(ColdNodes, LearnedOfAtDifferentTimesInABurst) {
  play({.load = 2.2, .burst = 2, .informed_within = 2 * second, .hot = true});
}
TEST_P(ColdNodes, AsAllHeadsRestart) { play({.load = 2.2, .burst = 1.5, .restart = true, .hot = true}); }
TEST_P(ColdNodes, ThatFailAtFirstAreTriedByFewAtOnce) {
  play({.load = 2.2, .burst = 1.5, .bad = true, .hot = true});
}
TEST_P(ColdNodes, Twice) { play({.load = 2.2, .burst = 1.5, .again_after = 7 * second, .hot = true}); }
// Guards against heads that take a cold node for their own because a quiet time has shown them no use for it:
// then a surge comes through all of them at once, or through some.
TEST_P(ColdNodes, InASurgeAfterAQuietTime) { play({.quiet = true}); }
TEST_P(ColdNodes, InASurgeAfterAQuietTimeWithABriefWindow) { play({.quiet = true, .brief_window = true}); }
TEST_P(ColdNodes, InASurgeThroughFewHeadsAfterAQuietTime) {
  for (const int users : {1, 4}) play({.quiet = true, .users = users, .brief_window = true});
}
INSTANTIATE_TEST_SUITE_P(Heads, ColdNodes, ::testing::Values(20, 30, 300));

// Tests the checker: it finds one request too many, and does not blame heads that did not know of the
// restart.
TEST(ColdChecker, FindsAnOverloadAndItsCause) {
  const Provisioning p = provisioned(20);
  for (const bool informed : {true, false}) {
    Checker c(p);
    c.up(0);
    for (int i = 0; i < 23; ++i) c.sent(1, 2, informed);  // N is 14: 14 + 7.48 + 2
    EXPECT_LT(c.worst, 1);
    c.sent(1, 2, informed);
    EXPECT_EQ(c.broken, informed);
  }
}

}  // namespace
}  // namespace yewmount::tests
