// Submits to storage nodes over RESP2. Each ends exactly once, with an outcome made of two facts: the node's
// own word, and whether its last byte went out; doubt counts as "may have run". It decides nothing: which
// node, when, and for how long come from outside.
//
// One submit is out on a connection. Answers come in the order of the commands, so one behind another would
// wait for it, and giving one up closes the connection under the others. Only where the descriptors are used
// up does a submit go behind another.
#pragma once
#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/stream.h"
#include "nodes/reuse.h"
#include "resp/resp.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::nodes {

struct Provision {
  int streams = 1;              // submits out on one connection, at most
  std::size_t connections = 1;  // to all nodes together
  Micros connect_within = 0, idle = 0;
  std::size_t most_value = 0, most_held = 0;  // bytes: of one value; of all answers that aren't whole yet
};

// A command as a node reads it, but for how long is left to its client: that is put in as its bytes leave.
struct Command {
  std::string before, fields, behind;  // whole words; the list of names and values; whole words
  std::size_t wait = 0;                // where in the list the time left goes
  std::size_t bytes() const { return before.size() + fields.size() + behind.size(); }
};

struct Ended {
  std::uint64_t id;
  int no, node;
  Result result;
  Micros lag;
  int volume_use, from_others;
  LoadReport report;
  std::string_view value;  // good during the call only
};

class Told {
 public:
  virtual ~Told() = default;
  // Asked right before the first byte of a submit leaves; a denied one ends as not sent.
  virtual DenialReason may_begin(std::uint64_t id, int no) = 0;
  virtual void submit_ended(const Ended& ended) = 0;
};

// Why a connection to a node is closed.
enum class Closed : std::uint8_t {
  idle,             // unused for most of the time after which the node closes it
  too_old,          // kept ones of its age have been reset
  unread,           // it brings what nobody asked for, or has ended
  stray,            // bytes that belong to no command
  spoilt,           // an answer that can't be read
  broken,           // reset, or ended by the node
  not_up,           // refused, or not up in time
  given_up,         // all that was out on it was given up
  quiet_neighbour,  // another one to the node went silent
  retired,          // its node drains, is gone, has moved or restarted
  room              // its descriptor is needed
};
inline constexpr std::array<std::string_view, 11> kClosed = {
    "idle",   "too_old",  "unread",          "stray",   "spoilt", "broken",
    "not_up", "given_up", "quiet_neighbour", "retired", "room"};

struct Counts {
  std::uint64_t opened = 0, connections_lost = 0, spoilt = 0, strays = 0, doubled_up = 0, no_room = 0;
  std::array<std::uint64_t, kClosed.size()> closed = {};             // by Closed
  std::array<std::uint64_t, kDenialReasonNames.size()> denied = {};  // by DenialReason
};

class Nodes {
 public:
  Nodes(asio::io_context& io, Provision given, Told& told);
  ~Nodes();

  // Where a node is now; another address or start lets go of what leads to the old one.
  void node_at(int node, const std::string& name, const asio::ip::tcp::endpoint& at, Micros start);
  // Takes back what was meant for a node that drains or is gone and has not begun to leave.
  void recall(int node);
  bool busy(int node) const;  // something is out there
  void forget(int node);      // one that isn't busy: the index may be another's

  // Never calls Told from within: what fails at once is told by the next deliver().
  void submit(std::uint64_t id, int no, int node, const Command& command, Micros now, Micros try_for);
  void cancel(std::uint64_t id, int no);
  // Its submits that have not begun to leave never do: how many (told as not sent by the next deliver()).
  int retract(std::uint64_t id);
  void deliver(Micros now);  // time-outs and what failed at once
  void flush();
  std::size_t connections() const { return live_lines_.size(); }
  const Counts& counts() const { return counts_; }

 private:
  struct Line;  // one connection
  class Wire;   // its bytes
  struct Out {
    std::uint64_t id = 0;
    int no = 0, node = -1, line = -1;
    std::uint64_t begin = 0, end = 0;  // its bytes among those appended to its connection; end 0: not yet
    Micros at = 0, until = 0;
    Micros idle = 0;  // of its connection until then; -1: it is new; -2: there was another submit on it
    Command command;  // until its connection is up and the socket has taken those before it
  };
  struct Line {
    int node = -1;
    bool reading = false, retired = false;          // retired: let go of once nothing is out on it
    std::shared_ptr<asio::ip::tcp::socket> socket;  // while it connects
    std::shared_ptr<Wire> wire;
    std::vector<int> out;  // in the order of their commands; -1: given up, its answer is nobody's
    Micros since = 0, answered = 0;
    Micros connect_at = 0;  // where this machine could not begin the connection: when it is tried again
    Micros begun = 0;       // when the last part came of an answer that isn't whole yet
  };
  struct Peer {
    std::string name;
    asio::ip::tcp::endpoint at;
    Micros start = 0;
    bool known = false;
    std::vector<int> lines;
  };
  struct Soon {
    int out;
    std::uint64_t id;
    int no;
    Result result;
  };

  int line_for(int node, Micros now);
  bool make_room();
  void connect(int line);
  void write(int line);
  void came(int line, std::string_view bytes);
  void answer(int line, const resp::Reply& reply);
  void spoilt(int line, const char* why);
  bool left_whole(const Line& line, const Out& out) const;
  void gone(int line, Closed reason, const char* why);
  void drop(int line, Closed reason);
  void withhold(int out, DenialReason denial);
  void drop_idle(int node, Micros quiet_since);
  void end(int out, Result result, Micros now, const resp::Reply* reply = nullptr);
  void give_up(int out, Result result, Micros now);
  bool take_back(int out);
  void off(int out, Result result);
  void figures(std::string_view text, Ended& ended) const;

  asio::io_context& io_;
  const Provision given_;
  Told& told_;
  std::vector<Peer> peers_;
  Slab<Line> lines_;
  IndexSet live_lines_;
  Slab<Out> outs_;
  IndexSet live_;
  std::vector<Soon> soon_, telling_;
  std::vector<int> dirty_, work_;
  std::string fields_;
  Micros looked_ = 0;
  std::size_t held_ = 0;  // bytes of answers that aren't whole yet
  Counts counts_;
  Reuse reuse_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::nodes
