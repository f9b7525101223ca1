// A head on the operators' platform, which speaks RESP2. Commands of clients become block I/Os, the scheduler
// decides on them, and its actions become commands to nodes and answers to clients. This class makes no
// decisions of its own. The platform's limits and rules leave no room for the HTTP endpoint, catalogue,
// scrubber and files of the stand-alone daemon.
#pragma once
#include <array>
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "client_sessions/client_sessions.h"
#include "discovery/discovery_client.h"
#include "event_loop/caught_up_clock.h"
#include "event_loop/event_loop.h"
#include "memory/budget.h"
#include "node_connections/node_connections.h"
#include "relay/deployment.h"
#include "relay/memory_watch.h"
#include "relay/recent_ids.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::relay {

// Events that must never happen. Each is counted and logged as an error.
struct Violations {
  std::uint64_t late_answers = 0;        // after the client's deadline and the slack on it
  std::uint64_t unexpected_results = 0;  // results of a request without a submit in flight
};

// Totals since the start.
struct Counts {
  std::uint64_t accepted = 0;  // commands that became block I/Os; each ends in one of the next four
  std::uint64_t completed = 0;
  std::uint64_t shed = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;           // the client disconnected or half-closed
  std::uint64_t malformed = 0;           // commands answered with an error
  std::uint64_t over_memory = 0;         // commands rejected because of the memory limit
  std::uint64_t over_volumes = 0;        // commands rejected because no further volume can be tracked
  std::uint64_t repeated_ids = 0;        // commands rejected because their id has come before
  std::uint64_t values_over_memory = 0;  // values dropped because of it; their commands count as failed
  std::uint64_t submits = 0;             // all attempts
  std::uint64_t later_submits = 0;       // attempts after the first of a request
  std::uint64_t pauses = 0;              // gaps between loop iterations above kPauseThresholdUs
  Micros longest_iteration = 0;
  // Requests that the scheduler shed or failed, by RejectionReason.
  std::array<std::uint64_t, kRejectionReasonNames.size()> rejections = {};
  std::array<std::uint64_t, kResultNames.size()> results = {};  // of submits, by Result
  Violations violations;
};

// The event loop of one head, and the adapter between the scheduler and the network code.
class Relay : public HeadEnvironment,
              public client_sessions::CommandHandler,
              public node_connections::SubmitHandler,
              public discovery::Observer {
 public:
  Relay(asio::io_context& io, Deployment deployment);
  ~Relay() override;

  std::uint16_t port() const { return sessions_.port(); }
  // Runs the event loop until a graceful shutdown has finished.
  void run();
  // Starts a graceful shutdown: serves for as long as the platform permits, then closes idle connections;
  // run() returns once all requests have their final answer.
  void drain();
  // Applies a changed discovery address and changed parameters of the plans; other changes need a restart.
  void reload(const Deployment& deployment);
  // Sets whether each request and submit is logged.
  void set_tracing(bool on) { is_tracing_ = on; }
  // The counters and gauges for the log.
  nlohmann::ordered_json report() const;
  // The bytes held in memory, by what holds them.
  nlohmann::ordered_json memory_report() const;

 private:
  // A block I/O that has no final answer yet.
  struct Request {
    std::uint64_t id = 0;         // the scheduler's
    std::uint64_t client_id = 0;  // given by the client
    client_sessions::CommandId command_id;
    Micros arrived_at = 0;
    Micros give_up_at = 0;
    int submits = 0;    // all attempts
    int in_flight = 0;  // attempts without a result
    bool may_have_run = false;
    bool client_half_closed = false;
    Result last_result = Result::not_sent;
    node_connections::CommandPtr command;  // as sent to nodes
  };
  // What a command says, as far as the scheduler needs it and nodes are told otherwise.
  struct ParsedCommand {
    BlockIo bio{.id = 0,
                .object = 0,
                .give_up_at = 0,
                .group = -1,
                .plan = -1,
                .volume = -1,
                .shard = -1,
                .units = 0,
                .heads = 0};
    std::uint64_t client_id = 0;
    std::uint64_t volume = 0;
    std::size_t wait_offset = 0;  // position of the client's time in the list of fields
    std::size_t wait_size = 0;
  };

  // client_sessions::CommandHandler
  void on_command(const client_sessions::CommandId& command_id, const resp::Command& command,
                  Micros arrived_at) override;
  void on_disconnect(const client_sessions::CommandId& command_id) override;
  void on_half_close(const client_sessions::CommandId& command_id) override;
  void on_answers_blocked(const client_sessions::CommandId& command_id) override;
  // node_connections::SubmitHandler
  DenialReason may_begin(std::uint64_t id, int no) override;
  void on_submit_ended(const node_connections::EndedSubmit& ended) override;
  // discovery::Observer
  void on_membership(ListKind kind, std::span<const NodeEntry> entries) override;
  bool may_reuse(int node) override;
  // HeadEnvironment
  void submit(std::uint64_t id, int node, Micros try_for) override;
  void shed(std::uint64_t id, Micros come_back_after, RejectionReason) override;
  void fail(std::uint64_t id, RejectionReason) override;
  void cancel(std::uint64_t id, int submit) override { nodes_.cancel(id, submit); }
  void set_timer(std::uint64_t token, Micros from_now) override { timers_.add(now_ + from_now, token); }
  void fetch_list() override {}  // members_ follows the list all the time
  void watch_list() override {}
  void probe(int) override {}  // never called: the protocol has no probe, so may_probe is false
  void log_note(std::string_view text) override;

  const char* parse_command(const resp::Command& command, ParsedCommand& parsed, Micros arrived_at) const;
  node_connections::CommandPtr node_command(const resp::Command& command, const ParsedCommand& parsed);
  bool has_room_for(const resp::Command& command) const;
  static std::size_t record_bytes();
  void accept(const client_sessions::CommandId& command_id, const resp::Command& command,
              ParsedCommand& parsed, Micros arrived_at);
  int find(const client_sessions::CommandId& command_id) const;
  void abort_request(int index);
  void complete(int index, std::string_view value);
  void run_iteration();
  void run_every_second(Micros now);
  void release_request(int index);
  void record_final(int index, const char* how, std::string_view why);
  Micros update_clock();

  asio::io_context& io_;
  Deployment deployment_;
  memory::Budget budget_;
  client_sessions::ClientSessions sessions_;
  node_connections::NodeConnections nodes_;
  discovery::DiscoveryClient members_;
  Micros now_ = 0;
  event_loop::CaughtUpClock caught_up_clock_;
  event_loop::TimerList timers_;
  event_loop::IndexPool<std::uint64_t> volumes_;
  Slab<Request> requests_;
  IndexSet active_;
  IdMap by_id_;
  IdMap by_client_id_;
  RecentIds recent_client_ids_;
  std::uint64_t last_id_ = 0;
  MemoryWatch memory_watch_;
  std::string answer_;  // reused buffer
  Counts counts_;
  Micros last_second_at_ = 0;  // when run_every_second() last ran
  Micros last_check_at_ = 0;   // when timeouts of connections were last checked
  Micros last_iteration_at_ = 0;
  Micros last_report_at_ = 0;
  Micros drain_deadline_ = 0;  // when the last answer of a graceful shutdown is due; 0: none has begun
  bool is_tracing_ = false;
  bool is_listening_ = true;
  std::unique_ptr<Head> scheduler_;  // last: its constructor calls this object
};

}  // namespace yewmount::relay
