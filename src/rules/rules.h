// Public interface of the scheduler that decides routing, admission, retries and node health for one head.
// It does no I/O: callers pass events in, and the scheduler acts through HeadEnvironment.
#pragma once
#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace yewmount {

// Microseconds; instants are on the caller's monotonic clock.
using Micros = std::int64_t;

// Whether a request may be executed again after an attempt that may have had an effect.
enum class RepeatSafety : std::uint8_t {
  idempotent,     // always
  fingerprinted,  // while a node still remembers the fingerprint of the first attempt
  side_effecting  // never
};
// The nodes that recognise the fingerprint of an earlier attempt: all, those of its zone, or its shard's.
enum class DedupScope : std::uint8_t { all, zone, cell };
enum class NodeState : std::uint8_t { gone, ready, draining };
// How a node list was obtained: changed entries, a complete list, a complete list from a local copy, or not.
enum class ListKind : std::uint8_t { delta, full, cached, failed };
// How a submit ended.
enum class Result : std::uint8_t {
  ended,          // completed successfully
  error,          // the node answered with an error
  turned_away,    // the node refused it without running it
  no_answer,      // timed out
  no_connection,  // never reached the node
  lost,           // the connection broke before the answer
  called_off,     // cancelled by this head
  not_sent        // denied as its first byte was about to be sent
};

// Why a submit may not begin now.
enum class DenialReason : std::uint8_t {
  none,
  request_over,     // the request has its final answer, or its client has disconnected
  node_not_ready,   // the node is draining or gone
  time_over,        // the client's deadline has passed
  effect_possible,  // an earlier submit may have run, and the I/O group forbids a repeat
  memory_over,      // the nodes may have forgotten the fingerprint of the earlier submit
  outside_scope     // this node would not recognise the repeat
};
inline constexpr std::array<std::string_view, 7> kDenialReasonNames = {
    "none", "request_over", "node_not_ready", "time_over", "effect_possible", "memory_over", "outside_scope"};

// Why a block I/O is shed or failed.
enum class RejectionReason : std::uint8_t {
  goal_passed,   // its latency goal has passed while it was queued
  priced_out,    // its gain is below the shedding price of its node
  crowded_out,   // it had the least gain of the requests queued for an overloaded node
  time_over,     // the client's deadline has passed
  no_further,    // its submits failed and it may not be retried
  blocks_others  // the answers of later requests wait for it and need too much memory
};
inline constexpr std::array<std::string_view, 6> kRejectionReasonNames = {
    "goal_passed", "priced_out", "crowded_out", "time_over", "no_further", "blocks_others"};

inline constexpr std::array<std::string_view, 3> kNodeStateNames = {"gone", "ready", "draining"};
inline constexpr std::array<std::string_view, 8> kResultNames = {
    "ended", "error", "turned_away", "no_answer", "no_connection", "lost", "called_off", "not_sent"};

// The objectives that block I/Os of one kind share.
struct IoGroup {
  Micros latency_goal;
  Micros hard_limit;             // the longest that a client waits
  Micros dedup_window;           // how long nodes remember a fingerprint
  double goal_service_multiple;  // added to the latency goal, in mean service times of the request
  double gain;                   // of a typical request served in time
  double late_gain_factor;       // of the gain, for a request that comes too late for its goal
  RepeatSafety repeat;
  DedupScope scope;
  bool streams;      // the answer is a stream
  bool keeps_order;  // requests with the same object run one after the other
};

// The quota of a volume, for all heads together.
struct Plan {
  double limit;  // units a second; 0: no limit
  double burst;  // units
  double slack;  // units that the limit may be exceeded by
  double nominal;
  double reserve;
  double weight;
  double gain_factor;
  std::vector<int> nodes = {};  // preferred for new objects while one of them has capacity; empty: any node
};

// The configuration of a head. Absent retry budgets and order gaps are negative.
struct Provisioning {
  std::uint64_t seed;
  int heads;       // instances that share the nodes
  int own_number;  // of this head, from 0
  std::vector<IoGroup> groups;
  std::vector<Plan> plans;
  double cold_capacity_units;  // that a node which has just started bears within the overload window
  double typical_units;        // size of a typical request
  double max_units;            // size of the largest request
  double share_gain_factor;    // gain of units within the weighted share, relative to those in the reserve
  double excess_gain_factor;   // the same for units beyond the share
  Micros meter_period;         // over which nodes meter the use of a volume; 0: not metered
  bool reports_other_heads;    // nodes report what other heads sent for the volume
  bool polls_list;             // the list service is polled
  bool has_node_sizes;         // the node list gives relative sizes
  bool may_duplicate;          // a second submit may run at the same time
  bool may_cancel;
  bool may_probe;
  bool may_advise_retry;  // a shed request may carry a retry delay
  int max_submits;
  Micros max_retry_advice;
  Micros answer_slack;        // that a final answer may come after the deadline
  Micros list_poll_interval;  // negative: none
  double cold_speed_factor;   // speed of a node that has just started, relative to a warm one
  double overload_multiple;   // a cold node fails beyond this multiple of what it recently served
  Micros warmup_time;
  Micros overload_window;
  Micros order_gap;           // after a submit with unknown outcome, before the next of its key
  double retry_budget_base;   // retries in each window
  double retry_budget_ratio;  // further retries for each request in the window
  Micros retry_budget_window;
  std::size_t max_ordered_keys = 1 << 16;  // with requests that keep order; further keys are shed
};

