// A storage node as heads see one: cores, a waiting room, a cold start that falls over when over-sent,
// pauses, put-off work of writes, a memory of the last keys, and faults on command. Work is waited for, not
// computed, so that many nodes fit on one machine. It writes down every frame that it saw.
#pragma once
#include <deque>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "standins/lines.h"

namespace yewmount::standins {

struct NodeProvision {
  std::string name, address = "127.0.0.1", record, store;
  int shard = 0, cores = 2, room = 64, remembers = 0;
  std::uint16_t port = 0, control_port = 0;
  std::uint32_t seed = 1;
  double unit_us = 5000, speed = 1, spread = 0.2, cold_from = 1, fall_multiple = 4, cold_bears = 0,
         most_units = 6;
  double put_off = 0, seek_saved = 0;
  bool cold = false, tells_elsewhere = true;
  std::int64_t warm_within = 0, overload_for = 0, pause_every = 0, pause = 0, flush_every = 2'000'000;
  std::int64_t report_every = 0, memory_span = 0;
};

NodeProvision load_node(const std::string& path);

class Node : public net::LinkHandler {
 public:
  Node(asio::io_context& io, NodeProvision given);
  ~Node() override;
  std::uint16_t port() const { return listener_->port(); }
  std::uint16_t control_port() const { return control_.port(); }
  std::uint64_t start() const { return start_; }
  std::int64_t next() const;  // when turn_over() is due at the latest
  void turn_over();           // once after the handlers of a turn

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  struct Client {
    std::shared_ptr<net::Link> link;
    std::string head = "?";
  };
  struct Job {
    int conn = 0;
    std::string head, group, volume, object, data;
    wire::Submit submit;
    std::int64_t came = 0, began = 0;
    double work = 0;  // microseconds of a core at speed 1
  };
  struct Running {
    std::int64_t at;
    int job;
    bool operator<(const Running& o) const { return at > o.at; }
  };

  void obey(const nlohmann::json& command);
  void take(net::Link& link, const wire::Submit& submit, std::string_view data);
  void begin_jobs();
  void finish(int job);
  wire::Outcome run(Job& job, std::string& read, std::vector<std::uint64_t>& sums);
  void answer(int conn, const Job& job, wire::Outcome outcome, std::string_view data,
              std::vector<std::uint64_t> sums = {});
  double warmth(std::int64_t now) const;
  double power(std::int64_t now) const;  // of a core: work done in a microsecond
  bool over_sent(std::int64_t now, double units);
  void close_all(const std::string& why);
  void garble(const std::string& how);
  bool chance(double part) { return part > 0 && std::uniform_real_distribution<>(0, 1)(random_) < part; }
  wire::Load load() const;
  std::string file_of(const wire::ExtentId& e) const;
  void flip(std::string& data, const char* where, const Job& job);

  asio::io_context& io_;
  NodeProvision given_;
  Record record_;
  std::uint64_t start_;
  std::int64_t born_;
  std::mt19937 random_;
  std::map<int, Client> clients_;
  int last_conn_ = 0;
  std::unordered_map<int, Job> jobs_;
  int last_job_ = 0, running_ = 0;
  std::deque<int> waiting_;
  std::priority_queue<Running> finishing_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> memory_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::uint64_t>> sums_;  // apart from the data
  std::deque<std::string> keys_;
  std::deque<std::pair<std::int64_t, double>> arrivals_;
  double arrived_ = 0;
  std::unordered_map<std::uint64_t, std::int64_t> fingerprints_;
  struct Meter {
    std::int64_t all = 0;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> heads;  // own, told of others
  };
  std::unordered_map<std::string, Meter> meters_;
  double put_off_ = 0, recent_ = 0;
  std::int64_t flush_at_ = 0, pause_at_ = 0, paused_until_ = 0, reported_at_ = 0;
  mutable wire::Load told_;
  // Faults on command.
  bool hang_ = false, draining_ = false, fallen_ = false;
  double flip_rest_ = 0, flip_in_ = 0, flip_out_ = 0, shorten_ = 0;
  double slow_ = 1, errors_ = 0, lose_ = 0, cut_ = 0, heavy_part_ = 0, heavy_ = 1;
  std::string heavy_group_;
  std::unique_ptr<net::Listener> listener_;
  Control control_;
};

}  // namespace yewmount::standins
