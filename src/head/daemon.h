// One head: one event loop, one instance of the decision module. It tells the module what happens and carries
// out what the module wants; objects are cut into extents here, and the outcome of each block I/O becomes a
// step of its client's exchange. It decides nothing of its own.
#pragma once
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "background/background.h"
#include "catalogue/client.h"
#include "event_loop/event_loop.h"
#include "http_server/http_server.h"
#include "node_list/list_client.h"
#include "node_transport/node_transport.h"
#include "plans/plan.h"
#include "rules/containers.h"
#include "rules/rules.h"
#include "settings/head_settings.h"

namespace yewmount::head {

struct Counts {
  std::uint64_t taken = 0, ended = 0, shed = 0, failed = 0, submits = 0, further = 0, left = 0, not_taken = 0;
  std::uint64_t turns = 0, catalogue_failed = 0, stood_still = 0, plans_taken = 0, damaged = 0, lost = 0,
                plans_turned_down = 0;
  Micros longest_turn = 0;
};

class Daemon : public HeadEnvironment,
               public node_transport::TransportObserver,
               public node_list::MembershipObserver,
               public http_server::RequestHandler {
 public:
  // Throws one line: what can't be bound, read or believed.
  Daemon(asio::io_context& io, settings::HeadSettings given);
  ~Daemon() override;

  std::uint16_t port() const { return door_->port(); }
  void run();  // until drained
  // Takes nothing new; run() returns once all in hand have their final answer.
  void drain();
  // What may change while it runs; a line that says why not, or empty.
  std::string reload(settings::HeadSettings given);
  // The plan file as it stands now, taken whole or not at all; says in the log which, and why.
  void take_plan();
  const Counts& counts() const { return counts_; }
  Head::Footprint footprint() const { return rules_->footprint(); }

 private:
  // What comes after a block I/O: handed how it ended and the data read.
  enum class Final : std::uint8_t { ended, missing, shed, failed };
  using Step = void (Daemon::*)(int exchange, Final final, std::string_view data);

  struct Work {  // a block I/O in hand
    std::uint64_t id = 0, fingerprint = 0;
    int exchange = -1, group = 0, units = 1, submits = 0, outs = 0, shard = -1, volume_index = -1;
    bool live = false, may_have_run = false;
    wire::IoKind kind = wire::IoKind::read;
    wire::ExtentId extent;
    std::uint32_t offset = 0, length = 0, extent_length = 0;
    std::uint64_t sum = 0;  // of the whole extent; 0: none is known
    int damaged = 0;        // submits whose data was not what was written
    std::string volume, object, data;
    int ended_at = -1;  // the node that ended it
    Step next = nullptr;

    // As new, with its memory kept: the ordinary path allocates nothing.
    void renew() {
      Work fresh;
      fresh.volume.swap(volume), fresh.object.swap(object);
      *this = std::move(fresh);
    }
  };

  struct Exchange {  // of a client; its session may have left
    std::shared_ptr<http_server::Session> session;
    std::uint64_t token = 0;  // tells it from a later one at the same place
    http_server::Request ask;
    bool live = false, done = false, reread = false, effect = false, may_have_run = false, answered = false;
    int work = -1, group = -1;
    std::uint32_t extents = 0;  // taken so far
    std::uint64_t serial = 0;   // of its block I/Os' ids
    Micros answer_by = 0;       // INT64_MAX: no answer is due yet
    Micros advice = 0;          // with a shed: when to come back
    wire::Object object;
    std::size_t at = 0;                // the extent being read
    std::uint64_t from = 0, left = 0;  // bytes of the object still to be read
    std::uint32_t skip = 0, want = 0;  // of what comes next: it is read by whole blocks
    bool background = false;           // on behalf of no client, and of no volume's due
    bool damaged = false;              // its data is not what was written, wherever it was read
    std::string body;                  // not yet taken
    std::uint64_t body_bytes = 0;
    bool body_done = false;

    void renew() {
      Exchange fresh;
      fresh.ask.volume.swap(ask.volume), fresh.ask.object.swap(ask.object), fresh.ask.path.swap(ask.path);
      fresh.object.extents.swap(object.extents);
      *this = std::move(fresh);
      object.extents.clear();
    }
  };

  struct PlannedVolume {  // its place in the module's plans stays its own
    int plan = -1;
    const plans::VolumeAssignment* due = nullptr;  // null: no plan speaks of it now
  };

  // http_server::RequestHandler
  void on_request(http_server::Session& session, const http_server::Request& ask) override;
  void on_body(http_server::Session& session, std::string_view bytes) override;
  void on_body_end(http_server::Session& session) override;
  void on_writable(http_server::Session& session) override;
  void on_disconnect(http_server::Session& session) override;
  // node_transport::TransportObserver
  DenialReason may_begin(std::uint64_t id, int no) override;
  void on_submit_ended(const node_transport::SubmitResult& ended) override;
  void on_probe_ended(int node, Result result, Micros lag, const LoadReport& report) override;
  // node_list::MembershipObserver
  void on_membership(ListKind kind, std::span<const NodeEntry> entries) override;
  bool may_reuse(int node) override;
  // HeadEnvironment
  void submit(std::uint64_t id, int node, Micros try_for) override;
  void shed(std::uint64_t id, Micros come_back_after, RejectionReason) override;
  void fail(std::uint64_t id, RejectionReason) override;
  void cancel(std::uint64_t id, int submit) override { carrier_.cancel(id, submit); }
  void set_timer(std::uint64_t token, Micros from_now) override;
  void fetch_list() override { list_.fetch(); }
  void watch_list() override { list_.watch(); }
  void probe(int node) override;
  void log_note(std::string_view text) override;

  void remember_plan();
  void tell_plans();
  int plan_of(const std::string& volume) const;

  void turn();
  void once_a_second();
  void own_page(http_server::Session& session, const http_server::Request& ask);
  std::string metrics() const;

  void looked_up(int exchange, catalogue::Result&& result);
  void begin_read(int exchange);
  void read_next(int exchange);
  void read_done(int exchange, Final final, std::string_view data);
  void write_next(int exchange);
  void write_done(int exchange, Final final, std::string_view data);
  void record(int exchange);
  void recorded(int exchange, catalogue::Result&& result);
  void dropped(int exchange, catalogue::Result&& result);
  void discard(const std::string& volume, const std::string& object, const wire::Object& old);
  void discard_done(int exchange, Final final, std::string_view data);

  // Scrubbing (scrubbing.cpp): a walk over the catalogue, this head's part of it read and checked.
  struct Scrub {
    background::Scheduler scheduler;
    background::PassProgress round;
    std::deque<wire::ScanReply::Entry> page;
    std::size_t extent = 0;  // of the first entry of the page
    bool walking = false, reading = false, last_page = false, told_starved = false;
    Micros next_round = 0, saved = 0;
    std::deque<nlohmann::json> found;  // the last damages, for the report
  };
  void start_scrub();
  void scrub_turn(Micros now);
  void scrub_page(catalogue::Result&& page);
  void scrub_step(Micros now);
  void scrub_read(int exchange, Final final, std::string_view data);
  void save_scrub();
  nlohmann::json scrub_report() const;

  void check_sums(Work& w, node_transport::SubmitResult& ended);
  int take(int exchange, wire::IoKind kind, int group, const wire::PlacedExtent& extent, std::uint32_t offset,
           std::uint32_t length, std::string data, Step next);
  void conclude(int work, Final final, std::string_view data, Micros advice = 0);
  void answer_shed(Exchange& e);
  void answer_failed(Exchange& e, std::string_view why);
  void answer_plain(Exchange& e, int status, std::string_view why);
  void add_bio(const Exchange& e);
  std::string_view start_headers(const Exchange& e, std::string_view answer);
  int open_exchange();
  void over(int exchange);
  Exchange* alive(int exchange, std::uint64_t token);
  std::function<void(catalogue::Result&&)> then(int exchange, void (Daemon::*step)(int, catalogue::Result&&));

  asio::io_context& io_;
  settings::HeadSettings given_;
  std::uint64_t start_;
  node_transport::NodeTransport carrier_;
  node_list::ListClient list_;
  catalogue::Client catalogue_;
  std::unique_ptr<http_server::Server> door_;
  std::unique_ptr<Head> rules_;
  Slab<Exchange> exchanges_;
  Slab<Work> works_;
  IdMap work_index_;
  IndexSet open_, in_hand_;
  event_loop::IndexPool<std::string> uses_;
  plans::CurrentPlan plan_;
  std::unordered_map<std::string, PlannedVolume> planned_;
  std::vector<Plan> all_plans_;  // of the settings, then one for each volume that a plan ever spoke of
  event_loop::TimerList wakes_;
  std::unique_ptr<Scrub> scrub_;
  Counts counts_;
  std::string headers_;  // of the answer that is being made
  std::uint64_t last_serial_ = 0, last_extent_ = 0, last_token_ = 0;
  Micros swept_ = 0, turned_ = 0, drain_from_ = -1, started_;
};

}  // namespace yewmount::head
