// The scheduler of a head: routing, admission, retries and node health. rules.h describes the interface;
// containers.h holds the data structures.
//
// New objects are placed by "Two Random from Top Half" over a log of the units in flight at each node
// (docs/design.md). Beside it stand admission by the quota of a volume with price-based load shedding,
// outlier ejection of nodes with probes, slow start of restarted nodes, and the safety checks of permits.h.
#include "rules.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "containers.h"
#include "permits.h"

namespace yewmount {
namespace {

// A new object leaves its default node if that node has so many typical requests more than the alternative.
constexpr double kMoveThresholdRequests = 1.0;
// The load cap of a node is what it serves within this part of the tightest latency goal.
constexpr double kLoadCapGoalFraction = 0.5;
constexpr int kMaxInFlightPerNode = 32;  // requests; the upper bound given by the design
constexpr double kRateDecayUs = 1.5e6;   // busy time after which a node's rate has decayed to 1/e
constexpr double kRatePriorUs = 0.2e6;   // busy time that the mean rate of all nodes counts for at a node
// The weighted shares of all plans add up to this multiple of their nominal rates.
constexpr double kShareOversubscription = 2.0;
constexpr double kUsageDecayUs = 4e6;  // of a volume's units here and at other heads
// Where nodes do not report the use by other heads, a head's part of a volume is heads^-this.
constexpr double kUnknownUsageExponent = 0.6;
// The parts of the latency goal that units within the share and beyond it may wait; the reserve has all.
constexpr double kShareWaitFraction = 0.45;
constexpr double kExcessWaitFraction = 0.15;
constexpr double kPriceDecayGoals = 2;  // a shedding price decays over this multiple of the tightest goal
// The weight of the last answers' queueing delay decays over this multiple of the tightest goal.
constexpr double kLagDecayGoals = 0.33;
// The service time of a unit without queueing is estimated as a low quantile of all lags for each unit.
constexpr double kUnitTimeQuantile = 0.4;
constexpr double kMinQuantileStep = 0.05;
constexpr double kInitialQuantileStep = 0.5;
constexpr Micros kTickUs = 5'000;               // within the slack that a final answer has
constexpr double kPressureGoalFraction = 0.18;  // of the tightest goal: a mean wait that counts as pressure
constexpr Micros kStallGapUs = 8 * kTickUs;     // between two events: this process itself was stalled
constexpr int kEjectionFailures = 3;            // consecutive failures that eject a node
constexpr Micros kProbeIntervalUs = 500'000;    // of an ejected node
// A probe interval is divided into so many slots at most, of which a head has one: shorter slots could fall
// between two ticks.
constexpr int kMaxProbeSlots = 10;
constexpr double kRetryTokensPerRequest = 0.2;  // earned by each block I/O if all retries succeed
constexpr double kMaxRetryTokens = 10;
constexpr double kColdCapacityMargin = 0.9;  // the part of a cold node's capacity that is used
// Recent requests that weigh as much as the assumption that all heads use a cold node.
constexpr double kUsagePriorRequests = 10;
// A cold node may be sent this part of the overload multiple of what it recently served.
constexpr double kSlowStartGrowth = 0.5;
constexpr double kFitRetention = 0.93;         // weight that a node's latency fit keeps at each answer
constexpr double kFitPriorUnitsSquared = 100;  // weight of the prior slope in the fit
constexpr double kFitDecayUs = 1e6;            // without answers, after which the fit has decayed to 1/e
// The prior slope of the fit is this many unit times, times the square root of the number of the volume's
// heads.
constexpr double kFitPriorUnitTimes = 0.5;
// Without a probe for so long, any first submit may serve as one.
constexpr Micros kFallbackProbeIntervalUs = 4 * kProbeIntervalUs;
constexpr Micros kVolumeIdleUs = 60'000'000;  // after which all token buckets of a volume are full again
constexpr int kMaxSubmits = 8;                // of a block I/O, whatever the settings allow
// Requests that the retry budget counts at most; further ones allow no further retries.
constexpr std::size_t kMaxCountedRequests = 1 << 16;

}  // namespace

class Head::Scheduler {
 public:
  Scheduler(const Provisioning& given, HeadEnvironment& environment, Micros now);

  struct Bio;
  // Handles the result of a block I/O's submit.
  using ResultHandler = void (Scheduler::*)(Bio&, const SubmitOutcome&);

  // One attempt of a block I/O at one node.
  struct Submit {
    int node = -1;
    Micros sent_at = 0;
    double load = 0;  // units in flight at the node, its own included, as it was sent
    bool in_flight = false;
    bool may_have_run = false;
    bool is_retry = false;
    bool presumed_lost = false;
  };

  struct Bio {
    BlockIo io;
    Micros goal_at = 0;  // when its latency goal ends
    Micros not_before = 0;
    double gain = 0;           // for each unit, by the quota that its volume had left as it came
    double reserve_units = 0;  // taken from the volume's reserve
    double share_units = 0;    // taken from the volume's share
    double wait_fraction = 1;  // the part of its goal that may be spent waiting
    bool is_active = false;
    bool is_queued = false;
    bool is_over = false;
    bool is_charged = false;  // to the volume's rate limit
    bool is_streaming = false;
    int submit_count = 0;
    int in_flight = 0;
    std::array<Submit, kMaxSubmits> submits;
    ResultHandler on_result = nullptr;
    int next = -1;  // neighbours in the queue of its key, where order is kept
    int previous = -1;
  };

  struct Node {
    std::string name;
    DecayedLinearFit
        fit;  // lag over units in flight: the intercept is a fixed cost, the slope that of a unit
    bool is_listed = false;
    bool is_silent = false;  // it takes submits and has answered none for too long
    NodeState state = NodeState::gone;
    int shard = -1;
    int zone = 0;
    int in_flight = 0;
    int failures = 0;  // consecutive
    double size = 1;   // relative to the mean
    double load = 0;   // units in flight
    double probability = 0;
    double served = 0;        // decayed units
    double busy = 0;          // decayed microseconds with a submit in flight
    double lag = 0;           // moving average
    double wait = 0;          // moving average of the lag beyond the unhindered service time
    double planned_load = 0;  // units in flight and queued before the present one
    double price = 0;         // gain for each unit below which requests are shed
    Micros up_since = 0;
    Micros busy_updated_at = 0;
    Micros answered_at = 0;
    Micros oldest_sent_at = 0;  // of the submits without any answer of the node since; 0: none
    Micros probed_at = 0;
    Micros healthy_at = 0;
    Micros demanded_at = -1;  // when a request for it was last sent or queued here; -1: never
    double demand = -1;       // part of recent time in which this head had use for it; -1: not listed before
    bool is_blocked = false;
    SlidingWindowSum sent_units;
    SlidingWindowSum completed_units;
    std::uint64_t cached_round = 0;  // the scheduler round in which the next four were computed
    double wait_weight = 0;
    double fit_weight = 0;
    double fit_covariance = 0;
    double fit_variance = 0;
    MinGainHeap waiting;  // queued for it in this round
  };

