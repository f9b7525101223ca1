// yewmount's decisions, all of them. The interface is Head in rules.h; slab.h holds mechanics only.
//
// How to call: make a Head from its Provisioning; for each moment call at(now), then listed, take, answered,
// probed, client_left, stream_started and woke in the order things came, then settle() once. What the head
// wants done it asks of its Surroundings from within these calls. One Head is one instance: nothing is
// shared.
//
// The ordinary path is Two Random from Top Half over a statistic log (docs/design.md); beside it stand
// admission by what a volume is due, the watch over nodes, and the seven rules that no decision here may
// break.
#include "rules.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "permits.h"
#include "slab.h"

namespace yewmount {
namespace {

constexpr double kThreshold = 1.0;     // of a usual request: how much heavier the default must be
constexpr double kGoalPart = 0.5;      // of the tightest latency goal: what the cap lets queue at a node
constexpr int kMostOut = 32;           // the design's upper bound on requests out at one node
constexpr double kRateMemory = 1.5e6;  // busy time over which a node's rate is learned
constexpr double kRatePrior = 0.2e6;   // busy time that the average counts for at a node
constexpr double kShareRoom = 2.0;     // of the mean nominal: a volume's share by weight beyond its reserve
constexpr double kUseMemory = 4e6;     // over which a volume's units here and elsewhere are compared
constexpr double kUntoldPart = 0.6;    // a head's part of a volume is heads^-this where others are not told
constexpr double kRoomShare = 0.45, kRoomBeyond = 0.15;  // of the goal, by what is due; the reserve has all
constexpr double kPriceMemory = 2;   // of the tightest goal: a node's price fades when nothing is shed there
constexpr double kLagMemory = 0.33;  // of it: the last answers' lag stops telling of the wait
constexpr double kUnitPart = 0.4, kUnitStep = 0.05, kFirstStep = 0.5;  // a unit's time unhindered: a quantile
constexpr Micros kTick = 5'000;       // within the slack that a final answer has
constexpr double kCalm = 0.18;        // of the tightest goal: an average wait that counts as pressure
constexpr Micros kStill = 8 * kTick;  // without a wake-up: this head stood still
constexpr int kStrikes = 3;           // bad results in a row that shut a node
constexpr Micros kTrialEvery = 500'000;
constexpr int kTrialTurns = 10;  // of which a head has one: shorter ones than a few ticks would be missed
constexpr double kFurtherShare = 0.2;  // further submits earned by each block I/O taken, at full luck
constexpr double kFurtherMost = 10;
constexpr double kColdMargin = 0.9;  // of the part of a cold node that is used
constexpr double kColdProven = 0.5;  // of the rule's multiple of what a cold node served, that is sent again
constexpr double kFitKeep = 0.93;    // of a node's fit at each answer
constexpr double kFitPrior = 100;    // units squared that a unit's own time counts for in it
constexpr double kFitMemory = 1e6;   // without answers, until the fit is as good as none
constexpr double kFitDark = 0.5;     // of a unit time, times the root of the volume's heads
constexpr Micros kTrialRare = 4 * kTrialEvery;  // without a trial, until any first submit may be one
constexpr Micros kForget = 60'000'000;          // a volume unused for longer has its stores full again
constexpr int kPlaces = 8;                      // submits a block I/O can have here, whatever is allowed

}  // namespace

class Head::Desk {
 public:
  Desk(const Provisioning& given, Surroundings& out, Micros now);

  // What comes after a step of a block I/O; the step's result is handed to it.
  struct Bio;
  using Step = void (Desk::*)(Bio&, const Answer&);

  struct Submit {
    int node = -1;
    Micros sent = 0;
    double load = 0;
    bool out = false, may_have_run = false, further = false, written_off = false;
  };

  struct Bio {
    BlockIo io;
    Micros goal_at = 0, not_before = 0;
    double gain = 0;                      // a unit's gain, by what its volume was still due when it came
    double of_reserve = 0, of_share = 0;  // units it drew there
    double room = 1;                      // part of its goal that may be spent waiting
    bool live = false, held = false, over = false, charged = false, streaming = false;
    int submits = 0, outs = 0;
    std::array<Submit, kPlaces> submit;
    Step next = nullptr;
    int behind = -1, before = -1;  // its neighbours in the line of its key, where order is kept
  };

  struct Node {
    std::string name;
    FadingFit fit;  // lag against units out: what a node takes whatever is out, and for each unit
    bool listed = false, mute = false;
    NodeState state = NodeState::gone;
    int shard = -1, zone = 0, out = 0, strikes = 0;
    double size = 1, load = 0, probability = 0;
    double served = 0, busy = 0, lag = 0, wait = 0, ahead = 0, price = 0;
    Micros up_since = 0, clocked = 0, heard = 0, oldest = 0, tried = 0, fine = 0;
    Micros wanted_at = -1;  // last moment in which a request for it was sent or waited here; -1: never
    double demand = -1;     // part of recent time in which this head had use for it; -1: not listed before
    bool blocked = false;
    SlidingSum sent, done;
    std::uint64_t seen = 0;                             // the turn that the next line was reckoned in
    double fresh = 0, kept = 0, cross = 0, spread = 0;  // parts of expected() that hold for a whole turn
    LeastFirst waiting;                                 // there this turn, by gain
  };

  struct Volume {
    double reserve = 0, share = 0, limit = 0, here = 0, elsewhere = 0;
    int heads = 1;
    Micros filled = -1;
  };

  struct Group : IoGroup {
    double unit_gain = 0;
  };

