// A scripted node for tests. Accepts connections on loopback on the test's own io_context, without a thread,
// and gives the test control of every byte sent.
#pragma once
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "wire/wire.h"

namespace yewmount::tests {

class Peer {
 public:
  explicit Peer(asio::io_context& io, std::uint16_t port = 0)
      : acceptor_(io, {asio::ip::address_v4::loopback(), port}) {
    accept();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  struct Conn {
    asio::ip::tcp::socket socket;
    std::string in;
    bool eof = false;
    bool reading = true;
    std::array<char, 65536> buffer;
    wire::FrameDecoder inbox;
    std::deque<std::string> submits;  // ids of the complete frames received
    std::string_view data;            // payload of the submit passed to on_submit
    std::vector<wire::Submit> seen;
    std::deque<std::string> names;  // owns the strings that `seen` refers to
    void send(std::string_view bytes) {
      std::error_code ignored;  // the other side may have closed
      asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ignored);
    }
    void hello(const std::string& name, std::uint64_t start = 1) {
      std::string out;
      wire::encode(out, wire::Hello{wire::Role::node, name, 0, start});
      send(out);
    }
    void answer(std::uint64_t id, int no, std::string_view data = {},
                wire::Outcome o = wire::Outcome::completed, std::vector<std::uint64_t> sums = {}) {
      std::string out;
      wire::Answer a;
      a.id = id;
      a.attempt = no;
      a.outcome = o;
      a.block_checksums = std::move(sums);
      wire::encode(out, a, data);
      send(out);
    }
    void reset() {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    }
  };
  std::vector<std::shared_ptr<Conn>> conns;
  bool reads = true;                      // whether to read from new connections
  std::function<void(Conn&)> on_connect;  // before anything is read
  std::function<void(Conn&, const wire::Submit&)> on_submit;

  void stop() { acceptor_.close(); }

 private:
  void accept() {
    acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket s) {
      if (error) return;
      s.set_option(asio::ip::tcp::no_delay(true));
      conns.push_back(std::make_shared<Conn>(Conn{std::move(s), {}, false, reads, {}, {}, {}, {}, {}, {}}));
      if (on_connect) on_connect(*conns.back());
      if (conns.back()->socket.is_open() && reads) read(conns.back());
      accept();
    });
  }
  void read(std::shared_ptr<Conn> c) {
    c->socket.async_read_some(asio::buffer(c->buffer), [this, c](std::error_code error, std::size_t n) {
      if (error) {
        c->eof = true;
        return;
      }
      const auto room = c->inbox.prepare(n);
      std::copy_n(c->buffer.data(), n, room.data());
      c->inbox.commit(n);
      wire::Frame f;
      while (c->socket.is_open() && c->inbox.next(f)) {
        if (f.type != wire::FrameType::submit) continue;
        wire::Submit s;
        wire::decode(f, s);
        c->data = f.data;
        c->seen.push_back(s);
        if (on_submit) on_submit(*c, s);
      }
      if (c->socket.is_open()) read(c);
    });
  }
  asio::ip::tcp::acceptor acceptor_;
};

// Runs the event loop until the condition holds. Returns false if it does not within `ms` milliseconds.
template <class Done, class Turn>
bool run_until(asio::io_context& io, Done done, Turn turn, int ms = 3000) {
  const std::int64_t until = monotonic_now() + ms * 1000;
  while (!done()) {
    if (monotonic_now() > until) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(2));
    turn();
  }
  return true;
}

}  // namespace yewmount::tests
