// Carries submits to storage nodes. Each submit ends exactly once, and what may have run is told apart from
// what surely has not by the bytes that the socket took and by the node's own word; doubt counts as "may
// have". It decides nothing: which node, when, and for how long come from outside.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/link.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::carrier {

struct Provision {
  std::string head_name;
  int connections = 2, streams = 32;  // connections to a node, submits out on one
  Micros connect_within = 250'000, idle = 15'000'000;
};

struct NodeAt {
  std::string name, address;
  std::uint16_t port = 0;
  std::uint64_t start = 0;  // 0: any
};

struct Ended {
  std::uint64_t id;
  int no, node;
  Result result;
  bool missing;  // with Result::ended: the node holds no such extent
  Micros lag;
  int volume_use, from_others;
  LoadReport report;
  std::string_view data;                // good during the call only
  std::span<const std::uint64_t> sums;  // as long as data
};

class Told {
 public:
  virtual ~Told() = default;
  // Asked as a submit that had to wait for its node's greeting is about to leave; a denied one ends as not
  // sent.
  virtual DenialReason may_begin(std::uint64_t id, int no) = 0;
  virtual void submit_ended(const Ended& ended) = 0;
  virtual void probe_ended(int node, Result result, Micros lag, const LoadReport& report) = 0;
};

class Carrier : public net::LinkHandler {
 public:
  Carrier(asio::io_context& io, Provision given, Told& told);
  ~Carrier() override;

  // Where a node is now; another address or start closes what leads to the old one.
  void node_at(int node, const NodeAt& at);
  // Takes back what was meant for a node that drains or is gone and has not begun to leave: it ends as not
  // sent.
  void recall(int node, Micros now);
  // True once nothing is out there and no connection is left: the index may be another's.
  bool forget(int node);

  // Never calls Told from within: what fails at once is told by the next deliver().
  void submit(int node, const wire::Submit& submit, std::string_view data, Micros now, Micros try_for);
  void cancel(std::uint64_t id, int no);
  void probe(int node, Micros now, Micros within);

  void deliver(Micros now);  // time-outs and what failed at once; several times a tick
  void flush();
  std::size_t out() const { return live_.size(); }
  std::size_t connections() const;
  std::size_t kept() const { return due_.size(); }  // time-outs remembered, for tests of what is kept

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  struct Line {  // one connection to a node
    int node = -1;
    std::shared_ptr<net::Link> link;  // null while it connects
    std::shared_ptr<asio::ip::tcp::socket> socket;
    bool greeted = false;
    int out = 0;
    Micros since = 0, used = 0;
  };
  struct Peer {
    NodeAt at;
    std::vector<int> lines;
    bool known = false;
  };
  struct Out {  // a submit or a probe on its way
    bool probe = false, sent = false;
    std::uint64_t key = 0, id = 0;
    int no = 0, node = -1, line = -1;
    std::uint64_t begin = 0, end = 0;  // its bytes among those appended to its link
    Micros at = 0, until = 0;
    std::string frame;  // until the node has greeted
  };
  struct Due {
    Micros until;
    std::uint64_t key;
    bool operator<(const Due& o) const { return until > o.until; }
  };

  int line_for(int node, Micros now);
  void connect(int line);
  void hand(int at);
  void begin(int node, Out&& out, Micros now);
  void end(int at, Result result, Micros now, const wire::Answer* answer = nullptr,
           std::string_view data = {});
  bool take_back(int at);
  void line_gone(int line, const std::string& why);
  void drop_line(int line);
  int find(std::uint64_t key) const { return index_.find(key); }

  asio::io_context& io_;
  Provision given_;
  Told& told_;
  std::vector<Peer> peers_;
  Slab<Line> lines_;
  IndexSet live_lines_;
  Slab<Out> outs_;
  IndexSet live_;
  IdMap index_;
  std::vector<Due> due_;  // a heap, the soonest first; entries of what has ended are swept out
  struct Soon {
    std::uint64_t key;
    Result result;
  };
  std::vector<Soon> soon_, now_telling_;
  std::vector<int> dirty_;
  std::uint64_t probes_ = 0;
  Micros swept_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  wire::Answer answer_;
};

}  // namespace yewmount::carrier
