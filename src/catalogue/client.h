// A head's way to the catalogue: looks kept for a stated time, changes that may have been made told apart
// from those that surely were not.
#pragma once
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/link.h"

namespace yewmount::catalogue {

enum class Fate : std::uint8_t {
  done,
  absent,
  conflict,
  unwritable,   // surely not made
  unreachable,  // never handed over: surely not made
  unknown       // handed over and no answer: may have been made
};

struct Result {
  Fate fate = Fate::unreachable;
  wire::Object now, before;
  bool end = false;  // of a walk: there is nothing after these
  std::vector<wire::ScanReply::Entry> entries{};
};

struct ClientProvision {
  std::string address, head_name;
  std::uint16_t port = 0;
  std::int64_t keep = 0;  // how long what was looked up is taken for true, microseconds
  std::size_t keep_most = 0;
};

class Client : public net::LinkHandler {
 public:
  using Then = std::function<void(Result&&)>;
  Client(asio::io_context& io, ClientProvision given);
  ~Client() override;

  // What is kept, or null: then look() asks.
  const wire::Object* kept(std::string_view volume, std::string_view name, std::int64_t now);
  // Then hears exactly once, until `until` at the latest. It is never called from within these functions.
  void look(std::string_view volume, std::string_view name, std::int64_t until, Then then);
  void walk(std::string_view after_volume, std::string_view after_name, int most, std::int64_t until,
            Then then);
  void alter(wire::ChangeRequest change, std::int64_t until, Then then);

  void expire(std::int64_t now);  // a few times a tick
  void flush();
  bool connected() const { return greeted_; }

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  struct Call {
    bool change = false, sent = false;
    std::uint64_t ends = 0;  // where its frame ends among the bytes appended to the link
    std::int64_t until = 0;
    std::string volume, name, frame;
    Then then;
  };
  struct Kept {
    wire::Object object;
    std::int64_t until;
  };
  void connect();
  void send(Call& call);
  void end(std::uint64_t number, Result&& result);
  void keep(const std::string& volume, const std::string& name, const wire::Object& object);

  asio::io_context& io_;
  ClientProvision given_;
  asio::steady_timer again_;
  std::shared_ptr<net::Link> link_;
  bool greeted_ = false, connecting_ = false;
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::string, Kept> kept_;
  std::deque<std::string> kept_order_;
  std::string key_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::catalogue