  // Token buckets in units; for one volume at this head.
  struct Volume {
    double reserve = 0;
    double share = 0;
    double limit = 0;
    double local_units = 0;   // decayed
    double remote_units = 0;  // decayed
    int heads = 1;
    int active = 0;  // block I/Os
    Micros refilled_at = -1;
  };

  struct Group : IoGroup {
    double unit_gain = 0;
  };

  // The rates of one volume over all heads.
  struct Quota : Plan {
    double share;
  };

  // The block I/Os of one key, where order is kept.
  struct KeyQueue {
    int first = -1;
    int last = -1;
    Micros blocked_until = 0;
    bool is_expiring = false;  // it has an entry in empty_key_queues_
  };

  // Units of a failed submit that count as load for a while.
  struct FailedLoad {
    Micros until;
    int node;
    double units;
  };

  int node_count() const { return static_cast<int>(by_name_.size()); }

  // Logs units sent to a node and moves its placement probability towards the others.
  void add_load(Node& n, double units) {
    n.load += units;
    ++n.in_flight;
    n.sent_units.add(now_, config_.overload_window, units);
    n.demanded_at = now_;
    const int m = node_count();
    if (m < 2 || !n.is_listed) return;
    const double lost = n.probability * (1 - std::exp(-n.load));
    n.probability -= lost;
    for (int i : by_name_)
      if (&nodes_[i] != &n) nodes_[i].probability += lost / (m - 1);
  }

  // Removes units from a node's load. A node whose load is zero gets an even placement probability again:
  // multiplied down in a burst, it would stay low although the burst is over.
  void remove_load(Node& n, double units) {
    n.load -= units;
    if (n.load > 1e-6) return;
    n.load = 0;
    const double even = 1.0 / std::max(1, node_count());
    if (!n.is_listed || node_count() < 2 || n.probability >= even) return;
    const double scale = (1 - even) / (1 - n.probability);
    for (int i : by_name_) nodes_[i].probability *= scale;
    n.probability = even;
  }

  void update_busy_time(Node& n) {
    const double dt = static_cast<double>(now_ - n.busy_updated_at);
    n.busy_updated_at = now_;
    if (n.in_flight == 0 || dt <= 0) return;
    const double keep = std::exp(-dt / kRateDecayUs);
    n.served *= keep;
    n.busy = n.busy * keep + dt;
  }

  // Units a microsecond that this head gets served at the node; the mean of all nodes is the prior.
  double service_rate(const Node& n) const {
    const double prior = mean_rate_ * n.size;
    return (n.served + prior * kRatePriorUs) / (n.busy + kRatePriorUs);
  }

  // Updates the latency estimates from a successful answer.
  void record_lag(Node& n, const Submit& s, double lag, double units) {
    const double own = lag / units;
    // Stochastic quantile estimate. The steps are large at first: a head with few answers would otherwise
    // take long to correct a slow first one.
    unit_time_ = unit_time_ == 0
                     ? own
                     : unit_time_ * (1 + unit_time_step_ *
                                             (own < unit_time_ ? kUnitTimeQuantile - 1 : kUnitTimeQuantile));
    unit_time_step_ = std::max(kMinQuantileStep, 0.8 * unit_time_step_);
    n.fit.add(s.load, lag, kFitRetention);
    n.lag += 0.3 * (lag - n.lag);
    const double wait = std::max(0.0, lag - units * unit_time_);
    n.wait += 0.3 * (wait - n.wait);
    wait_ += 0.1 * (std::min(wait, tightest_goal_) - wait_);
    const double pressure = wait_ / (kPressureGoalFraction * tightest_goal_);
    headroom_ = std::exp(-pressure * pressure);
  }

  bool is_cold(const Node& n) const { return n.up_since > 0 && now_ < n.up_since + config_.warmup_time; }

  // The speed of a node relative to a warm one.
  double warmup_speed(const Node& n) const {
    if (!is_cold(n)) return 1;
    const double age = static_cast<double>(std::max<Micros>(0, now_ - n.up_since - config_.overload_window));
    return std::min(
        1.0, cold_speed_factor_ + (1 - cold_speed_factor_) * age / static_cast<double>(config_.warmup_time));
  }

  // Whether the present time slot is this head's. Slots go round by head number; several heads share one
  // where there are more heads than slots.
  bool is_own_slot(Micros slot, int slots) const { return now_ / slot % slots == config_.own_number % slots; }

  bool is_ejected(const Node& n) const { return n.is_silent || n.failures >= kEjectionFailures; }

  double load_cap(const Node& n) const {
    return std::max(config_.max_units, service_rate(n) * kLoadCapGoalFraction * tightest_goal_);
  }

  bool has_capacity(Node& n, double units) {
    const bool full = n.in_flight >= kMaxInFlightPerNode || (n.load > 0 && n.load + units > load_cap(n));
    return !is_ejected(n) && !full && slow_start_allows(n, units);
  }

  // Estimates how many heads use a node within one overload window from this head's own use: of all nodes on
  // average, or of this node where that is more. Queued requests count as use: otherwise the time slots that
  // hold them back would look like a lack of demand. Without much recent traffic, own use tells nothing of
  // the other heads, as a surge may come through all of them at once: the estimate then tends to all.
  double competing_heads(const Node& n) const {
    const double trust = recent_requests_ / (recent_requests_ + kUsagePriorRequests);
    return std::max(1.0, heads_ * (1 - trust * (1 - std::max(reach_, n.demand))));
  }

  // Slow start: limits what this head sends to a cold node, so that all heads together do not overload it.
  // The first request within an overload window may go if the node bears one of each head that uses it at one
  // time; where it bears less, heads take turns in time slots. Further requests show that the node is in
  // demand, which may hold for all heads: each head keeps to an even part of its capacity then. Cost: a cold
  // node is used less than possible while other heads have no use for it.
  bool slow_start_allows(Node& n, double units) {
    if (!is_cold(n)) return true;
    const double used = n.sent_units.sum(now_, config_.overload_window);
    const double capacity =
        config_.cold_capacity_units * kColdCapacityMargin * warmup_speed(n) / cold_speed_factor_;
    if (used == 0) return is_first_turn(capacity, competing_heads(n));
    // What the node recently served for this head shows that it bears more: if all heads keep to this, the
    // sum stays below the overload multiple.
    const double proven =
        config_.overload_multiple * kSlowStartGrowth * n.completed_units.sum(now_, config_.overload_window);
    return used + units <= std::max(capacity / heads_, proven);
  }

