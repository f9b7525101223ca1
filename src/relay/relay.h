// The head on the operators' platform: commands of clients become block I/Os, the module decides on them, and
// its wishes become commands to nodes and answers to clients. It decides nothing of its own. No door, no
// catalogue, no scrubber, no file: the platform's limits and rules leave no room for them.
#pragma once
#include <array>
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "callers/callers.h"
#include "discovery/discovery_client.h"
#include "event_loop/event_loop.h"
#include "node_connections/node_connections.h"
#include "provision/provision.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::relay {

// What the platform hands a head at its start.
struct Deployment {
  std::string name;
  asio::ip::tcp::endpoint listen, members;
  std::size_t sockets = 0, memory = 0;  // descriptors; bytes
  nlohmann::json known;
  provision::PlatformSettings platform;
};

// Throws provision::BadInput or std::runtime_error with one line: the place and the reason.
Deployment load(const std::string& file);

// What must never happen; each is counted, and logged as an error.
struct Violations {
  std::uint64_t late_answers = 0;    // later than the client's time and the slack on it
  std::uint64_t unasked_values = 0;  // a value for a submit that was not out
};

struct Counts {
  std::uint64_t taken = 0, ended = 0, shed = 0, failed = 0, left = 0, bad = 0, full = 0, submits = 0,
                further = 0;
  std::uint64_t stood_still = 0;
  Micros longest_turn = 0;
  std::array<std::uint64_t, kRejectionReasonNames.size()> given_up =
      {};  // shed or failed by the module, by RejectionReason
  std::array<std::uint64_t, kResultNames.size()> outcomes = {};  // of submits, by Result
  Violations violations;
};

class Relay : public HeadEnvironment,
              public callers::Service,
              public node_connections::SubmitHandler,
              public discovery::Observer {
 public:
  Relay(asio::io_context& io, Deployment given);
  ~Relay() override;

  std::uint16_t port() const { return callers_.port(); }
  void run();  // until drained
  // Goes on for as long as the platform leaves it, then ends connections between commands; run() returns once
  // all in hand have their final answer.
  void drain();
  void reload(const Deployment& given);  // another place of the list of nodes, other plans
  void trace(bool on) { trace_ = on; }
  nlohmann::ordered_json report() const;

 private:
  struct Work {                      // a block I/O in hand
    std::uint64_t id = 0, name = 0;  // the module's; the client's
    callers::Caller caller;
    Micros taken = 0, give_up_at = 0;
    int submits = 0, out = 0;                    // all there were; those without an outcome
    bool may_have_run = false, parting = false;  // parting: its client sends no more
    Result last = Result::not_sent;              // of its last submit that has an outcome
    node_connections::Command command;           // as it goes to nodes
  };

  // callers::Service
  void asked(const callers::Caller& caller, const resp::Command& command, Micros came) override;
  void left(const callers::Caller& caller) override;
  void parting(const callers::Caller& caller) override;
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
  void set_timer(std::uint64_t token, Micros from_now) override { wakes_.add(now_ + from_now, token); }
  void fetch_list() override {}  // the list is followed all the time
  void watch_list() override {}
  void probe(int) override {}  // the protocol has none, and the module is told so
  void log_note(std::string_view text) override;

  const char* read(const resp::Command& command, BlockIo& bio, Work& work, Micros came);
  int find(const callers::Caller& caller) const;
  void conclude(int work);
  void turn();
  void once_a_second(Micros now);
  void let_go(int work);
  void say_final(int work, const char* how, std::string_view why);
  Micros now();

  asio::io_context& io_;
  Deployment given_;
  callers::Callers callers_;
  node_connections::NodeConnections nodes_;
  discovery::DiscoveryClient members_;
  Micros now_ = 0;
  event_loop::TimerList wakes_;
  event_loop::IndexPool<std::uint64_t> volumes_;
  Slab<Work> works_;
  IndexSet in_hand_;
  IdMap by_id_, by_name_;
  std::uint64_t last_id_ = 0;
  std::size_t bytes_ = 0;  // of the commands in hand
  std::string text_;
  Counts counts_;
  Micros swept_ = 0, looked_ = 0, turned_ = 0, told_ = 0,
         gone_at_ = 0;  // gone_at: after SIGTERM, when the last answer is due
  bool trace_ = false, listening_ = true;
  std::unique_ptr<Head> rules_;  // last: it speaks to the rest from its start
};

}  // namespace yewmount::relay
