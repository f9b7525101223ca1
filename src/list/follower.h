// Follows the list of nodes: whole, changes, watch. Keeps the last one on disk, so that a head can start from
// that alone. Small indices for nodes are handed out here and taken back once all who know them agree.
#pragma once
#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/node_table.h"
#include "net/link.h"
#include "rules/rules.h"

namespace yewmount::list {

struct Provision {
  std::string address, head_name, file;
  std::uint16_t port = 0;
};

struct Known : event_loop::ListedNode {
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t start = 0;
};

using Told = event_loop::MembershipObserver;

class Follower : public net::LinkHandler {
 public:
  Follower(asio::io_context& io, Provision given, Told& told);
  ~Follower() override;

  // The list kept on disk, told as ListKind::cached; an empty one where there is none yet. Throws
  // std::runtime_error with one line where the file is there and can't be read or believed.
  void start(Micros now);
  void watch();  // each is answered once, by a list or by ListKind::failed
  void fetch();
  void tidy();  // now and then: takes back indices
  void flush();

  const Known& node(int index) const { return nodes_[index]; }
  int find(const std::string& name) const { return nodes_.find(name); }  // -1: never heard of, or forgotten
  int size() const { return nodes_.size(); }
  std::uint64_t version() const { return version_; }

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  void ask(bool watch);
  void take(const wire::List& list, Micros now);
  void save();

  asio::io_context& io_;
  Provision given_;
  Told& told_;
  std::shared_ptr<net::Link> link_;
  bool connecting_ = false, greeted_ = false, watching_ = false;
  std::vector<bool> asks_;  // waiting for the link: watch or fetch
  int answers_due_ = 0;
  std::uint64_t version_ = 0;
  event_loop::NodeTable<Known> nodes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::list