  // Whether this head may send the first request of an overload window to a node of this capacity, in units.
  // The number of time slots is a power of two, so that its slots among more are some of its slots among
  // fewer: it changes all the time as the node warms up, and no head may get a further slot by that.
  bool is_first_turn(double capacity, double competing) const {
    const double windows =
        std::clamp(std::ceil(config_.typical_units * competing / capacity), 1.0, 1.0 * heads_);
    return is_own_slot(config_.overload_window,
                       static_cast<int>(std::bit_ceil(static_cast<unsigned>(windows))));
  }

  // Microseconds without an answer after which a node counts as silent.
  double silence_timeout(const Node& n) const { return std::max(tightest_goal_, 4 * n.lag); }

  // Microseconds that the oldest submit there has waited, with no answer of any kind from the node since.
  double silence(const Node& n) const {
    return n.oldest_sent_at > 0 && n.oldest_sent_at >= n.answered_at
               ? static_cast<double>(now_ - std::max(n.oldest_sent_at, resumed_at_))
               : 0;
  }

  // Estimates the lag in microseconds of a block I/O at a node with `units` in flight, its own included. It
  // is zero while no rate is known. Without recent answers the estimate returns to the mean of all nodes;
  // that takes longer the longer the node's queue was.
  double expected_lag(const Bio& b, Node& n, double units) const {
    if (mean_rate_ <= 0) return 0;
    const DecayedLinearFit& f = n.fit;
    if (n.cached_round != round_) {
      n.cached_round = round_;
      n.wait_weight =
          std::exp(-static_cast<double>(now_ - n.answered_at) / (kLagDecayGoals * tightest_goal_ + n.wait));
      n.fit_weight = std::exp(-static_cast<double>(now_ - n.answered_at) / kFitDecayUs);
      n.fit_covariance = f.covariance_sum();
      n.fit_variance = f.variance_sum();
    }
    const double prior = kFitPriorUnitsSquared * kFitPriorUnitTimes * std::sqrt(b.io.heads) * unit_time_;
    const double slope = (std::max(0.0, n.fit_covariance) + prior) / (n.fit_variance + kFitPriorUnitsSquared);
    const double base = f.count > 0 ? f.y / f.count - slope * f.x / f.count : 0;
    return std::max(std::max(0.0, base) * n.fit_weight + slope * units,
                    std::max(silence(n) - n.lag, n.wait * n.wait_weight + wait_ * (1 - n.wait_weight)) +
                        b.io.units * unit_time_);
  }

  // Whether the expected lag stays within the part of the remaining time that the block I/O may wait. Units
  // beyond the reserve may wait only a part of their goal, service time included, so that they leave nodes
  // under pressure to others; while this head's answers show little queueing the limit is relaxed. Cost: too
  // much is sent when others meet a pressure that this head does not see.
  bool fits_wait_limit(const Bio& b, Node& n, double units, double left) const {
    const double own = b.io.units * unit_time_ * headroom_;
    const double fraction = b.wait_fraction + (1 - b.wait_fraction) * headroom_;
    return expected_lag(b, n, units) - own <= fraction * (left - own);
  }

  bool can_meet_goal(const Bio& b, Node& n, double units) const {
    return fits_wait_limit(b, n, units, static_cast<double>(b.goal_at - now_));
  }

  // Prevents head-of-line blocking of tight latency goals by loose ones: a submit can't be taken back, so a
  // request with time left stays queued here until the node's queue is short enough for the tightest goal.
  // Requests queued so do not block others. Cost: loose goals wait longer at nodes that stay full.
  bool may_dispatch(const Bio& b, Node& n) const {
    const double left = std::min(static_cast<double>(b.goal_at - now_), tightest_goal_);
    return fits_wait_limit(b, n, n.load + b.io.units, left);
  }

  // Whether a request is to be sent although it is not expected to meet its goal, because nothing was sent
  // for long. A head that learned in a burst that nothing meets its goal would otherwise shed everything at
  // idle nodes for ever, since no answer would correct it. Cost: one late answer each time.
  bool needs_trial_submit() const { return now_ - last_sent_at_ >= kProbeIntervalUs; }

  // Price-based load shedding: the last gain shed at a node is its price, and requests with a lower gain are
  // shed as they come. Otherwise requests with low gain and a loose goal would all be served while those with
  // high gain and little time are shed. Cost: some requests are shed for a moment after a burst has ended.
  bool is_below_price(const Bio& b, const Node& n) const { return n.load > 0 && b.gain < 0.999 * n.price; }

  // Claims the next probe of an ejected node. Heads probe in different time slots, so that the return of the
  // node does not draw all of them at once.
  bool claim_probe(Node& n) {
    const int slots = std::min(heads_, kMaxProbeSlots);
    if (!is_ejected(n) || now_ - n.probed_at < kProbeIntervalUs ||
        !is_own_slot(kProbeIntervalUs / slots, slots))
      return false;
    n.probed_at = now_;
    return true;
  }

  // Whether any first submit may serve as a probe. A node would stay ejected for ever where no idempotent
  // request comes for it and probes are not allowed; after a common cause that holds for all nodes. A first
  // submit is always safe to send. Cost: one block I/O fails if the node has not recovered.
  bool is_fallback_probe_due(const Node& n) const {
    return !config_.may_probe && is_ejected(n) &&
           now_ - std::max(n.probed_at, n.healthy_at) >= kFallbackProbeIntervalUs;
  }

  // Whether this block I/O is sent to an ejected node as its probe.
  bool claim_probe_with(Node& n, const Bio& b) {
    const bool may = groups_[b.io.group].repeat == RepeatSafety::idempotent ||
                     (b.submit_count == 0 && is_fallback_probe_due(n));
    return may && slow_start_allows(n, b.io.units) && claim_probe(n);
  }

  int node_of_shard(int shard) const {
    return shard < static_cast<int>(node_by_shard_.size()) ? node_by_shard_[shard] : -1;
  }

  // Updates the node of each shard, and the nodes that wait for a fallback probe.
  void update_shard_map() {
    node_by_shard_.assign(node_by_shard_.size(), -1);
    fallback_probe_nodes_.clear();
    for (int i : by_name_) {
      const Node& n = nodes_[i];
      if (n.shard < 0 || n.state != NodeState::ready) continue;
      if (n.shard >= static_cast<int>(node_by_shard_.size())) node_by_shard_.resize(n.shard + 1, -1);
      int& best = node_by_shard_[n.shard];
      if (best < 0 || (is_ejected(nodes_[best]) && !is_ejected(n))) best = i;
      if (is_fallback_probe_due(n)) fallback_probe_nodes_.push_back(i);
    }
  }

  // The ejected node, if any, that a new object is sent to as a fallback probe; -1: none.
  int claim_fallback_probe(const Bio& b) {
    if (b.submit_count > 0) return -1;
    for (int i : fallback_probe_nodes_)
      if (is_fallback_probe_due(nodes_[i]) && claim_probe_with(nodes_[i], b)) return i;
    return -1;
  }