  struct Due : Plan {  // for one volume over all heads
    double share;
  };

  struct Line {  // of one key, where order is kept
    int first = -1, last = -1;
    Micros rest_until = 0;
  };

  struct Linger {
    Micros until;
    int node;
    double units;
  };

  int fit_count() const { return static_cast<int>(by_name_.size()); }

  void log_send(Node& n, double units) {
    n.load += units;
    ++n.out;
    n.sent.add(now_, given_.overload_for, units);
    n.wanted_at = now_;
    const int m = fit_count();
    if (m < 2 || !n.listed) return;
    const double lost = n.probability * (1 - std::exp(-n.load));
    n.probability -= lost;
    for (int i : by_name_)
      if (&nodes_[i] != &n) nodes_[i].probability += lost / (m - 1);
  }

  // Guards against the multiplied probability that stays low once its cause is gone: a drained node stands
  // at an even part again. Also catches a node idle since a surge; harms nothing but the memory of the surge.
  void log_drop(Node& n, double units) {
    n.load -= units;
    if (n.load > 1e-6) return;
    n.load = 0;
    const double even = 1.0 / std::max(1, fit_count());
    if (!n.listed || fit_count() < 2 || n.probability >= even) return;
    const double scale = (1 - even) / (1 - n.probability);
    for (int i : by_name_) nodes_[i].probability *= scale;
    n.probability = even;
  }

  void clock(Node& n) {
    const double dt = static_cast<double>(now_ - n.clocked);
    n.clocked = now_;
    if (n.out == 0 || dt <= 0) return;
    const double keep = std::exp(-dt / kRateMemory);
    n.served *= keep;
    n.busy = n.busy * keep + dt;
  }

  double rate(const Node& n) const {  // units a microsecond that this head gets there
    const double prior = mean_rate_ * n.size;
    return (n.served + prior * kRatePrior) / (n.busy + kRatePrior);
  }

  void learn(Node& n, const Submit& s, double lag, double units) {
    const double own = lag / units;
    // Large steps at first: a head with few answers would take long to unlearn that its first one was slow.
    unit_time_ = unit_time_ == 0
                     ? own
                     : unit_time_ * (1 + unit_step_ * (own < unit_time_ ? kUnitPart - 1 : kUnitPart));
    unit_step_ = std::max(kUnitStep, 0.8 * unit_step_);
    n.fit.add(s.load, lag, kFitKeep);
    n.lag += 0.3 * (lag - n.lag);
    const double wait = std::max(0.0, lag - units * unit_time_);
    n.wait += 0.3 * (wait - n.wait);
    wait_ += 0.1 * (std::min(wait, tightest_goal_) - wait_);
    const double pressure = wait_ / (kCalm * tightest_goal_);
    calm_ = std::exp(-pressure * pressure);
  }

  bool cold(const Node& n) const { return n.up_since > 0 && now_ < n.up_since + given_.warm_within; }

  double warmth(const Node& n) const {
    if (!cold(n)) return 1;
    const double age = static_cast<double>(std::max<Micros>(0, now_ - n.up_since - given_.overload_for));
    return std::min(1.0, cold_from_ + (1 - cold_from_) * age / static_cast<double>(given_.warm_within));
  }

  // Heads take turns by number, several sharing one where there are more heads than turns.
  bool own_turn(Micros slot, int turns) const { return now_ / slot % turns == given_.own_number % turns; }

  bool shut(const Node& n) const { return n.mute || n.strikes >= kStrikes; }

  double cap(const Node& n) const {
    return std::max(given_.most_units, rate(n) * kGoalPart * tightest_goal_);
  }

  bool room(Node& n, double units) {
    const bool full = n.out >= kMostOut || (n.load > 0 && n.load + units > cap(n));
    return !shut(n) && !full && bears(n, units);
  }

  // How many heads have use for a node at one time, judged by this head's own use: of nodes on average, or of
  // this one where it asks more for it. What waits counts as well as what is sent: the turns that hold it
  // back would look like want of use otherwise.
  double competing_heads(const Node& n) const { return std::max(1.0, heads_ * std::max(reach_, n.demand)); }

  // Guards a cold node against all heads together: each keeps to its part of what is surely borne, among as
  // many heads as have use for it at one time. Where the part is less than one request, heads take turns by
  // number. Harms when the others have no use for it.
  bool bears(Node& n, double units) {
    if (!cold(n)) return true;
    const double used = n.sent.sum(now_, given_.overload_for);
    const double part = given_.cold_bears * kColdMargin * warmth(n) / cold_from_ / competing_heads(n);
    // What it served this head lately is proof of more: if all heads keep to it, all stay under the multiple.
    const double proven = given_.fall_multiple * kColdProven * n.done.sum(now_, given_.overload_for);
    const int turns = std::clamp(static_cast<int>(std::ceil(given_.usual_units / part)), 1, heads_);
    return used + units <= std::max(part, proven) || (used == 0 && own_turn(given_.overload_for, turns));
  }

  // How long an answer may take before its absence means something.
  double patience(const Node& n) const { return std::max(tightest_goal_, 4 * n.lag); }

  // How long the oldest submit there has waited with no answer of any kind since it left.
  double silence(const Node& n) const {
    return n.oldest > 0 && n.oldest >= n.heard ? static_cast<double>(now_ - std::max(n.oldest, woken_)) : 0;
  }

