// Adapter between the simulator's protocol (JSON lines) and the scheduler in rules.h: it decodes messages
// into calls and encodes the actions that the scheduler requests.
#pragma once
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "provision/provision.h"
#include "rules.h"

namespace yewmount::benchlink {

using provision::BadInput;
using provision::NameTable;

// One simulated head: its scheduler, the indexes of its names, and the reply lines of the present batch.
class HeadSession : public HeadEnvironment {
 public:
  explicit HeadSession(std::string head_id);
  // Starts the head, or restarts it with empty state.
  void start(const nlohmann::json& fields, Micros now);
  // Drops the head and its pending reply.
  void stop();
  // Handles a message to the head; throws BadInput if it is malformed. Ignored while the head is stopped.
  void handle_message(const std::string& name, const nlohmann::json& fields, Micros now,
                      const std::map<int, nlohmann::json>& manifests);
  // Runs the scheduler at the end of a batch.
  void run_scheduler(Micros now);
  std::string take_reply() { return std::exchange(reply_, {}); }

  void submit(std::uint64_t id, int node, Micros try_for) override;
  void shed(std::uint64_t id, Micros come_back_after, RejectionReason) override;
  void fail(std::uint64_t id, RejectionReason) override;
  void cancel(std::uint64_t id, int submit) override;
  void set_timer(std::uint64_t token, Micros from_now) override;
  void fetch_list() override;
  void watch_list() override;
  void probe(int node) override;
  void log_note(std::string_view text) override;

 private:
  void dispatch(const std::string& name, const nlohmann::json& fields,
                const std::map<int, nlohmann::json>& manifests);
  void handle_request(const nlohmann::json& fields);
  void handle_node_list(const nlohmann::json& fields, const std::map<int, nlohmann::json>& manifests);
  LoadReport load_report(const nlohmann::json& fields) const;
  template <class Call>
  void report_exceptions(Call call);
  void write_action(std::string_view action, nlohmann::json fields);

  std::string head_id_;
  std::string reply_;
  std::unique_ptr<Head> head_;
  NameTable nodes_;
  NameTable volumes_;
  NameTable zones_;
  provision::PlatformSettings given_;
};

// Reads messages for all simulated heads and writes their replies.
class Link {
 public:
  // Processes batches until the end of input; throws BadInput with the line number of a malformed message.
  void run(std::istream& in, std::ostream& out);

 private:
  void process_line(const std::string& text, std::ostream& out);
  std::map<std::string, HeadSession> heads_;
  std::vector<HeadSession*> heads_in_batch_;
  std::map<int, nlohmann::json> manifests_;
  Micros now_ = 0;
  bool in_batch_ = false;
};

}  // namespace yewmount::benchlink