  // The load of a node for placement, in units. It is at least what the node's last answers, or the time
  // without one, mean at an average node's rate: a node loaded by other heads, slowed or paused would look
  // idle by this head's own log. Cost: new objects avoid a node for a moment after one large, slow request.
  double estimated_load(const Node& n) const {
    return std::max(n.load, mean_rate_ * std::max(n.lag, silence(n)));
  }

  bool plan_has_node(int plan, int node) const { return std::ranges::count(quotas_[plan].nodes, node) > 0; }

  int default_node(std::uint64_t object, int plan) {
    plan_nodes_.clear();
    for (int i : by_name_)
      if (plan_has_node(plan, i)) plan_nodes_.push_back(i);
    const std::vector<int>& among = plan_nodes_.empty() ? by_name_ : plan_nodes_;
    return among[object % among.size()];
  }

  // Chooses the node of a new object; -1: none has capacity.
  int choose_node(const Bio& b) {
    // Within a round loads and prices only rise, so a request is rejected at once if one no larger and with
    // no less gain found no capacity. This bounds the time of a round when many new objects are queued.
    const std::size_t size = std::min<std::size_t>(b.io.units, rejected_gain_.size() - 1);
    if (b.gain <= rejected_gain_[size]) return -1;
    candidates_.clear();
    // Nodes that restarted cold look idle: new objects avoid them while a warm node has capacity. The nodes
    // of the plan come first; the others follow while none of those has capacity, because a plan must not
    // leave them idle in a burst.
    for (int pass = quotas_[b.io.plan].nodes.empty() ? 1 : 0; pass < 3 && candidates_.empty(); ++pass)
      for (int i : by_name_) {
        Node& n = nodes_[i];
        if (n.state != NodeState::ready || n.is_blocked) continue;
        if ((pass == 0 && !plan_has_node(b.io.plan, i)) || (pass < 2 && is_cold(n))) continue;
        if (is_excluded(b, i) || is_below_price(b, n) || !has_capacity(n, b.io.units)) continue;
        candidates_.push_back(i);
      }
    if (candidates_.empty()) {
      for (std::size_t u = size; b.submit_count == 0 && u < rejected_gain_.size(); ++u)
        rejected_gain_[u] = std::max(rejected_gain_[u], b.gain);
      return -1;
    }
    const int preferred = default_node(b.io.object, b.io.plan);
    const bool preferred_fits =
        std::find(candidates_.begin(), candidates_.end(), preferred) != candidates_.end();
    std::stable_sort(candidates_.begin(), candidates_.end(),
                     [&](int x, int y) { return nodes_[x].probability > nodes_[y].probability; });
    const auto half = (candidates_.size() + 1) / 2;
    const int one = candidates_[random_() % half];
    const int two = candidates_[random_() % half];
    const int target = estimated_load(nodes_[two]) < estimated_load(nodes_[one]) ? two : one;
    if (!preferred_fits) return target;
    return estimated_load(nodes_[preferred]) - estimated_load(nodes_[target]) >
                   kMoveThresholdRequests * config_.typical_units
               ? target
               : preferred;
  }

  // Refills the token buckets of a volume by this head's part of its rates.
  void refill(Volume& v, const Quota& quota) {
    if (v.refilled_at < 0) {
      v.reserve = quota.reserve + config_.max_units;
      v.share = quota.share;
      v.refilled_at = now_;  // the bucket of a limit starts empty: the use before a start is not known
    }
    const double dt = static_cast<double>(now_ - v.refilled_at) / 1e6;
    v.refilled_at = now_;
    const double keep = std::exp(-dt * 1e6 / kUsageDecayUs);
    v.local_units *= keep;
    v.remote_units *= keep;
    const double prior = config_.typical_units;
    const double part = config_.reports_other_heads || config_.meter_period > 0
                            ? (v.local_units + prior) / (v.local_units + v.remote_units + prior * v.heads)
                            : std::pow(v.heads, -kUnknownUsageExponent);
    v.reserve = std::min(v.reserve + quota.reserve * part * dt, quota.reserve * part + config_.max_units);
    v.share = std::min(v.share + quota.share * part * dt, quota.share * part);
    v.limit = std::min(v.limit + quota.limit / v.heads * dt, quota.burst / v.heads);
  }

  // Takes the units of a block I/O from its volume's reserve and share, and derives its gain and wait limit.
  void charge_quota(Bio& b, bool late) {
    Volume& v = volumes_[b.io.volume];
    const Quota& quota = quotas_[b.io.plan];
    v.heads = std::max(v.heads, b.io.heads);
    refill(v, quota);
    const double units = b.io.units;
    b.reserve_units = quota.reserve > 0 ? std::clamp(v.reserve, 0.0, units) : 0;
    b.share_units = std::clamp(v.share, 0.0, units - b.reserve_units);
    v.reserve -= b.reserve_units;
    v.share -= b.share_units;
    const double excess = units - b.reserve_units - b.share_units;
    b.gain =
        groups_[b.io.group].unit_gain * quota.gain_factor / units *
        (b.reserve_units + b.share_units * config_.share_gain_factor + excess * config_.excess_gain_factor);
    b.wait_fraction =
        (b.reserve_units + b.share_units * kShareWaitFraction + excess * kExcessWaitFraction) / units;
    if (late) {
      b.gain *= groups_[b.io.group].late_gain_factor;
      b.wait_fraction = kExcessWaitFraction;
    }
  }

  // Returns the units of a block I/O that was not served in time to its volume.
  void refund_quota(Bio& b) {
    Volume& v = volumes_[b.io.volume];
    v.reserve += b.reserve_units;
    v.share += b.share_units;
    b.reserve_units = b.share_units = 0;
  }

  // The first `count` submits in the form that the safety checks take.
  struct EarlierAttempts {
    std::array<permits::Attempt, kMaxSubmits> all;
    int count;
    operator std::span<const permits::Attempt>() const {
      return {all.data(), static_cast<std::size_t>(count)};
    }
  };

  EarlierAttempts earlier_attempts(const Bio& b, int count) const {
    EarlierAttempts e{{}, count};
    for (int i = 0; i < count; ++i) {
      const Submit& s = b.submits[i];
      e.all[i] = {s.sent_at, nodes_[s.node].zone, nodes_[s.node].shard, s.in_flight, s.may_have_run};
    }
    return e;
  }

  permits::Target target(int node) const {
    return {nodes_[node].state, nodes_[node].zone, nodes_[node].shard};
  }

  bool no_effect_possible(const Bio& b) const {
    for (int i = 0; i < b.submit_count; ++i)
      if (b.submits[i].in_flight || b.submits[i].may_have_run) return false;
    return true;
  }

  bool may_shed(const Bio& b) const {
    return permits::may_refuse(groups_[b.io.group], earlier_attempts(b, b.submit_count));
  }