  // How long so many units there would take, the block I/O last; unknown rates raise no doubt. A node not
  // heard lately counts as average, the longer the more, and a long queue is remembered longer than a short
  // pause.
  double expected(const Bio& b, Node& n, double units) const {
    if (mean_rate_ <= 0) return 0;
    const FadingFit& f = n.fit;
    if (n.seen != turn_) {
      n.seen = turn_;
      n.fresh = std::exp(-static_cast<double>(now_ - n.heard) / (kLagMemory * tightest_goal_ + n.wait));
      n.kept = std::exp(-static_cast<double>(now_ - n.heard) / kFitMemory);
      n.cross = f.cross(), n.spread = f.spread();
    }
    const double prior = kFitPrior * kFitDark * std::sqrt(b.io.heads) * unit_time_;
    const double slope = (std::max(0.0, n.cross) + prior) / (n.spread + kFitPrior);
    const double base = f.count > 0 ? f.y / f.count - slope * f.x / f.count : 0;
    return std::max(
        std::max(0.0, base) * n.kept + slope * units,
        std::max(silence(n) - n.lag, n.wait * n.fresh + wait_ * (1 - n.fresh)) + b.io.units * unit_time_);
  }

  // What is beyond the reserve may wait a part of its goal only, its own work counted in, and so leaves nodes
  // to others under pressure; while this head's answers show little wait it is held to less. Harms when
  // others are under pressure that this head doesn't meet.
  bool within(const Bio& b, Node& n, double units, double left) const {
    const double own = b.io.units * unit_time_ * calm_, room = b.room + (1 - b.room) * calm_;
    return expected(b, n, units) - own <= room * (left - own);
  }

  bool in_time(const Bio& b, Node& n, double units) const {
    return within(b, n, units, static_cast<double>(b.goal_at - now_));
  }

  // Guards tight goals against loose ones: what is sent can't be taken back, so what has time waits before
  // the gate until the node is as short of work as the tightest goal wants it. It holds nobody back there.
  // Harms loose goals at nodes that stay full.
  bool gate_open(const Bio& b, Node& n) const {
    const double left = std::min(static_cast<double>(b.goal_at - now_), tightest_goal_);
    return within(b, n, n.load + b.io.units, left);
  }

  // Guards against a head that learned in a surge that nothing can be in time, and then sheds all for ever at
  // idle nodes because nothing is answered that would teach it better. Harms by one late answer each time.
  bool stuck() const { return now_ - sent_ >= kTrialEvery; }

  // Guards tight goals against loose ones: what earns little and can wait long would be served in full while
  // what earns more but has no time is shed. The last gain shed at a node is its price; what earns less is
  // shed as it comes. Covers every overload, whoever makes it; harms for a moment after a surge has gone.
  bool priced_out(const Bio& b, const Node& n) const { return n.load > 0 && b.gain < 0.999 * n.price; }

  // A shut node gets one trial at a time, heads in turn, so that its return is noticed and not a stampede.
  bool trial_due(Node& n) {
    const int turns = std::min(heads_, kTrialTurns);
    if (!shut(n) || now_ - n.tried < kTrialEvery || !own_turn(kTrialEvery / turns, turns)) return false;
    n.tried = now_;
    return true;
  }

  // Guards against a node shut for ever where nothing idempotent comes its way and probing is not allowed:
  // after a long rest any first submit is a trial, which breaks no promise. Also heals all nodes at once
  // after a common cause; harms the one block I/O that finds the node still sick.
  bool rarely_tried(const Node& n) const {
    return !given_.may_probe && shut(n) && now_ - std::max(n.tried, n.fine) >= kTrialRare;
  }

  bool trial(Node& n, const Bio& b) {
    const bool may = groups_[b.io.group].repeat == Repeat::idempotent || (b.submits == 0 && rarely_tried(n));
    return may && bears(n, b.io.units) && trial_due(n);
  }

  int node_of_shard(int shard) const {
    return shard < static_cast<int>(holders_.size()) ? holders_[shard] : -1;
  }

  void find_holders() {
    holders_.assign(holders_.size(), -1);
    forsaken_.clear();
    for (int i : by_name_) {
      const Node& n = nodes_[i];
      if (n.shard < 0 || n.state != NodeState::ready) continue;
      if (n.shard >= static_cast<int>(holders_.size())) holders_.resize(n.shard + 1, -1);
      int& best = holders_[n.shard];
      if (best < 0 || (shut(nodes_[best]) && !shut(n))) best = i;
      if (rarely_tried(n)) forsaken_.push_back(i);
    }
  }

  // The shut node, if any, that a new object is to try because nothing else does.
  int try_forsaken(const Bio& b) {
    if (b.submits > 0) return -1;
    for (int i : forsaken_)
      if (rarely_tried(nodes_[i]) && trial(nodes_[i], b)) return i;
    return -1;
  }

  // Guards against nodes loaded by others, slowed or paused, which the own log shows light: a load is never
  // taken as less than what the node's last answers, or the wait for one, tell at an average node's rate.
  // Harms when one big block I/O was the slow one: then new objects pass by the node for a moment.
  double weight(const Node& n) const { return std::max(n.load, mean_rate_ * std::max(n.lag, silence(n))); }

  bool told(int plan, int node) const { return std::ranges::count(due_[plan].nodes, node) > 0; }

  int home_of(std::uint64_t object, int plan) {
    homes_.clear();
    for (int i : by_name_)
      if (told(plan, i)) homes_.push_back(i);
    const std::vector<int>& among = homes_.empty() ? by_name_ : homes_;
    return among[object % among.size()];
  }