// One node in a node list.
struct NodeEntry {
  int node;               // small index, fixed for one name while the head runs
  std::string_view name;  // only its sort order matters
  NodeState state;
  int shard;
  int zone;
  double share;     // relative size
  Micros up_since;  // 0: long ago
};

// A block I/O as the client asked for it.
struct BlockIo {
  std::uint64_t id;
  std::uint64_t object;  // stable hash of the object's key; 0: none
  Micros give_up_at;     // the client's deadline
  int group;
  int plan;
  int volume;
  int shard;  // -1: a new object
  int units;
  int heads;  // that the volume is attached to
};

// Load figures that a node may report; negative: not reported.
struct LoadReport {
  double outstanding = -1;
  double backlog = -1;
  double utilization = -1;
  Micros recent = -1;
};

// The outcome of one submit.
struct SubmitOutcome {
  std::uint64_t id;
  int submit;
  int node;
  Result result;
  bool over;        // the client has its final answer
  Micros lag;       // from sending to the answer
  int volume_use;   // use of the volume over all heads, 1 + percent of its nominal rate; 0: not reported
  int from_others;  // units that other heads sent for the volume since the last answer
  LoadReport report;
};

// The actions a Head requests from the process around it; called from within Head's functions.
class HeadEnvironment {
 public:
  virtual ~HeadEnvironment() = default;
  // Sends the block I/O to a node; the submit may take `try_for` at most.
  virtual void submit(std::uint64_t id, int node, Micros try_for) = 0;
  // Refuses the block I/O with the promise that it had no effect, or may be repeated.
  virtual void shed(std::uint64_t id, Micros come_back_after, RejectionReason why) = 0;
  // Ends the block I/O with an error that leaves open whether it had an effect.
  virtual void fail(std::uint64_t id, RejectionReason why) = 0;
  virtual void cancel(std::uint64_t id, int submit) = 0;
  // Asks for Head::on_timer(token) after a delay.
  virtual void set_timer(std::uint64_t token, Micros from_now) = 0;
  virtual void fetch_list() = 0;
  // Subscribes to the node list, or renews the subscription.
  virtual void watch_list() = 0;
  virtual void probe(int node) = 0;
  virtual void log_note(std::string_view text) = 0;
};

// The scheduler of one head. For each moment the caller calls set_time(), then the events in their order,
// then run_scheduler() once. Instances share nothing; calls must not overlap.
class Head {
 public:
  Head(const Provisioning& given, HeadEnvironment& environment, Micros now);
  ~Head();
  // Sets the clock; comes before the other calls of the same moment.
  void set_time(Micros now);
  // Applies a node list, or notes that it could not be fetched.
  void update_node_list(ListKind kind, std::span<const NodeEntry> entries);
  // Replaces the plans at run time. A plan's index keeps its meaning, and there are never fewer plans.
  void update_plans(std::span<const Plan> plans);
  // Queues a new block I/O; it is sent or rejected by run_scheduler() or on_timer().
  void enqueue(const BlockIo& bio);
  // Checks a submit again as its first byte is about to be sent, because a connection may take long to open
  // and the conditions may have changed since the decision. A denied submit ends as Result::not_sent.
  DenialReason may_begin(std::uint64_t id, int submit) const;
  // The answer's stream has begun: the deadline no longer applies.
  void on_stream_started(std::uint64_t id, int submit);
  void on_submit_result(const SubmitOutcome& outcome);
  void on_probe_result(int node, Result result, Micros lag, const LoadReport& report);
  void on_client_disconnected(std::uint64_t id);
  // Sheds or fails a block I/O before its time because the answers of later ones wait for its own and the
  // caller has no more memory for them. Not to be called within a call of HeadEnvironment.
  void end_early(std::uint64_t id);
  void on_timer(std::uint64_t token);
  // Whether a small index may be reused for another name: a node that has left the list and has no submit of
  // an active block I/O, a volume that has long been unused. If so, its state is cleared.
  bool forget_node(int node);
  bool forget_volume(int volume);
  // The same for a volume that may have been used lately, where the caller has no index left: if it has no
  // active block I/O, its state is cleared.
  bool forget_idle_volume(int volume);
  // Memory in bytes that an active block I/O holds here.
  static std::size_t request_bytes();
  // The default node of a new object under the current list and plan; -1: none.
  int default_node(std::uint64_t object, int plan) const;
  // The number of entries kept in memory, by kind.
  struct Footprint {
    std::size_t active;  // block I/Os
    std::size_t queued;  // of them, not sent yet
    std::size_t nodes;
    std::size_t volumes;
    std::size_t key_queues;
    std::size_t timestamps;  // and other short-lived records
    double headroom;         // 1: answers show no queueing; towards 0: they do
  };
  Footprint footprint() const;
  // Sends, keeps or rejects the queued block I/Os; once after the calls of one moment.
  void run_scheduler();

 private:
  class Scheduler;
  std::unique_ptr<Scheduler> scheduler_;
};

}  // namespace yewmount