  // Whether the block I/O must not be sent to this node. A new object is not sent again to a node that turned
  // it away, even if that node still ranks well.
  bool is_excluded(const Bio& b, int node) const {
    if (b.submit_count >= max_submits_ || b.in_flight > 0) return true;
    if (b.submit_count == 0) return false;
    for (int i = 0; i < b.submit_count; ++i)
      if (b.io.shard < 0 && b.submits[i].node == node) return true;
    const Group& g = groups_[b.io.group];
    return permits::may_repeat(g, earlier_attempts(b, b.submit_count), target(node), now_) !=
           DenialReason::none;
  }

  DenialReason may_begin(std::uint64_t id, int submit) const {
    const int at = index_.find(id);
    if (at < 0 || bios_[at].is_over || submit >= bios_[at].submit_count) return DenialReason::request_over;
    const Bio& b = bios_[at];
    return permits::may_begin(groups_[b.io.group], earlier_attempts(b, submit),
                              target(b.submits[submit].node), now_, b.io.give_up_at);
  }

  // Whether the retry tokens and, where one is configured, the retry budget allow a further submit.
  bool is_retry_allowed() {
    if (config_.retry_budget_window < 0) return retry_tokens_ >= 1;
    const double allowed =
        config_.retry_budget_base +
        config_.retry_budget_ratio * request_times_.count_since(now_ - config_.retry_budget_window);
    return retry_tokens_ >= 1 &&
           retry_times_.count_since(now_ - config_.retry_budget_window + 1) + 1 <= allowed;
  }

  bool is_first_of_key(const Bio& b) {
    if (!groups_[b.io.group].keeps_order || b.io.object == 0) return true;
    const KeyQueue& queue = key_queues_[b.io.object];
    return queue.first >= 0 && &bios_[queue.first] == &b &&
           (b.submit_count > 0 || now_ >= queue.blocked_until);
  }

  bool is_within_rate_limit(const Bio& b) {
    const Quota& quota = quotas_[b.io.plan];
    if (quota.limit <= 0 || b.is_charged) return true;
    Volume& v = volumes_[b.io.volume];
    refill(v, quota);
    return v.limit >= b.io.units;
  }

  void send(Bio& b, int node) {
    if (needs_trial_submit()) unit_time_step_ = kInitialQuantileStep;
    last_sent_at_ = now_;
    Submit& s = b.submits[b.submit_count++];
    s = {.node = node,
         .sent_at = now_,
         .load = nodes_[node].load + b.io.units,
         .in_flight = true,
         .may_have_run = false,
         .is_retry = b.submit_count > 1};
    ++b.in_flight;
    b.is_queued = false;
    b.on_result = &Scheduler::handle_result;
    if (s.is_retry) {
      retry_tokens_ -= 1;
      if (config_.retry_budget_window >= 0) retry_times_.add(now_, now_ - config_.retry_budget_window);
    }
    if (quotas_[b.io.plan].limit > 0 && !b.is_charged) volumes_[b.io.volume].limit -= b.io.units;
    b.is_charged = true;
    add_load(nodes_[node], b.io.units);
    environment_.submit(b.io.id, node, std::max<Micros>(b.io.give_up_at - now_, 1));
  }

  void add_to_queue(int at) {
    bios_[at].is_queued = true;
    newly_queued_.push_back(at);
  }

  void handle_result(Bio& b, const SubmitOutcome& outcome) {
    if (outcome.over) return finish(b, outcome.result == Result::ended && now_ <= b.goal_at);
    // Retries if the submit surely had no effect or the request may be repeated, the goal can still be met,
    // and the retry budget allows it.
    if (b.submit_count < max_submits_ && now_ < b.goal_at && is_retry_allowed() &&
        (no_effect_possible(b) || groups_[b.io.group].repeat != RepeatSafety::side_effecting)) {
      b.not_before = b.io.shard < 0 ? now_ : now_ + tightest_goal_ / 8;
      return add_to_queue(static_cast<int>(&b - &bios_[0]));
    }
    reject(b, RejectionReason::no_further);
  }

  void ignore_result(Bio&, const SubmitOutcome&) {}

  void finish(Bio& b, bool in_time) {
    if (!in_time) refund_quota(b);
    b.is_over = true;
    b.is_queued = false;
    b.on_result = &Scheduler::ignore_result;
    finished_.push_back(static_cast<int>(&b - &bios_[0]));
  }

  // Sheds the block I/O where that is a safe answer, or fails it.
  void reject(Bio& b, RejectionReason why) {
    const Micros advice =
        config_.may_advise_retry ? std::min<Micros>(config_.max_retry_advice, tightest_goal_) : 0;
    if (may_shed(b))
      environment_.shed(b.io.id, advice, why);
    else
      environment_.fail(b.io.id, why);
    finish(b, false);
  }

  // Releases the slot of a block I/O that is over and has no submit in flight.
  void release_if_done(int at) {
    Bio& b = bios_[at];
    if (!b.is_active || !b.is_over || b.in_flight > 0) return;
    if (groups_[b.io.group].keeps_order && b.io.object != 0) {
      KeyQueue& queue = key_queues_[b.io.object];
      unlink(bios_, queue, at);
      if (queue.first < 0 && !queue.is_expiring) {
        queue.is_expiring = true;
        empty_key_queues_.push_back({queue.blocked_until, b.io.object});
      }
    }
    --volumes_[b.io.volume].active;
    index_.erase(b.io.id);
    b.is_active = false;
    active_.erase(at);
    bios_.release(at);
  }

  void update_node_list(ListKind kind, std::span<const NodeEntry> entries);
  void update_plans(std::span<const Plan> plans);
  bool forget_node(int node);
  bool forget_volume(int volume);
  bool forget_idle_volume(int volume);
  void enqueue(const BlockIo& io);
  void on_submit_result(const SubmitOutcome& outcome);
  void run();
  void tick();
  void remove_expired_key_queues();
  void poll_list();

