// Many heads that share nothing, in simulated time, at nodes that come up cold: the sum of what they send,
// held against the operators' formula by a checker of its own.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "bench_free.h"

namespace yewmount::tests {
namespace {

constexpr Micros kStep = 5 * ms;
const std::vector<std::string> kNames = {"n00", "n01", "n02", "n03", "n04", "n05",
                                         "n06", "n07", "n08", "n09", "n10", "n11"};
constexpr int kCold = 5;  // the node that comes up

Provisioning provisioned(int heads) {
  Provisioning p = usual();
  p.heads = heads;
  return p;
}

// A node that has just come up bears N requests of mean work in the rule's time; chance is 2 x root of N and
// 2 beyond. A break is the first such fall of which over two thirds came from heads that had been told.
class Checker {
 public:
  explicit Checker(const Provisioning& p) : p_(p) {}
  void up(Micros at) { up_ = at, sent_.clear(); }
  void sent(Micros at, double units, bool told) {
    if (fallen_) return;
    sent_.push_back({at, units, told});
    while (sent_.front().at <= at - p_.overload_for) sent_.pop_front();
    double all = 0, by_told = 0;
    for (const One& s : sent_) all += s.units, by_told += s.told ? s.units : 0;
    const double age = std::min(1.0, static_cast<double>(at - up_) / static_cast<double>(p_.warm_within));
    const double n =
        p_.cold_bears / p_.usual_units * (p_.cold_from + (1 - p_.cold_from) * age) / p_.cold_from;
    const double most = n + 2 * std::sqrt(n) + 2;
    worst = std::max(worst, all / p_.usual_units / most);
    if (all / p_.usual_units <= most) return;
    fallen_ = true;
    broken = by_told > all * 2 / 3;
  }
  double worst = 0;  // of what is allowed
  bool broken = false;

 private:
  struct One {
    Micros at;
    double units;
    bool told;
  };
  const Provisioning p_;
  Micros up_ = 0;
  std::deque<One> sent_;
  bool fallen_ = false;
};

struct Day {
  int heads = 20;
  double load = 2,
         burst = 1;        // of the least that is promised of all nodes; times that while the node is cold
  Micros told_within = 0;  // after the start, each head at a time of its own
  bool restart = false;    // all heads at the start of the node, with a list that may be old
  bool bad = false;        // the node answers nothing but resets at first: shut, then tried
  Micros again_after = 0;  // cold a second time
  bool hot = false;        // a third of what is asked is for the cold node
  unsigned seed = 1;
};

// One head with what it has out; what it asks of nodes goes to the fleet.
struct Member : Surroundings {
  Member(const Provisioning& p, Micros now, std::function<void(Member&, std::uint64_t, int)> send)
      : send(std::move(send)), head(std::make_unique<Head>(p, *this, now)) {}
  struct Bio {
    int units, submits;
  };
  std::function<void(Member&, std::uint64_t, int)> send;
  std::unordered_map<std::uint64_t, Bio> bios;
  bool told = true;
  double rate = 0;
  std::unique_ptr<Head> head;  // last: it asks from its start
  void submit(std::uint64_t id, int node, Micros) override { send(*this, id, node); }
  void shed(std::uint64_t id, Micros, GiveUp) override { bios.erase(id); }
  void fail(std::uint64_t id, GiveUp) override { bios.erase(id); }
  void cancel(std::uint64_t, int) override {}
  void wake(std::uint64_t, Micros) override {}
  void fetch_list() override {}
  void watch_list() override {}
  void probe(int) override {}
  void note(std::string_view) override {}
};

class Fleet {
 public:
  explicit Fleet(const Day& day) : day_(day), chance_(day.seed), checker(provisioned(day.heads)) {
    p_ = provisioned(day.heads);
    // What the settings promise of a cold node is the least; a warm one does so much a second.
    warm_ = p_.cold_bears / p_.fall_multiple / p_.cold_from / static_cast<double>(p_.overload_for);
    double all = 0;
    std::exponential_distribution<double> uneven(1);
    for (int i = 0; i < day.heads; ++i) {
      members_.push_back(fresh(i, 0));
      members_[i]->rate = 0.3 + uneven(chance_);  // some get several times the mean
      all += members_[i]->rate;
    }
    for (auto& m : members_) m->rate *= warm_ * static_cast<double>(kNames.size()) / p_.usual_units / all;
  }