  int place(const Bio& b) {
    // Within a turn nodes only fill and prices only rise: what found no room tells for all as large that
    // earn no more. Guards the turn's length when many new objects are held.
    const std::size_t size = std::min<std::size_t>(b.io.units, full_for_.size() - 1);
    if (b.gain <= full_for_[size]) return -1;
    fit_.clear();
    // Nodes restarted cold together look empty: while a warm one has room, new objects pass them by. A plan's
    // nodes come first, the others while none of them can take it: a plan must not idle the rest in a surge.
    for (int pass = due_[b.io.plan].nodes.empty() ? 1 : 0; pass < 3 && fit_.empty(); ++pass)
      for (int i : by_name_) {
        Node& n = nodes_[i];
        if (n.state != NodeState::ready || n.blocked) continue;
        if ((pass == 0 && !told(b.io.plan, i)) || (pass < 2 && cold(n))) continue;
        if (barred(b, i) || priced_out(b, n) || !room(n, b.io.units)) continue;
        fit_.push_back(i);
      }
    if (fit_.empty()) {
      for (std::size_t u = size; b.submits == 0 && u < full_for_.size(); ++u)
        full_for_[u] = std::max(full_for_[u], b.gain);
      return -1;
    }
    const int home = home_of(b.io.object, b.io.plan);
    const bool home_fit = std::find(fit_.begin(), fit_.end(), home) != fit_.end();
    std::stable_sort(fit_.begin(), fit_.end(),
                     [&](int x, int y) { return nodes_[x].probability > nodes_[y].probability; });
    const auto half = (fit_.size() + 1) / 2;
    const int one = fit_[chance_() % half], two = fit_[chance_() % half];
    const int target = weight(nodes_[two]) < weight(nodes_[one]) ? two : one;
    if (!home_fit) return target;
    return weight(nodes_[home]) - weight(nodes_[target]) > kThreshold * given_.usual_units ? target : home;
  }

  void fill(Volume& v, const Due& due) {
    if (v.filled < 0) {
      v.reserve = due.reserve + given_.most_units;
      v.share = due.share;
      v.filled = now_;  // the store of a limit starts empty: what was used before a start isn't known
    }
    const double dt = static_cast<double>(now_ - v.filled) / 1e6;
    v.filled = now_;
    const double keep = std::exp(-dt * 1e6 / kUseMemory);
    v.here *= keep;
    v.elsewhere *= keep;
    const double prior = given_.usual_units;
    const double part = given_.tells_elsewhere || given_.meter_period > 0
                            ? (v.here + prior) / (v.here + v.elsewhere + prior * v.heads)
                            : std::pow(v.heads, -kUntoldPart);
    v.reserve = std::min(v.reserve + due.reserve * part * dt, due.reserve * part + given_.most_units);
    v.share = std::min(v.share + due.share * part * dt, due.share * part);
    v.limit = std::min(v.limit + due.limit / v.heads * dt, due.burst / v.heads);
  }

  void draw(Bio& b, bool late) {
    Volume& v = volumes_[b.io.volume];
    const Due& due = due_[b.io.plan];
    v.heads = std::max(v.heads, b.io.heads);
    fill(v, due);
    const double units = b.io.units;
    b.of_reserve = due.reserve > 0 ? std::clamp(v.reserve, 0.0, units) : 0;
    b.of_share = std::clamp(v.share, 0.0, units - b.of_reserve);
    v.reserve -= b.of_reserve;
    v.share -= b.of_share;
    const double beyond = units - b.of_reserve - b.of_share;
    b.gain = groups_[b.io.group].unit_gain * due.gain_factor / units *
             (b.of_reserve + b.of_share * given_.share_gain + beyond * given_.beyond_gain);
    b.room = (b.of_reserve + b.of_share * kRoomShare + beyond * kRoomBeyond) / units;
    if (late) b.gain *= groups_[b.io.group].late_part, b.room = kRoomBeyond;
  }

  // What was not served in time leaves its due to the next of its volume.
  void give_back(Bio& b) {
    Volume& v = volumes_[b.io.volume];
    v.reserve += b.of_reserve;
    v.share += b.of_share;
    b.of_reserve = b.of_share = 0;
  }

  // The first `count` submits, as the permits see them.
  struct Earlier {
    std::array<permits::Attempt, kPlaces> all;
    int count;
    operator std::span<const permits::Attempt>() const {
      return {all.data(), static_cast<std::size_t>(count)};
    }
  };

  Earlier earlier(const Bio& b, int count) const {
    Earlier e{{}, count};
    for (int i = 0; i < count; ++i) {
      const Submit& s = b.submit[i];
      e.all[i] = {s.sent, nodes_[s.node].zone, nodes_[s.node].shard, s.out, s.may_have_run};
    }
    return e;
  }

  permits::Target target(int node) const {
    return {nodes_[node].state, nodes_[node].zone, nodes_[node].shard};
  }

  bool untouched(const Bio& b) const {
    for (int i = 0; i < b.submits; ++i)
      if (b.submit[i].out || b.submit[i].may_have_run) return false;
    return true;
  }

  bool may_shed(const Bio& b) const {
    return permits::may_refuse(groups_[b.io.group], earlier(b, b.submits));
  }

  // Whether a submit to this node is out of the question. A new object goes elsewhere once a node turned it
  // away, even if that node still ranks well.
  bool barred(const Bio& b, int node) const {
    if (b.submits >= most_submits_ || b.outs > 0) return true;
    if (b.submits == 0) return false;
    for (int i = 0; i < b.submits; ++i)
      if (b.io.shard < 0 && b.submit[i].node == node) return true;
    const Group& g = groups_[b.io.group];
    return permits::may_repeat(g, earlier(b, b.submits), target(node), now_) != Denial::none;
  }

