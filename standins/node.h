// A stand-in for a storage node. Models cores, a bounded queue, a cold start that fails under overload,
// pauses, deferred work of writes and a cache of recent keys, and injects faults on command. Work is
// simulated by timers instead of computation, so that many nodes fit on one machine. Records every frame it
// receives.
#pragma once
#include <deque>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "standins/support.h"

namespace yewmount::standins {

// Settings of the node (schema/node.json).
struct NodeOptions {
  std::string name;
  std::string address = "127.0.0.1";
  std::string record_file;
  std::string store_directory;  // empty: data is kept in memory
  int shard = 0;
  int cores = 2;
  int max_queued = 64;
  int max_recent_keys = 0;
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  std::uint32_t seed = 1;
  double unit_us = 5000;  // core time of one unit at speed 1
  double speed = 1;
  double spread = 0.2;            // sigma of the log-normal distribution of the work
  double initial_warmth = 1;      // warmth of a cold node at its start; 1 is full speed
  double overload_multiple = 4;   // of its capacity: more work within the overload window fails a cold node
  double min_overload_units = 0;  // units within the window that never fail a cold node
  double max_units = 6;           // of one block I/O, tolerated on top
  double deferred_fraction = 0;   // of the work of a write, done at the next flush
  double cache_hit_saving = 0;    // fraction of the work saved when the key was used recently
  bool is_cold = false;
  bool reports_other_heads = true;  // whether answers tell a head how much work others sent
  std::int64_t warm_up_time_us = 0;
  std::int64_t overload_window_us = 0;
  std::int64_t pause_interval_us = 0;
  std::int64_t pause_duration_us = 0;
  std::int64_t flush_interval_us = 2'000'000;
  std::int64_t load_report_interval_us = 0;
  std::int64_t fingerprint_lifetime_us = 0;
};

// Reads and checks a settings file; throws settings::Bad with a one-line message.
NodeOptions load_node_options(const std::string& path);

class Node : public net::LinkHandler {
 public:
  Node(asio::io_context& io, NodeOptions options);
  ~Node() override;
  std::uint16_t port() const { return listener_->port(); }
  std::uint16_t control_port() const { return control_.port(); }
  std::uint64_t instance_id() const { return instance_id_; }
  std::int64_t next_deadline() const;
  // Finishes and starts jobs and flushes all links.
  void run_due_work();

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& reason) override;

 private:
  struct Client {
    std::shared_ptr<net::Link> link;
    std::string head = "?";
  };
  struct Job {
    int connection = 0;
    std::string head;
    std::string group;
    std::string volume;
    std::string object;
    std::string data;
    wire::Submit submit;
    std::int64_t received_at = 0;
    std::int64_t started_at = 0;
    double work = 0;  // microseconds of a core at speed 1
  };
  struct RunningJob {
    std::int64_t ends_at;
    int job;
    bool operator<(const RunningJob& other) const { return ends_at > other.ends_at; }
  };

  void execute(const nlohmann::json& command);
  void accept(net::Link& link, const wire::Submit& submit, std::string_view data);
  void start_jobs();
  void finish(int job_id);
  wire::Outcome run(Job& job, std::string& read_data, std::vector<std::uint64_t>& checksums);
  void answer(int connection, const Job& job, wire::Outcome outcome, std::string_view data,
              std::vector<std::uint64_t> checksums = {});
  double warmth(std::int64_t now) const;
  double core_speed(std::int64_t now) const;  // work done by a core in a microsecond
  bool is_overloaded_by(std::int64_t now, double units);
  void close_all(const std::string& reason);
  void send_garbage(const std::string& kind);
  bool happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  wire::Load load() const;
  std::string file_of(const wire::ExtentId& extent) const;
  void flip_bit(std::string& data, const char* where, const Job& job);

  asio::io_context& io_;
  NodeOptions options_;
  RecordWriter record_;
  std::uint64_t instance_id_;
  std::int64_t started_at_;
  std::mt19937 random_;
  std::map<int, Client> clients_;
  int last_connection_ = 0;
  std::unordered_map<int, Job> jobs_;
  int last_job_ = 0;
  int running_ = 0;
  std::deque<int> queue_;
  std::priority_queue<RunningJob> running_jobs_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> extents_;
  // Kept apart from the data, so that corrupted data can be detected.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::uint64_t>> checksums_;
  std::deque<std::string> recent_keys_;
  std::deque<std::pair<std::int64_t, double>> arrivals_;
  double arrived_units_ = 0;
  std::unordered_map<std::uint64_t, std::int64_t> fingerprints_;
  // Units served for a volume, in total and for each head: its own, and those of other heads reported to it.
  struct Meter {
    std::int64_t total = 0;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> heads;
  };
  std::unordered_map<std::string, Meter> meters_;
  double deferred_work_ = 0;
  double average_latency_ = 0;
  std::int64_t flush_at_ = 0;
  std::int64_t pause_at_ = 0;
  std::int64_t paused_until_ = 0;
  std::int64_t reported_at_ = 0;
  mutable wire::Load reported_load_;
  // Faults, set by control commands. Values are probabilities unless they are factors.
  bool is_hanging_ = false;
  bool is_draining_ = false;
  bool has_fallen_ = false;
  double flip_at_rest_ = 0;
  double flip_incoming_ = 0;
  double flip_outgoing_ = 0;
  double truncate_ = 0;
  double slowdown_ = 1;  // factor
  double fail_ = 0;
  double lose_answer_ = 0;
  double cut_connection_ = 0;
  double heavy_probability_ = 0;
  double heavy_factor_ = 1;
  std::string heavy_group_;
  std::unique_ptr<net::Listener> listener_;
  ControlServer control_;
};

}  // namespace yewmount::standins