  void run() {
    const Micros start = 8 * second, again = day_.again_after > 0 ? start + day_.again_after : 0;
    std::vector<Micros> tell(members_.size());
    for (now_ = 0; now_ < start + day_.again_after + 10 * second; now_ += kStep) {
      if (now_ == start || now_ == again) {
        up_ = now_;
        checker.up(now_);
        free_at_[kCold] = now_;
        for (std::size_t i = 0; i < members_.size(); ++i) {
          members_[i]->told = false;
          tell[i] = now_ + (day_.told_within > 0 ? static_cast<Micros>(chance_() % day_.told_within) : 0);
          if (!day_.restart) continue;
          const double rate = members_[i]->rate;
          retired_.push_back(std::move(members_[i]));
          members_[i] = fresh(static_cast<int>(i), now_);
          members_[i]->rate = rate;
          members_[i]->told = false;
        }
      }
      deliver();
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Member& m = *members_[i];
        m.head->at(now_);
        if (up_ > 0 && !m.told && now_ >= tell[i]) {
          m.told = true;
          const NodeEntry e{kCold, kNames[kCold], NodeState::ready, kCold, 0, 1, up_};
          m.head->listed(ListKind::delta, {&e, 1});
        }
        const double load = day_.load * (up_ > 0 ? day_.burst : 1);
        std::poisson_distribution<int> come(m.rate * load * static_cast<double>(kStep));
        for (int n = come(chance_); n > 0; --n) ask(m);
        m.head->woke(0);
        m.head->settle();
      }
    }
  }

  std::size_t to_cold = 0, ended = 0;

 private:
  std::unique_ptr<Member> fresh(int number, Micros now) {
    Provisioning p = p_;
    p.own_number = number;
    p.seed = day_.seed * 1000003ull + static_cast<unsigned>(number) + static_cast<unsigned>(now);
    auto m = std::make_unique<Member>(p, now,
                                      [this](Member& m, std::uint64_t id, int node) { sent(m, id, node); });
    std::vector<NodeEntry> all;
    for (int n = 0; n < static_cast<int>(kNames.size()); ++n)
      all.push_back({n, kNames[n], NodeState::ready, n, 0, 1, 0});
    m->head->listed(ListKind::cached, all);
    return m;
  }

  void ask(Member& m) {
    const int units = std::min(6, 1 + static_cast<int>(chance_() % 3));  // two on average
    const int group = chance_() % 3 == 0;
    int shard = chance_() % 2 ? static_cast<int>(chance_() % kNames.size()) : -1;
    if (day_.hot && up_ > 0 && chance_() % 3 == 0) shard = kCold;
    m.bios[++last_] = {units, 0};
    m.head->take({.id = last_,
                  .object = chance_() | 1u,
                  .give_up_at = now_ + p_.groups[group].hard_limit,
                  .group = group,
                  .plan = static_cast<int>(chance_() % 2),
                  .volume = static_cast<int>(chance_() % 5),
                  .shard = shard,
                  .units = units,
                  .heads = day_.heads});
  }

  // One queue a node, in order; a cold one is slower.
  void sent(Member& m, std::uint64_t id, int node) {
    Member::Bio& bio = m.bios.at(id);
    double speed = warm_ * 4;  // a node warms to several times what is promised of it
    Result result = Result::ended;
    if (node == kCold && up_ > 0) {
      ++to_cold;
      checker.sent(now_, bio.units, m.told);
      const double age = std::min(1.0, static_cast<double>(now_ - up_) / static_cast<double>(p_.warm_within));
      speed = warm_ * (p_.cold_from + (1 - p_.cold_from) * age);
      if (day_.bad && now_ - up_ < 4 * second) result = Result::lost;
    }
    Micros& free = free_at_[node];
    free = std::max(free, now_) + static_cast<Micros>(bio.units / speed);
    const Micros at = result == Result::ended ? free : now_ + ms;
    due_.push_back({at, &m, id, bio.submits++, node, result, now_});
  }