  Denial may_begin(std::uint64_t id, int submit) const {
    const int at = index_.find(id);
    if (at < 0 || bios_[at].over || submit >= bios_[at].submits) return Denial::request_over;
    const Bio& b = bios_[at];
    return permits::may_begin(groups_[b.io.group], earlier(b, submit), target(b.submit[submit].node), now_,
                              b.io.give_up_at);
  }

  bool further_allowed() {
    if (given_.budget_span < 0) return further_ >= 1;
    const double allowed =
        given_.budget_spare + given_.budget_share * takes_.since(now_ - given_.budget_span);
    return further_ >= 1 && furthers_.since(now_ - given_.budget_span + 1) + 1 <= allowed;
  }

  bool has_turn(const Bio& b) {
    if (!groups_[b.io.group].keeps_order || b.io.object == 0) return true;
    const Line& line = lines_[b.io.object];
    return line.first >= 0 && &bios_[line.first] == &b && (b.submits > 0 || now_ >= line.rest_until);
  }

  bool within_limit(const Bio& b) {
    const Due& due = due_[b.io.plan];
    if (due.limit <= 0 || b.charged) return true;
    Volume& v = volumes_[b.io.volume];
    fill(v, due);
    return v.limit >= b.io.units;
  }

  void send(Bio& b, int node) {
    if (stuck()) unit_step_ = kFirstStep;
    sent_ = now_;
    Submit& s = b.submit[b.submits++];
    s = {.node = node,
         .sent = now_,
         .load = nodes_[node].load + b.io.units,
         .out = true,
         .may_have_run = false,
         .further = b.submits > 1};
    ++b.outs;
    b.held = false;
    b.next = &Desk::after_submit;
    if (s.further) {
      further_ -= 1;
      if (given_.budget_span >= 0) furthers_.add(now_, now_ - given_.budget_span);
    }
    if (due_[b.io.plan].limit > 0 && !b.charged) volumes_[b.io.volume].limit -= b.io.units;
    b.charged = true;
    log_send(nodes_[node], b.io.units);
    out_.submit(b.io.id, node, std::max<Micros>(b.io.give_up_at - now_, 1));
  }

  void hold(int at) {
    bios_[at].held = true;
    joined_.push_back(at);
  }

  void after_submit(Bio& b, const Answer& a) {
    if (a.over) return finish(b, a.result == Result::ended && now_ <= b.goal_at);
    // Known not to have run, or free to repeat: once more where it can still be in time, and luck allows.
    if (b.submits < most_submits_ && now_ < b.goal_at && further_allowed() &&
        (untouched(b) || groups_[b.io.group].repeat != Repeat::side_effecting)) {
      b.not_before = b.io.shard < 0 ? now_ : now_ + tightest_goal_ / 8;
      return hold(static_cast<int>(&b - &bios_[0]));
    }
    give_up(b, GiveUp::no_further);
  }

  void after_over(Bio&, const Answer&) {}

  void finish(Bio& b, bool in_time) {
    if (!in_time) give_back(b);
    b.over = true;
    b.held = false;
    b.next = &Desk::after_over;
    done_.push_back(static_cast<int>(&b - &bios_[0]));
  }

  void give_up(Bio& b, GiveUp why) {
    const Micros advice = given_.takes_advice ? std::min<Micros>(given_.longest_advice, tightest_goal_) : 0;
    if (may_shed(b))
      out_.shed(b.io.id, advice, why);
    else
      out_.fail(b.io.id, why);
    finish(b, false);
  }

  void let_go(int at) {  // the place, once nothing more can come for it
    Bio& b = bios_[at];
    if (!b.live || !b.over || b.outs > 0) return;
    if (groups_[b.io.group].keeps_order && b.io.object != 0) {
      Line& line = lines_[b.io.object];
      unlink(bios_, line, at);
      if (line.first < 0) rests_.push_back({line.rest_until, b.io.object});
    }
    index_.drop(b.io.id);
    b.live = false;
    hand_.drop(at);
    bios_.release(at);
  }

  void listed(ListKind kind, std::span<const NodeEntry> entries);
  void planned(std::span<const Plan> plans);
  bool forget_node(int node);
  bool forget_volume(int volume);
  void take(const BlockIo& io);
  void answered(const Answer& a);
  void settle();
  void tick();
  void ask_list();