  const Provisioning config_;
  HeadEnvironment& environment_;
  Micros now_;
  std::ranlux24_base random_;
  std::vector<Group> groups_;
  std::vector<Quota> quotas_;  // by plan
  int heads_;
  int max_submits_;
  double tightest_goal_ = 0;  // microseconds
  double cold_speed_factor_;
  double mean_rate_ = 0;  // units a microsecond of a node
  double unit_time_ = 0;  // microseconds without queueing, as a quantile
  double unit_time_step_ = kInitialQuantileStep;
  double wait_ = 0;  // moving average over all nodes, microseconds
  double headroom_ = 1;
  double reach_ = 1;            // part of the nodes that this head uses within an overload window
  double recent_requests_ = 0;  // decayed number of requests that came here
  double retry_success_ = 0.5;  // moving average
  double retry_tokens_ = 1;
  Micros list_poll_at_ = 0;
  Micros resumed_at_ = 0;  // after the last stall of this process
  Micros last_sent_at_ = 0;
  Slab<Bio> bios_;
  std::uint64_t round_ = 1;
  IdMap index_;
  std::vector<Node> nodes_;
  std::vector<int> by_name_;  // listed nodes
  std::vector<int> candidates_;
  std::vector<int> plan_nodes_;
  std::vector<int> newly_queued_;
  std::vector<int> finished_;
  std::vector<int> node_by_shard_;
  std::vector<int> fallback_probe_nodes_;
  SortedIndexes queue_;  // by the end of the latency goal
  IndexSet active_;
  std::vector<double> rejected_gain_;  // by units: the highest gain that found no capacity in this round
  std::vector<Volume> volumes_;
  std::vector<FailedLoad> failed_load_;
  RecentTimestamps request_times_{kMaxCountedRequests};
  RecentTimestamps retry_times_{SIZE_MAX};  // bounded by the retry budget
  std::unordered_map<std::uint64_t, KeyQueue> key_queues_;
  std::deque<std::pair<Micros, std::uint64_t>> empty_key_queues_;  // to remove once they are not blocked
};

Head::Scheduler::Scheduler(const Provisioning& given, HeadEnvironment& environment, Micros now)
    : config_(given),
      environment_(environment),
      now_(now),
      random_(static_cast<std::uint32_t>(given.seed ^ (given.seed >> 32))),
      heads_(std::max(1, given.heads)),
      max_submits_(std::min(given.max_submits, kMaxSubmits)),
      cold_speed_factor_(std::max(given.cold_speed_factor, 0.01)) {
  for (const IoGroup& g : given.groups) {
    groups_.push_back({g, g.gain / given.typical_units});
    const double goal = static_cast<double>(g.latency_goal);
    tightest_goal_ = tightest_goal_ == 0 ? goal : std::min(tightest_goal_, goal);
  }
  update_plans(given.plans);
  rejected_gain_.resize(static_cast<std::size_t>(std::clamp(config_.max_units, 1.0, 1024.0)) + 2);
  if (config_.polls_list) poll_list();
  environment_.set_timer(0, kTickUs);
}

void Head::Scheduler::update_plans(std::span<const Plan> plans) {
  double nominal = 0;
  double weights = 0;
  for (const Plan& p : plans) {
    nominal += p.nominal;
    weights += p.weight;
  }
  quotas_.clear();
  for (const Plan& p : plans) quotas_.push_back({p, kShareOversubscription * nominal * p.weight / weights});
}

// Renews the subscription to the node list. A subscription is cheap; the poll after a time without changes
// finds one that broke unnoticed.
void Head::Scheduler::poll_list() {
  environment_.watch_list();
  list_poll_at_ = now_ + config_.list_poll_interval * 3 / 4 + static_cast<Micros>(random_() % 500'000);
}

void Head::Scheduler::update_node_list(ListKind kind, std::span<const NodeEntry> entries) {
  if (kind == ListKind::failed) {
    list_poll_at_ = std::min(
        list_poll_at_, now_ + config_.list_poll_interval / 20 + static_cast<Micros>(random_() % 300'000));
    return;
  }
  if (kind != ListKind::delta)
    for (Node& n : nodes_) {
      n.is_listed = false;
      n.state = NodeState::gone;
    }
  for (const NodeEntry& e : entries) {
    if (e.node >= static_cast<int>(nodes_.size())) nodes_.resize(e.node + 1);
    Node& n = nodes_[e.node];
    if (n.name.empty()) n.name = e.name;
    if (n.demand < 0) n.demand = reach_;  // a new node is assumed to be used as much as the others
    // The node has restarted: discard what was learned about its previous run.
    if (e.up_since > n.up_since && n.up_since + n.answered_at > 0) {
      n.served = n.busy = n.lag = n.wait = 0;
      n.fit = {};
      n.completed_units = {};
      n.failures = 0;
      n.is_silent = false;
    }
    n.up_since = e.up_since;
    n.state = e.state;
    n.is_listed = e.state != NodeState::gone;
    n.shard = e.shard;
    n.zone = e.zone;
    n.size = config_.has_node_sizes && e.share > 0 ? e.share : 1;
  }
  by_name_.clear();
  double sizes = 0;
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i)
    if (nodes_[i].is_listed) {
      by_name_.push_back(i);
      sizes += nodes_[i].size;
    }
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

void Head::Scheduler::enqueue(const BlockIo& io) {
  const int at = bios_.allocate();
  Bio& b = bios_[at];
  active_.insert(at);
  b.io = io;
  b.is_active = true;
  b.on_result = &Scheduler::handle_result;
  index_.insert(io.id, at);
  recent_requests_ += 1;
  const Group& g = groups_[io.group];
  const double stretch = mean_rate_ > 0 ? g.goal_service_multiple * io.units / mean_rate_ : 0;
  // The goal counts from when the client's time began, which is a hard limit before its deadline: a retry, or
  // a stall of this process, does not start it anew. The queue is checked once a tick, so one tick is kept
  // back for the answer to arrive before the deadline.
  const Micros began = std::min(now_, io.give_up_at - g.hard_limit);
  b.goal_at = std::min(began + g.latency_goal + static_cast<Micros>(stretch), io.give_up_at - kTickUs);
  const bool late = b.goal_at <= now_ + kTickUs;
  if (late) b.goal_at = std::min(now_ + g.latency_goal, io.give_up_at - kTickUs);
  if (io.volume >= static_cast<int>(volumes_.size())) volumes_.resize(io.volume + 1);
  ++volumes_[io.volume].active;
  charge_quota(b, late);
  retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetryTokensPerRequest * retry_success_);
  if (config_.retry_budget_window >= 0) request_times_.add(now_, now_ - config_.retry_budget_window);
  if (g.keeps_order && io.object != 0) {
    const auto [entry, is_new] = key_queues_.try_emplace(io.object);
    link_last(bios_, entry->second, at);
    if (is_new && key_queues_.size() > config_.max_ordered_keys)
      return reject(b, RejectionReason::crowded_out);
  }
  add_to_queue(at);
}

void Head::Scheduler::on_submit_result(const SubmitOutcome& outcome) {
  const int at = index_.find(outcome.id);
  if (at < 0) return;
  Bio& b = bios_[at];
  if (outcome.submit < 0 || outcome.submit >= b.submit_count || !b.submits[outcome.submit].in_flight) return;
  Submit& s = b.submits[outcome.submit];
  Node& n = nodes_[s.node];
  update_busy_time(n);
  s.in_flight = false;
  --b.in_flight;
  --n.in_flight;
  const bool is_answer = outcome.result == Result::ended || outcome.result == Result::error ||
                         outcome.result == Result::turned_away;
  s.may_have_run = outcome.result != Result::turned_away && outcome.result != Result::no_connection &&
                   outcome.result != Result::not_sent;
  if (is_answer) n.answered_at = now_;
  const double counted = s.presumed_lost ? 0 : b.io.units;
  if (outcome.result == Result::ended) {
    n.served += b.io.units;
    n.completed_units.add(now_, config_.overload_window, b.io.units);
    n.failures = 0;
    n.is_silent = false;
    if (now_ != resumed_at_) record_lag(n, s, static_cast<double>(outcome.lag), b.io.units);
    remove_load(n, counted);
  } else if (outcome.result == Result::not_sent || outcome.result == Result::called_off) {
    if (outcome.result == Result::not_sent && b.is_charged && no_effect_possible(b) &&
        quotas_[b.io.plan].limit > 0) {
      volumes_[b.io.volume].limit += b.io.units;
      b.is_charged = false;
    }
    remove_load(n, counted);
  } else {
    // The units of a failed submit count as load for as long as a good answer may take. A node that fails
    // quickly, has a full queue or refuses connections would otherwise look the least loaded and draw
    // requests.
    if (outcome.result != Result::turned_away) ++n.failures;
    failed_load_.push_back(
        {std::max(now_, s.sent_at + static_cast<Micros>(tightest_goal_)), s.node, counted});
  }
  if (s.is_retry)
    retry_success_ +=
        0.1 * ((outcome.result == Result::ended && now_ <= b.goal_at ? 1.0 : 0.0) - retry_success_);
  retry_success_ = std::max(retry_success_, 0.05);
  Volume& v = volumes_[b.io.volume];
  if (is_answer) {
    refill(v, quotas_[b.io.plan]);
    if (outcome.result == Result::ended) v.local_units += b.io.units;
    v.remote_units += outcome.from_others;
    // Where nodes report only the use over all heads, the other heads' part is what exceeds this head's own.
    if (config_.meter_period > 0 && !config_.reports_other_heads && outcome.volume_use > 0) {
      const double all = (outcome.volume_use - 1) / 100.0 * quotas_[b.io.plan].nominal * kUsageDecayUs / 1e6;
      v.remote_units = std::max(0.0, all - v.local_units);
    }
  }
  if (groups_[b.io.group].keeps_order && b.io.object != 0 && s.may_have_run && !is_answer) {
    KeyQueue& queue = key_queues_[b.io.object];
    queue.blocked_until = std::max(queue.blocked_until, now_ + config_.order_gap);
  }
  (this->*b.on_result)(b, outcome);
  release_if_done(at);
}

// Goes through the queue, earliest latency goal first: each request is sent, stays queued, or is shed in
// favour of one with more gain.
void Head::Scheduler::run() {
  ++round_;
  for (Node& n : nodes_) {
    update_busy_time(n);
    n.planned_load = n.load;
    n.is_blocked = false;
    n.waiting.clear();
  }
  queue_.merge(newly_queued_, [&](int x, int y) { return bios_[x].goal_at < bios_[y].goal_at; });
  update_shard_map();
  std::fill(rejected_gain_.begin(), rejected_gain_.end(), -1.0);
  int sequence = 0;
  for (int at : queue_) {
    Bio& b = bios_[at];
    if (!b.is_queued || b.is_over) continue;
    int node = b.io.shard >= 0 ? node_of_shard(b.io.shard) : -1;
    if (node >= 0) nodes_[node].demanded_at = now_;
    const bool below_price = node >= 0 && is_below_price(b, nodes_[node]);
    if (now_ >= b.goal_at || (b.submit_count == 0 && below_price)) {
      reject(b, now_ >= b.goal_at ? RejectionReason::goal_passed : RejectionReason::priced_out);
      continue;
    }
    const bool ready = now_ >= b.not_before && is_first_of_key(b) && is_within_rate_limit(b) &&
                       (b.submit_count == 0 || is_retry_allowed());
    if (b.io.shard < 0) {
      if (const int ejected = ready && !fallback_probe_nodes_.empty() ? claim_fallback_probe(b) : -1;
          ejected >= 0) {
        send(b, ejected);
        continue;
      }
      node = choose_node(b);
    }
    if (ready && node >= 0 && !nodes_[node].is_blocked && !is_excluded(b, node)) {
      Node& n = nodes_[node];
      const bool fits = has_capacity(n, b.io.units);
      const bool dispatch = may_dispatch(b, n);
      if ((fits && (dispatch || needs_trial_submit())) || claim_probe_with(n, b)) {
        send(b, node);
        n.planned_load = std::max(n.planned_load, n.load);
        continue;
      }
      // It waits for a shorter queue at the node and does not block others.
      if (fits && can_meet_goal(b, n, n.planned_load + b.io.units)) continue;
    }
    if (node < 0 && b.io.shard < 0 && !by_name_.empty()) node = default_node(b.io.object, b.io.plan);
    if (node < 0) continue;
    Node& n = nodes_[node];
    if (b.io.shard >= 0) n.is_blocked = true;
    n.planned_load += b.io.units;
    n.waiting.add(b.gain, sequence++, at);
    if (can_meet_goal(b, n, n.planned_load)) continue;
    // Under overload the request with the least gain is shed, of those queued for this node so far.
    while (!bios_[n.waiting.least().at].is_queued) n.waiting.drop_least();
    const int least = n.waiting.least().gain < b.gain ? n.waiting.least().at : at;
    n.planned_load -= bios_[least].io.units;
    // The price rises only if the node is too full for a whole latency goal, not if this request came with
    // little time left.
    const Bio& shed = bios_[least];
    if (!fits_wait_limit(shed, n, n.planned_load + shed.io.units,
                         static_cast<double>(groups_[shed.io.group].latency_goal)))
      n.price = std::max(n.price, shed.gain);
    reject(bios_[least], RejectionReason::crowded_out);
  }
  queue_.keep_if([&](int at) { return bios_[at].is_queued; });
  for (int at : finished_) release_if_done(at);
  finished_.clear();
}

// The index of a node that has gone may be reused once no active block I/O refers to it.
bool Head::Scheduler::forget_node(int node) {
  if (node >= static_cast<int>(nodes_.size())) return true;
  Node& n = nodes_[node];
  if (n.is_listed || n.in_flight > 0) return false;
  for (const FailedLoad& l : failed_load_)
    if (l.node == node) return false;
  for (int at : active_)
    for (int i = 0; i < bios_[at].submit_count; ++i)
      if (bios_[at].submits[i].node == node) return false;
  n = Node{};
  return true;
}

bool Head::Scheduler::forget_volume(int volume) {
  const bool is_known = volume < static_cast<int>(volumes_.size());
  if (is_known && volumes_[volume].refilled_at >= 0 && now_ - volumes_[volume].refilled_at < kVolumeIdleUs)
    return false;
  return forget_idle_volume(volume);
}

// A volume that comes again starts with an empty bucket of its limit, so that it never passes the limit.
bool Head::Scheduler::forget_idle_volume(int volume) {
  if (volume >= static_cast<int>(volumes_.size())) return true;
  if (volumes_[volume].active > 0) return false;
  volumes_[volume] = Volume{};
  return true;
}

// Removes the queues of keys that are empty and no longer blocked.
void Head::Scheduler::remove_expired_key_queues() {
  while (!empty_key_queues_.empty() && empty_key_queues_.front().first <= now_) {
    const std::uint64_t key = empty_key_queues_.front().second;
    empty_key_queues_.pop_front();
    const auto entry = key_queues_.find(key);
    if (entry == key_queues_.end()) continue;
    KeyQueue& queue = entry->second;
    queue.is_expiring = false;
    if (queue.first >= 0) continue;
    if (now_ >= queue.blocked_until) {
      key_queues_.erase(entry);
    } else {
      queue.is_expiring = true;
      empty_key_queues_.push_back({queue.blocked_until, key});
    }
  }
}

// Periodic work: decays estimates, detects silent nodes and lost submits, probes, and enforces deadlines.
void Head::Scheduler::tick() {
  environment_.set_timer(0, kTickUs);
  if (config_.polls_list && now_ >= list_poll_at_) poll_list();
  std::erase_if(failed_load_, [&](const FailedLoad& l) {
    if (l.until <= now_) remove_load(nodes_[l.node], l.units);
    return l.until <= now_;
  });
  double served = 0;
  double busy = 0;
  double used = 0;
  const double usage_step = kTickUs / (2.0 * config_.overload_window);
  for (Node& n : nodes_) {
    n.oldest_sent_at = 0;
    const bool demanded = n.demanded_at >= 0 && now_ - n.demanded_at < config_.overload_window;
    n.demand += ((demanded ? 1.0 : 0.0) - n.demand) * usage_step;
    if (!is_ejected(n)) n.healthy_at = now_;
    used += n.sent_units.sum(now_, config_.overload_window) > 0;
    n.price *= std::exp(-static_cast<double>(kTickUs) / (kPriceDecayGoals * tightest_goal_));
    served += n.served;
    busy += n.busy;
  }
  if (busy > 0) mean_rate_ = served / busy;
  const double used_part = used / std::max<double>(1, node_count());
  reach_ += (std::min(1.0, used_part) - reach_) * usage_step;
  recent_requests_ -= recent_requests_ * usage_step;
  remove_expired_key_queues();
  for (int at : active_) {
    Bio& b = bios_[at];
    for (int i = 0; i < b.submit_count; ++i) {
      Submit& s = b.submits[i];
      Node& n = nodes_[s.node];
      if (!s.in_flight) continue;
      if (s.sent_at >= n.answered_at)
        n.oldest_sent_at = n.oldest_sent_at == 0 ? s.sent_at : std::min(n.oldest_sent_at, s.sent_at);
      // A submit that the node's later answers have long overtaken no longer counts as load: it or its answer
      // was lost, in a cut connection or a restart, and would fill the load cap for ever. Cost: a very large
      // request that is still running may be taken for lost.
      if (s.presumed_lost || n.answered_at < s.sent_at + static_cast<Micros>(silence_timeout(n))) continue;
      s.presumed_lost = true;
      remove_load(n, b.io.units);
    }
    if (!b.is_over && !b.is_streaming && now_ >= b.io.give_up_at) reject(b, RejectionReason::time_over);
  }
  // Ejects nodes that take submits and answer none: hung, vanished or cut off.
  for (Node& n : nodes_) {
    if (silence(n) > silence_timeout(n)) n.is_silent = true;
    if (n.is_listed && n.state != NodeState::gone && config_.may_probe && claim_probe(n))
      environment_.probe(static_cast<int>(&n - &nodes_[0]));
  }
}

Head::Head(const Provisioning& given, HeadEnvironment& environment, Micros now)
    : scheduler_(std::make_unique<Scheduler>(given, environment, now)) {}
Head::~Head() = default;
// A timer fires every tick, so a longer gap means that this process was stalled: the lags of the answers that
// come first after it are not counted against the nodes. Cost: some lags are lost where ticks are often late.
void Head::set_time(Micros now) {
  if (now - scheduler_->now_ > kStallGapUs) scheduler_->resumed_at_ = now;
  scheduler_->now_ = now;
}
void Head::update_node_list(ListKind kind, std::span<const NodeEntry> entries) {
  scheduler_->update_node_list(kind, entries);
}
void Head::update_plans(std::span<const Plan> plans) { scheduler_->update_plans(plans); }
void Head::enqueue(const BlockIo& bio) { scheduler_->enqueue(bio); }
void Head::on_submit_result(const SubmitOutcome& outcome) { scheduler_->on_submit_result(outcome); }
void Head::on_timer(std::uint64_t) { scheduler_->tick(); }
void Head::run_scheduler() { scheduler_->run(); }
int Head::default_node(std::uint64_t object, int plan) const {
  return scheduler_->by_name_.empty() ? -1 : scheduler_->default_node(object, plan);
}
bool Head::forget_node(int node) { return scheduler_->forget_node(node); }
bool Head::forget_volume(int volume) { return scheduler_->forget_volume(volume); }
bool Head::forget_idle_volume(int volume) { return scheduler_->forget_idle_volume(volume); }
std::size_t Head::request_bytes() { return sizeof(Scheduler::Bio); }

Head::Footprint Head::footprint() const {
  const Scheduler& s = *scheduler_;
  const std::size_t timestamps =
      s.request_times_.size() + s.retry_times_.size() + s.failed_load_.size() + s.empty_key_queues_.size();
  return {s.active_.size(),     s.queue_.size(), s.nodes_.size(), s.volumes_.size(),
          s.key_queues_.size(), timestamps,      s.headroom_};
}

DenialReason Head::may_begin(std::uint64_t id, int submit) const { return scheduler_->may_begin(id, submit); }

void Head::on_stream_started(std::uint64_t id, int) {
  if (const int at = scheduler_->index_.find(id); at >= 0) scheduler_->bios_[at].is_streaming = true;
}

void Head::on_client_disconnected(std::uint64_t id) {
  const int at = scheduler_->index_.find(id);
  if (at >= 0 && !scheduler_->bios_[at].is_over) scheduler_->finish(scheduler_->bios_[at], false);
}

void Head::end_early(std::uint64_t id) {
  const int at = scheduler_->index_.find(id);
  if (at >= 0 && !scheduler_->bios_[at].is_over)
    scheduler_->reject(scheduler_->bios_[at], RejectionReason::blocks_others);
}

void Head::on_probe_result(int node, Result result, Micros, const LoadReport&) {
  if (node >= static_cast<int>(scheduler_->nodes_.size())) return;
  Scheduler::Node& n = scheduler_->nodes_[node];
  if (result != Result::ended) return;
  n.answered_at = scheduler_->now_;
  n.failures = 0;
  n.is_silent = false;
}

}  // namespace yewmount