  void deliver() {
    std::vector<Due> later;
    for (const Due& d : std::exchange(due_, {})) {
      if (d.at > now_) {
        later.push_back(d);
        continue;
      }
      const auto it = d.to->bios.find(d.id);
      const bool good = d.result == Result::ended, over = good || it == d.to->bios.end();
      ended += good && it != d.to->bios.end();
      if (good && it != d.to->bios.end()) d.to->bios.erase(it);
      d.to->head->at(now_);
      d.to->head->answered({d.id, d.no, d.node, d.result, over, now_ - d.sent, 0, 0, {}});
    }
    due_.insert(due_.end(), later.begin(), later.end());
  }

  struct Due {
    Micros at;
    Member* to;
    std::uint64_t id;
    int no, node;
    Result result;
    Micros sent;
  };
  const Day day_;
  std::mt19937 chance_;

 public:
  Checker checker;

 private:
  Provisioning p_;
  double warm_ = 0;
  std::vector<std::unique_ptr<Member>> members_, retired_;
  std::vector<Due> due_;
  std::unordered_map<int, Micros> free_at_;
  Micros now_ = 0, up_ = 0;
  std::uint64_t last_ = 0;
};

struct ColdNodes : ::testing::TestWithParam<int> {
  void play(Day day) {
    day.heads = GetParam();
    for (day.seed = 1; day.seed <= 3; ++day.seed) {
      SCOPED_TRACE(day.seed);
      Fleet fleet(day);
      fleet.run();
      EXPECT_FALSE(fleet.checker.broken) << "up to " << fleet.checker.worst << " of what is allowed";
      EXPECT_GT(fleet.to_cold, 0u) << "it is not left out for ever";
      RecordProperty("worst", std::to_string(fleet.checker.worst));
      if (std::getenv("FLEET_VERBOSE"))
        std::printf("heads %d seed %u worst %.2f to cold %zu ended %zu\n", day.heads, day.seed,
                    fleet.checker.worst, fleet.to_cold, fleet.ended);
    }
  }
};

TEST_P(ColdNodes, UnderUsualTraffic) { play({.load = 2}); }
TEST_P(ColdNodes, ToldAtDifferentTimesUnderABurst) {
  play({.load = 2.2, .burst = 2, .told_within = 2 * second, .hot = true});
}
TEST_P(ColdNodes, AsAllHeadsRestart) { play({.load = 2.2, .burst = 1.5, .restart = true, .hot = true}); }
TEST_P(ColdNodes, ThatFailAtFirstAreTriedByFewAtOnce) {
  play({.load = 2.2, .burst = 1.5, .bad = true, .hot = true});
}
TEST_P(ColdNodes, Twice) { play({.load = 2.2, .burst = 1.5, .again_after = 7 * second, .hot = true}); }
INSTANTIATE_TEST_SUITE_P(Heads, ColdNodes, ::testing::Values(20, 30, 300));

// The checker itself: what is one too many is found, what heads that had not been told sent is not theirs.
TEST(ColdChecker, FindsAFallAndWhoseItIs) {
  const Provisioning p = provisioned(20);
  for (const bool told : {true, false}) {
    Checker c(p);
    c.up(0);
    for (int i = 0; i < 23; ++i) c.sent(1, 2, told);  // N is 14: 14 + 7.48 + 2
    EXPECT_LT(c.worst, 1);
    c.sent(1, 2, told);
    EXPECT_EQ(c.broken, told);
  }
}

}  // namespace
}  // namespace yewmount::tests