  const Provisioning given_;
  Surroundings& out_;
  Micros now_;
  std::ranlux24_base chance_;
  std::vector<Group> groups_;
  std::vector<Due> due_;
  int heads_, most_submits_;
  double tightest_goal_ = 0, cold_from_, mean_rate_ = 0, unit_time_ = 0, unit_step_ = kFirstStep, wait_ = 0,
         calm_ = 1, reach_ = 1, luck_ = 0.5, further_ = 1;
  Micros ask_at_ = 0, woken_ = 0, sent_ = 0;
  Slab<Bio> bios_;
  std::uint64_t turn_ = 1;
  TicketIndex index_;
  std::vector<Node> nodes_;
  std::vector<int> by_name_, fit_, homes_, joined_, done_, holders_, forsaken_;
  SortedPlaces held_;
  DensePlaces hand_;
  std::vector<double> full_for_;  // by units: the most gain that found no room this turn
  std::vector<Volume> volumes_;
  std::vector<Linger> lingers_;
  RecentMoments takes_, furthers_;
  std::unordered_map<std::uint64_t, Line> lines_;
  std::deque<std::pair<Micros, std::uint64_t>> rests_;  // lines without a block I/O, until their rest is over
};

Head::Desk::Desk(const Provisioning& given, Surroundings& out, Micros now)
    : given_(given),
      out_(out),
      now_(now),
      chance_(static_cast<std::uint32_t>(given.seed ^ (given.seed >> 32))),
      heads_(std::max(1, given.heads)),
      most_submits_(std::min(given.most_submits, kPlaces)),
      cold_from_(std::max(given.cold_from, 0.01)) {
  for (const IoGroup& g : given.groups) {
    groups_.push_back({g, g.gain / given.usual_units});
    const double goal = static_cast<double>(g.latency_goal);
    tightest_goal_ = tightest_goal_ == 0 ? goal : std::min(tightest_goal_, goal);
  }
  planned(given.plans);
  full_for_.resize(static_cast<std::size_t>(std::clamp(given_.most_units, 1.0, 1024.0)) + 2);
  if (given_.list_asked) ask_list();
  out_.wake(0, kTick);
}

void Head::Desk::planned(std::span<const Plan> plans) {
  double nominal = 0, weights = 0;
  for (const Plan& p : plans) nominal += p.nominal, weights += p.weight;
  due_.clear();
  for (const Plan& p : plans) due_.push_back({p, kShareRoom * nominal * p.weight / weights});
}

// Watching costs a line a change; asking anew when all has been still covers a watch that broke unnoticed.
void Head::Desk::ask_list() {
  out_.watch_list();
  ask_at_ = now_ + given_.ask_every * 3 / 4 + static_cast<Micros>(chance_() % 500'000);
}

void Head::Desk::listed(ListKind kind, std::span<const NodeEntry> entries) {
  if (kind == ListKind::failed) {
    ask_at_ = std::min(ask_at_, now_ + given_.ask_every / 20 + static_cast<Micros>(chance_() % 300'000));
    return;
  }
  if (kind != ListKind::delta)
    for (Node& n : nodes_) n.listed = false, n.state = NodeState::gone;
  for (const NodeEntry& e : entries) {
    if (e.node >= static_cast<int>(nodes_.size())) nodes_.resize(e.node + 1);
    Node& n = nodes_[e.node];
    if (n.name.empty()) n.name = e.name;
    if (n.demand < 0) n.demand = reach_;  // a new one is wanted as much as the others are
    if (e.up_since > n.up_since && n.up_since + n.heard > 0) {  // restarted: what was learned is of its past
      n.served = n.busy = n.lag = n.wait = 0;
      n.fit = {}, n.done = {};
      n.strikes = 0;
      n.mute = false;
    }
    n.up_since = e.up_since;
    n.state = e.state;
    n.listed = e.state != NodeState::gone;
    n.shard = e.shard;
    n.zone = e.zone;
    n.size = given_.sizes_told && e.share > 0 ? e.share : 1;
  }
  by_name_.clear();
  double sizes = 0;
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i)
    if (nodes_[i].listed) by_name_.push_back(i), sizes += nodes_[i].size;
  std::sort(by_name_.begin(), by_name_.end(), [&](int x, int y) { return nodes_[x].name < nodes_[y].name; });
  double sum = 0;
  for (int i : by_name_) {
    Node& n = nodes_[i];
    if (n.probability <= 0) n.probability = 1.0 / static_cast<double>(by_name_.size());
    sum += n.probability;
    n.size *= static_cast<double>(by_name_.size()) / sizes;
  }
  for (int i : by_name_) nodes_[i].probability /= sum;
}

void Head::Desk::take(const BlockIo& io) {
  const int at = bios_.claim();
  Bio& b = bios_[at];
  hand_.add(at);
  b.io = io;
  b.live = true;
  b.next = &Desk::after_submit;
  index_.add(io.id, at);
  const Group& g = groups_[io.group];
  const double stretch = mean_rate_ > 0 ? g.goal_stretch * io.units / mean_rate_ : 0;
  // A client may come with less time than a goal, and what is held is looked at once a tick only: one tick is
  // kept back, or its answer comes after the client has gone.
  // Against a goal reckoned from when this head happened to look: a client's time began a hard limit before
  // it gives up, with its first try or while this head stood still.
  const Micros began = std::min(now_, io.give_up_at - g.hard_limit);
  b.goal_at = std::min(began + g.latency_goal + static_cast<Micros>(stretch), io.give_up_at - kTick);
  const bool late = b.goal_at <= now_ + kTick;
  if (late) b.goal_at = std::min(now_ + g.latency_goal, io.give_up_at - kTick);
  if (io.volume >= static_cast<int>(volumes_.size())) volumes_.resize(io.volume + 1);
  draw(b, late);
  further_ = std::min(kFurtherMost, further_ + kFurtherShare * luck_);
  if (given_.budget_span >= 0) takes_.add(now_, now_ - given_.budget_span);
  if (g.keeps_order && io.object != 0) {
    Line& line = lines_[io.object];
    link_last(bios_, line, at);
  }
  hold(at);
}

void Head::Desk::answered(const Answer& a) {
  const int at = index_.find(a.id);
  if (at < 0) return;
  Bio& b = bios_[at];
  if (a.submit < 0 || a.submit >= b.submits || !b.submit[a.submit].out) return;
  Submit& s = b.submit[a.submit];
  Node& n = nodes_[s.node];
  clock(n);
  s.out = false;
  --b.outs;
  --n.out;
  const bool answer =
      a.result == Result::ended || a.result == Result::error || a.result == Result::turned_away;
  s.may_have_run =
      a.result != Result::turned_away && a.result != Result::no_connection && a.result != Result::not_sent;
  if (answer) n.heard = now_;
  const double counted = s.written_off ? 0 : b.io.units;
  if (a.result == Result::ended) {
    n.served += b.io.units;
    n.done.add(now_, given_.overload_for, b.io.units);
    n.strikes = 0;
    n.mute = false;
    if (now_ != woken_) learn(n, s, static_cast<double>(a.lag), b.io.units);
    log_drop(n, counted);
  } else if (a.result == Result::not_sent || a.result == Result::called_off) {
    if (a.result == Result::not_sent && b.charged && untouched(b) && due_[b.io.plan].limit > 0) {
      volumes_[b.io.volume].limit += b.io.units;
      b.charged = false;
    }
    log_drop(n, counted);
  } else {
    // Guards against a node that sheds its counted units by quick errors and then looks lightest: the units
    // stay for as long as a good answer may take. Also catches full queues and refused connections.
    if (a.result != Result::turned_away) ++n.strikes;
    lingers_.push_back({std::max(now_, s.sent + static_cast<Micros>(tightest_goal_)), s.node, counted});
  }
  if (s.further) luck_ += 0.1 * ((a.result == Result::ended && now_ <= b.goal_at ? 1.0 : 0.0) - luck_);
  luck_ = std::max(luck_, 0.05);
  Volume& v = volumes_[b.io.volume];
  if (answer) {
    fill(v, due_[b.io.plan]);
    if (a.result == Result::ended) v.here += b.io.units;
    v.elsewhere += a.from_others;
    // Where only the use over all heads is told, what is not this head's own is the others'.
    if (given_.meter_period > 0 && !given_.tells_elsewhere && a.volume_use > 0) {
      const double all = (a.volume_use - 1) / 100.0 * due_[b.io.plan].nominal * kUseMemory / 1e6;
      v.elsewhere = std::max(0.0, all - v.here);
    }
  }
  if (groups_[b.io.group].keeps_order && b.io.object != 0 && s.may_have_run && !answer) {
    Line& line = lines_[b.io.object];
    line.rest_until = std::max(line.rest_until, now_ + given_.turn_rest);
  }
  (this->*b.next)(b, a);
  let_go(at);
}

// Walks the held ones, earliest deadline first: each leaves, waits, or makes room for one worth more.
void Head::Desk::settle() {
  ++turn_;
  for (Node& n : nodes_) {
    clock(n);
    n.ahead = n.load;
    n.blocked = false;
    n.waiting.clear();
  }
  held_.join(joined_, [&](int x, int y) { return bios_[x].goal_at < bios_[y].goal_at; });
  find_holders();
  std::fill(full_for_.begin(), full_for_.end(), -1.0);
  int turn = 0;
  for (int at : held_) {
    Bio& b = bios_[at];
    if (!b.held || b.over) continue;
    int node = b.io.shard >= 0 ? node_of_shard(b.io.shard) : -1;
    if (node >= 0) nodes_[node].wanted_at = now_;
    const bool dear = node >= 0 && priced_out(b, nodes_[node]);
    if (now_ >= b.goal_at || (b.submits == 0 && dear)) {
      give_up(b, now_ >= b.goal_at ? GiveUp::goal_passed : GiveUp::priced_out);
      continue;
    }
    const bool ready =
        now_ >= b.not_before && has_turn(b) && within_limit(b) && (b.submits == 0 || further_allowed());
    if (b.io.shard < 0) {
      if (const int shut = ready && !forsaken_.empty() ? try_forsaken(b) : -1; shut >= 0) {
        send(b, shut);
        continue;
      }
      node = place(b);
    }
    if (ready && node >= 0 && !nodes_[node].blocked && !barred(b, node)) {
      Node& n = nodes_[node];
      const bool fits = room(n, b.io.units), open = gate_open(b, n);
      if ((fits && (open || stuck())) || trial(n, b)) {
        send(b, node);
        n.ahead = std::max(n.ahead, n.load);
        continue;
      }
      if (fits && in_time(b, n, n.ahead + b.io.units)) continue;  // before the gate
    }
    if (node < 0 && b.io.shard < 0 && !by_name_.empty()) node = home_of(b.io.object, b.io.plan);
    if (node < 0) continue;
    Node& n = nodes_[node];
    if (b.io.shard >= 0) n.blocked = true;
    n.ahead += b.io.units;
    n.waiting.add(b.gain, turn++, at);
    if (in_time(b, n, n.ahead)) continue;
    // Under pressure what earns least makes room, of those that wait at this node no later than this one.
    while (!bios_[n.waiting.least().at].held) n.waiting.drop_least();
    const int least = n.waiting.least().gain < b.gain ? n.waiting.least().at : at;
    n.ahead -= bios_[least].io.units;
    // A price is asked for a node too full for a whole goal, not for one try's want of time.
    const Bio& shed = bios_[least];
    if (!within(shed, n, n.ahead + shed.io.units, static_cast<double>(groups_[shed.io.group].latency_goal)))
      n.price = std::max(n.price, shed.gain);
    give_up(bios_[least], GiveUp::crowded_out);
  }
  held_.keep([&](int at) { return bios_[at].held; });
  for (int at : done_) let_go(at);
  done_.clear();
}

// Where what a name stood for has gone, its small index may pass to another once nothing in hand speaks of
// it.
bool Head::Desk::forget_node(int node) {
  if (node >= static_cast<int>(nodes_.size())) return true;
  Node& n = nodes_[node];
  if (n.listed || n.out > 0) return false;
  for (const Linger& l : lingers_)
    if (l.node == node) return false;
  for (int at : hand_)
    for (int i = 0; i < bios_[at].submits; ++i)
      if (bios_[at].submit[i].node == node) return false;
  n = Node{};
  return true;
}

bool Head::Desk::forget_volume(int volume) {
  if (volume >= static_cast<int>(volumes_.size())) return true;
  Volume& v = volumes_[volume];
  if (v.filled >= 0 && now_ - v.filled < kForget) return false;
  for (int at : hand_)
    if (bios_[at].io.volume == volume) return false;
  v = Volume{};
  return true;
}

void Head::Desk::tick() {
  out_.wake(0, kTick);
  if (given_.list_asked && now_ >= ask_at_) ask_list();
  std::erase_if(lingers_, [&](const Linger& l) {
    if (l.until <= now_) log_drop(nodes_[l.node], l.units);
    return l.until <= now_;
  });
  double served = 0, busy = 0, used = 0;
  const double usage_step = kTick / (2.0 * given_.overload_for);
  for (Node& n : nodes_) {
    n.oldest = 0;
    const bool wanted = n.wanted_at >= 0 && now_ - n.wanted_at < given_.overload_for;
    n.demand += ((wanted ? 1.0 : 0.0) - n.demand) * usage_step;
    if (!shut(n)) n.fine = now_;
    used += n.sent.sum(now_, given_.overload_for) > 0;
    n.price *= std::exp(-static_cast<double>(kTick) / (kPriceMemory * tightest_goal_));
    served += n.served;
    busy += n.busy;
  }
  if (busy > 0) mean_rate_ = served / busy;
  const double of = used / std::max<double>(1, fit_count());
  reach_ += (std::min(1.0, of) - reach_) * usage_step;
  for (; !rests_.empty() && rests_.front().first <= now_; rests_.pop_front()) {
    auto line = lines_.find(rests_.front().second);
    if (line != lines_.end() && line->second.first < 0 && now_ >= line->second.rest_until) lines_.erase(line);
  }
  for (int at : hand_) {
    Bio& b = bios_[at];
    for (int i = 0; i < b.submits; ++i) {
      Submit& s = b.submit[i];
      Node& n = nodes_[s.node];
      if (!s.out) continue;
      if (s.sent >= n.heard) n.oldest = n.oldest == 0 ? s.sent : std::min(n.oldest, s.sent);
      // Guards the cap against submits or answers lost on the way: one that the node's later answers have
      // long overtaken no longer counts as load. Covers cut links and restarts; a very big one may be meant.
      if (s.written_off || n.heard < s.sent + static_cast<Micros>(patience(n))) continue;
      s.written_off = true;
      log_drop(n, b.io.units);
    }
    if (!b.over && !b.streaming && now_ >= b.io.give_up_at) give_up(b, GiveUp::time_over);
  }
  // Guards against nodes that take work and answer none, whether hung, vanished or cut off.
  for (Node& n : nodes_) {
    if (silence(n) > patience(n)) n.mute = true;
    if (n.listed && n.state != NodeState::gone && given_.may_probe && trial_due(n))
      out_.probe(static_cast<int>(&n - &nodes_[0]));
  }
}

Head::Head(const Provisioning& given, Surroundings& out, Micros now)
    : desk_(std::make_unique<Desk>(given, out, now)) {}
Head::~Head() = default;
// Guards against a head's own stand-still taken for the nodes': a wake-up comes every tick, a longer gap is
// its own, and what comes first after it tells results, not lags. Harms a little where ticks are late anyway.
void Head::at(Micros now) {
  if (now - desk_->now_ > kStill) desk_->woken_ = now;
  desk_->now_ = now;
}
void Head::listed(ListKind kind, std::span<const NodeEntry> entries) { desk_->listed(kind, entries); }
void Head::planned(std::span<const Plan> plans) { desk_->planned(plans); }
void Head::take(const BlockIo& bio) { desk_->take(bio); }
void Head::answered(const Answer& answer) { desk_->answered(answer); }
void Head::woke(std::uint64_t) { desk_->tick(); }
void Head::settle() { desk_->settle(); }
int Head::home(std::uint64_t object, int plan) const {
  return desk_->by_name_.empty() ? -1 : desk_->home_of(object, plan);
}
bool Head::forget_node(int node) { return desk_->forget_node(node); }
bool Head::forget_volume(int volume) { return desk_->forget_volume(volume); }

Head::Footprint Head::footprint() const {
  const Desk& d = *desk_;
  const std::size_t marks = d.takes_.size() + d.furthers_.size() + d.lingers_.size() + d.rests_.size();
  return {d.hand_.size(),  d.held_.size(), d.nodes_.size(), d.volumes_.size(),
          d.lines_.size(), marks,          d.calm_};
}

Denial Head::may_begin(std::uint64_t id, int submit) const { return desk_->may_begin(id, submit); }

void Head::stream_started(std::uint64_t id, int) {
  if (const int at = desk_->index_.find(id); at >= 0) desk_->bios_[at].streaming = true;
}

void Head::client_left(std::uint64_t id) {
  const int at = desk_->index_.find(id);
  if (at >= 0 && !desk_->bios_[at].over) desk_->finish(desk_->bios_[at], false);
}

void Head::probed(int node, Result result, Micros, const LoadReport&) {
  if (node >= static_cast<int>(desk_->nodes_.size())) return;
  Desk::Node& n = desk_->nodes_[node];
  if (result != Result::ended) return;
  n.heard = desk_->now_;
  n.strikes = 0;
  n.mute = false;
}

}  // namespace yewmount
