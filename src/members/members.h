// Follows the platform's list of nodes over HTTP/1.1: the whole list, then watches that follow each other at
// once. Hands out small indices for nodes and takes them back. What can't be read changes nothing: the last
// list stands and the call is made again.
#pragma once
#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "event_loop/node_table.h"
#include "members/call_policy.h"
#include "net/stream.h"
#include "provision/provision.h"
#include "rules/rules.h"

namespace yewmount::members {

struct Known : event_loop::ListedNode {
  asio::ip::tcp::endpoint at;
  Micros started = 0;  // as told: Unix time; 0: long ago
};

using Told = event_loop::MembershipObserver;

// "10.2.0.1:8500"; throws provision::BadInput.
asio::ip::tcp::endpoint endpoint(const std::string& text);

class Members {
 public:
  // asked: lists come only when asked for, from a service that all heads share.
  Members(asio::io_context& io, bool asked, std::uint64_t seed, Told& told);
  ~Members();

  // The list that the head was started with, as ListKind::cached. Throws provision::BadInput.
  void know(const nlohmann::json& list);
  // From now on there; a whole list first, since what changed meanwhile is not known.
  void follow(const asio::ip::tcp::endpoint& at);
  void check(Micros now);  // calls that take too long, calls to be made again
  void tidy();             // takes back indices of nodes that are gone

  const Known& node(int index) const { return nodes_[index]; }
  int size() const { return nodes_.size(); }
  std::size_t kept() const { return nodes_.used(); }
  std::int64_t version() const { return version_; }
  std::uint64_t failures() const { return failures_; }

 private:
  class Call;
  void call();
  // version_sure: the answer, if any, says nothing against the version that stands.
  void failed(const std::string& why, bool version_sure = true);
  void answered(const std::string& body, bool good, bool useful);
  void hang_up();
  void take(ListKind kind, const nlohmann::json& list);
  Micros up_since(const Known& before, Micros started, Micros now) const;

  asio::io_context& io_;
  Told& told_;
  asio::ip::tcp::endpoint at_;
  std::shared_ptr<Call> call_;                     // the connection, once it is up
  std::shared_ptr<asio::ip::tcp::socket> socket_;  // while it comes up
  // What the call in hand, or the next one, asks for.
  enum class Ask { whole, changes, watch };
  bool following_ = false, waiting_ = false;
  Ask ask_ = Ask::whole;
  Micros called_ = 0, heard_ = 0, again_at_ = 0, older_since_ = 0;  // heard: of this call's answer, last
  CallPolicy policy_;
  std::int64_t version_ = -1;
  event_loop::NodeTable<Known> nodes_;
  const Micros offset_at_start_;  // of the wall clock from the loop's
  Micros listed_at_ = 0;          // when the service last answered; 0: not yet
  std::uint64_t failures_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::members
