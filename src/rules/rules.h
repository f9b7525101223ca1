// The interface of the decision module (rules.cpp): no wire, no decision, no figure of its own.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace yewmount {

using Micros = std::int64_t;

enum class Repeat : std::uint8_t { idempotent, fingerprinted, side_effecting };
enum class Scope : std::uint8_t { all, zone, cell };
enum class NodeState : std::uint8_t { gone, ready, draining };
enum class ListKind : std::uint8_t { delta, full, cached, failed };
enum class Result : std::uint8_t {
  ended,
  error,
  turned_away,
  no_answer,
  no_connection,
  lost,
  called_off,
  not_sent
};

// Why an attempt may not begin now.
enum class Denial : std::uint8_t {
  none,
  request_over,     // answered already, or its client has gone
  node_not_ready,   // it drains or is gone
  time_over,        // the client has no time left
  effect_possible,  // an earlier attempt may have run, and the class may not be repeated
  memory_over,      // the nodes may have forgotten the earlier attempt
  outside_scope     // this node would not recognise the repeat
};
inline constexpr std::array<std::string_view, 7> kDenials = {
    "none", "request_over", "node_not_ready", "time_over", "effect_possible", "memory_over", "outside_scope"};

// Why a block I/O is shed or failed.
enum class GiveUp : std::uint8_t {
  goal_passed,  // no submit could be in time any more
  priced_out,   // it earns less than its node's price
  crowded_out,  // of those that wait at its node it earns least
  time_over,    // its client's time is up
  no_further    // its submits failed and none may follow
};
inline constexpr std::array<std::string_view, 5> kGiveUps = {"goal_passed", "priced_out", "crowded_out",
                                                             "time_over", "no_further"};

inline constexpr std::array<std::string_view, 3> kNodeStates = {"gone", "ready", "draining"};
inline constexpr std::array<std::string_view, 8> kResults = {
    "ended", "error", "turned_away", "no_answer", "no_connection", "lost", "called_off", "not_sent"};

struct IoGroup {
  Micros latency_goal, hard_limit, memory_span;
  double goal_stretch, gain, late_part;
  Repeat repeat;
  Scope scope;
  bool streams, keeps_order;
};

struct Plan {
  double limit, burst, slack;  // units a second, units, units; limit 0: none
  double nominal, reserve, weight, gain_factor;
  std::vector<int> nodes = {};  // where new objects go while one of them can take them; empty: anywhere
};

// What a head is handed when it starts. Absent budgets and rests are negative.
struct Provisioning {
  std::uint64_t seed;
  int heads, own_number;
  std::vector<IoGroup> groups;
  std::vector<Plan> plans;
  double cold_bears, usual_units, most_units, share_gain, beyond_gain;
  Micros meter_period;
  bool tells_elsewhere, list_asked, sizes_told;
  bool may_copy, may_cancel, may_probe, takes_advice;
  int most_submits;
  Micros longest_advice, answer_slack, ask_every;
  double cold_from, fall_multiple;
  Micros warm_within, overload_for, turn_rest;
  double budget_spare, budget_share;
  Micros budget_span;
};

struct NodeEntry {
  int node;               // small index, the same for one name as long as the head lives
  std::string_view name;  // only its order among the names counts
  NodeState state;
  int shard, zone;
  double share;
  Micros up_since;  // 0: long ago
};

struct BlockIo {
  std::uint64_t id, object;  // object: stable hash of the key, 0: none
  Micros give_up_at;
  int group, plan, volume, shard;  // shard -1: a new object
  int units, heads;
};

// Values a node may tell of itself; negative: not told.
struct LoadReport {
  double outstanding = -1, backlog = -1, utilization = -1;
  Micros recent = -1;
};

struct Answer {
  std::uint64_t id;
  int submit, node;
  Result result;
  bool over;
  Micros lag;
  int volume_use, from_others;
  LoadReport report;
};

// What a head asks of its surroundings; called from within Head's functions.
class Surroundings {
 public:
  virtual ~Surroundings() = default;
  virtual void submit(std::uint64_t id, int node, Micros try_for) = 0;
  virtual void shed(std::uint64_t id, Micros come_back_after, GiveUp why) = 0;
  virtual void fail(std::uint64_t id, GiveUp why) = 0;
  virtual void cancel(std::uint64_t id, int submit) = 0;
  virtual void wake(std::uint64_t token, Micros from_now) = 0;
  virtual void fetch_list() = 0;
  virtual void watch_list() = 0;
  virtual void probe(int node) = 0;
  virtual void note(std::string_view text) = 0;
};

class Head {
 public:
  Head(const Provisioning& given, Surroundings& out, Micros now);
  ~Head();
  void at(Micros now);  // the clock, before the calls of that moment
  void listed(ListKind kind, std::span<const NodeEntry> entries);
  // Other plans while it serves. A plan's index keeps its meaning; there are never fewer of them.
  void planned(std::span<const Plan> plans);
  void take(const BlockIo& bio);
  // Asked again as the first byte of a submit is about to leave: what held when it was decided may not hold
  // any more. A denied submit ends as Result::not_sent.
  Denial may_begin(std::uint64_t id, int submit) const;
  void stream_started(std::uint64_t id, int submit);
  void answered(const Answer& answer);
  void probed(int node, Result result, Micros lag, const LoadReport& report);
  void client_left(std::uint64_t id);
  void woke(std::uint64_t token);
  // Whether a small index may now stand for another name: a node gone from the list that nothing in hand has
  // been sent to, a volume long unused. What was learned of it is dropped.
  bool forget_node(int node);
  bool forget_volume(int volume);
  // A new object's default node under the present list and plan; -1: none.
  int home(std::uint64_t object, int plan) const;
  struct Footprint {
    std::size_t in_hand, held, nodes, volumes, lines, marks;
    double calm;  // 1: answers show no wait; towards 0: they do
  };
  Footprint footprint() const;  // what is kept in memory, counted
  void settle();                // once after the calls of one moment: this is where the held ones leave

 private:
  class Desk;
  std::unique_ptr<Desk> desk_;
};

}  // namespace yewmount
