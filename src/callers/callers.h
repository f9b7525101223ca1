// The connections of clients: commands in, answers out in the order of the commands. It knows nothing of what
// a command means; what can't be read gets an error line and a close, and everything that waits has a bound.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/listener.h"
#include "net/stream.h"
#include "resp/resp.h"
#include "rules/containers.h"
#include "rules/permits.h"
#include "rules/rules.h"

namespace yewmount::callers {

// Which command an answer is for.
struct Caller {
  int session = -1;
  std::uint64_t token = 0, turn = 0;
};

class Service {
 public:
  virtual ~Service() = default;
  // To be answered with Callers::answer, at once or later. The views are good during the call only. `came`:
  // when its last byte did, which may be a while ago where it had to wait behind others.
  virtual void asked(const Caller& caller, const resp::Command& command, Micros came) = 0;
  // The client has gone: this command needs no answer.
  virtual void left(const Caller& caller) = 0;
  // The client sends no more; it has gone or only reads. Nothing more is to begin for this command, but an
  // answer to what has begun is taken on to it.
  virtual void parting(const Caller& caller) = 0;
};

using permits::CloseReason;

struct Counts {
  std::uint64_t unread = 0, turned_back = 0, parted = 0, lingered = 0;
  std::array<std::uint64_t, permits::kCloseReasons.size()> closed = {};  // by CloseReason
  // Against the rules, and never to be seen: connections closed with a request unanswered whose client was
  // still there, and answers for a request that has one.
  std::uint64_t closed_unanswered = 0, answered_again = 0;
};

class Callers {
 public:
  // most: connections; most_ahead: bytes of commands that wait behind others, of all connections.
  Callers(asio::io_context& io, const asio::ip::tcp::endpoint& at, std::size_t most, std::size_t most_ahead,
          Service& service);
  ~Callers();

  std::uint16_t port() const { return listener_.port(); }
  void answer(const Caller& caller, std::string_view bytes);
  // Whether the client has closed, or ended its sending, by what its socket says now.
  bool hung_up(const Caller& caller) const;
  // The last moment at which every event that there was had been handled: what is read late came after it.
  void caught_up(Micros at) { caught_up_ = at; }
  void error(const Caller& caller, std::string_view why);  // one error line; the connection stays

  void deliver();  // commands and connections that had to wait for room, clients that part
  void flush();
  void sweep(Micros now);  // now and then: closes what takes too long
  void stop_listening() { listener_.accept_pending_and_close(); }
  void close_idle();  // between commands
  void close_all();   // what was read and not asked is turned back
  std::size_t clients() const { return live_.size(); }
  bool closed() const { return live_.size() == 0 && lingering_.empty(); }
  const Counts& counts() const { return counts_; }

 private:
  class Session;
  void taken(asio::ip::tcp::socket socket);
  void admit(asio::ip::tcp::socket socket, Micros waiting_since);
  Micros arrival() const;
  bool make_room();
  void let_go(int session, CloseReason reason);
  Session* find(const Caller& caller) const;

  asio::io_context& io_;
  const std::size_t most_, most_ahead_;
  Service& service_;
  Slab<std::shared_ptr<Session>> sessions_;
  IndexSet live_;
  std::vector<Caller> dirty_, flushing_, waiting_, resuming_, parting_, parted_;
  std::deque<std::pair<Micros, std::shared_ptr<Session>>> lingering_;  // until when
  struct Newcomer {                                                    // accepted, without a place so far
    Micros waiting_since, until;
    asio::ip::tcp::socket socket;
  };
  std::deque<Newcomer> lobby_;
  std::size_t ahead_ = 0;
  std::uint64_t last_token_ = 0;
  Micros caught_up_ = 0;
  Counts counts_;
  net::Listener listener_;
};

}  // namespace yewmount::callers
