// A node: reads commands, works a little on each, answers; in its spoilt times it answers in ways that it
// should not.
#include <asio.hpp>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"
#include "tests/support/resp_text.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;

constexpr double kMeanWork = 8.0;  // milliseconds

class Node {
 public:
  Node(asio::io_context& io, const Plan& plan, int number, const std::string& records)
      : plan_(plan),
        number_(number),
        record_(records),
        chance_(plan.seed * 1009 + static_cast<unsigned>(number)),
        acceptor_(io, {asio::ip::make_address(plan.node(number)), Plan::kPort}) {
    accept();
  }

 private:
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
    std::array<char, 65536> part;
    bool open = true;
    void send(const std::string& bytes) {
      std::error_code error;
      asio::write(socket, asio::buffer(bytes), error);
    }
    void reset() {
      std::error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      open = false;
    }
  };

  void accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (!error) {
        socket.set_option(tcp::no_delay(true));
        read(std::make_shared<Connection>(std::move(socket)));
      }
      accept();
    });
  }

  void read(std::shared_ptr<Connection> c) {
    c->socket.async_read_some(asio::buffer(c->part), [this, c](std::error_code error, std::size_t n) {
      if (error || !c->open) return;
      c->in.append(c->part.data(), n);
      while (const auto words = tests::next_words(c->in)) take(c, *words);
      read(c);
    });
  }

  void take(const std::shared_ptr<Connection>& c, const tests::Words& words) {
    const std::string& id = words.at(2);
    const std::size_t told = words.at(3).find(",d=");
    record_.write(now(), "run", id, number_, std::stol(words[3].substr(told + 3)));
    const double work = std::exponential_distribution<double>(1 / kMeanWork)(chance_);
    auto timer = std::make_shared<asio::steady_timer>(
        acceptor_.get_executor(), std::chrono::microseconds(500 + static_cast<long>(work * 1000)));
    timer->async_wait([this, c, id, timer](std::error_code) {
      if (c->open) answer(*c, id);
    });
  }

  void answer(Connection& c, const std::string& id) {
    const std::string value = "value-" + id;
    const std::string good = "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value +
                             "\r\n$13\r\nused=3,cost=0\r\n$23\r\ninflight=1,latency_ms=5\r\n";
    const bool spoils = plan_.active(Trouble::spoil_answers, number_, now()) && chance_() % 3 == 0;
    switch (spoils ? chance_() % 8 : 99) {
      case 0:
        return c.send("-ERR failed\r\n");
      case 1:
        record_.write(now(), "turned", id, number_);
        return c.send("-BUSY\r\n");
      case 2:
        return c.send("\x01\xff noise");
      case 3:
        c.send(good.substr(0, good.size() / 2));
        return c.reset();
      case 4:
        return c.send("*3\r\n$3000000000\r\nvvv");
      case 5:
        return c.reset();
      case 6:  // a second copy, some milliseconds late
        record_.write(now(), "made", id, number_);
        c.send(good);
        late_copy(c.shared_from_this(), good);
        return;
      case 7:
        record_.write(now(), "made", id, number_);
        c.send(good);
        std::error_code ignored;
        c.socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    record_.write(now(), "made", id, number_);
    c.send(good);
  }

  void late_copy(std::shared_ptr<Connection> c, const std::string& bytes) {
    auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor(),
                                                      std::chrono::milliseconds(chance_() % 6));
    timer->async_wait([c, bytes, timer](std::error_code) {
      if (c->open) c->send(bytes);
    });
  }

  const Plan& plan_;
  const int number_;
  Recorder record_;
  std::mt19937_64 chance_;
  tcp::acceptor acceptor_;
};

}  // namespace

void run_node(const Plan& plan, int number, const std::string& records) {
  asio::io_context io(1);
  Node node(io, plan, number, records);
  io.run();
}

}  // namespace yewmount::soak
