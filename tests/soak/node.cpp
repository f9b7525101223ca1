// A storage node: reads commands, answers each after a random service time, and sends invalid answers while
// the spoil_answers fault is active.
#include <asio.hpp>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"
#include "tests/support/resp_text.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;

constexpr double kMeanServiceTimeMs = 8.0;

class Node {
 public:
  Node(asio::io_context& io, const Plan& plan, int number, const std::string& records)
      : plan_(plan),
        number_(number),
        record_(records),
        random_(plan.seed * 1009 + static_cast<unsigned>(number)),
        acceptor_(io, {asio::ip::make_address(plan.node(number)), Plan::kPort}) {
    accept();
  }

 private:
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
    std::array<char, 65536> buffer;
    bool is_open = true;
    void send(const std::string& bytes) {
      std::error_code error;
      asio::write(socket, asio::buffer(bytes), error);
    }
    void reset() {
      std::error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      is_open = false;
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

  void read(std::shared_ptr<Connection> connection) {
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [this, connection](std::error_code error, std::size_t size) {
                                         if (error || !connection->is_open) return;
                                         connection->in.append(connection->buffer.data(), size);
                                         while (const auto words = tests::next_words(connection->in))
                                           handle_command(connection, *words);
                                         read(connection);
                                       });
  }

  void handle_command(const std::shared_ptr<Connection>& connection, const tests::Words& words) {
    const std::string& id = words.at(2);
    const std::size_t limit_at = words.at(3).find(",d=");
    record_.write(monotonic_now(), "run", id, number_, std::stol(words[3].substr(limit_at + 3)));
    const double service_time_ms = std::exponential_distribution<double>(1 / kMeanServiceTimeMs)(random_);
    auto timer = std::make_shared<asio::steady_timer>(
        acceptor_.get_executor(), std::chrono::microseconds(500 + static_cast<long>(service_time_ms * 1000)));
    timer->async_wait([this, connection, id, timer](std::error_code) {
      if (connection->is_open) answer(*connection, id);
    });
  }

  void answer(Connection& connection, const std::string& id) {
    const std::string value = "value-" + id;
    const std::string valid = "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value +
                              "\r\n$13\r\nused=3,cost=0\r\n$23\r\ninflight=1,latency_ms=5\r\n";
    const bool is_spoiled =
        plan_.is_active(Fault::spoil_answers, number_, monotonic_now()) && random_() % 3 == 0;
    switch (is_spoiled ? random_() % 8 : 99) {
      case 0:
        return connection.send("-ERR failed\r\n");
      case 1:
        record_.write(monotonic_now(), "turned", id, number_);
        return connection.send("-BUSY\r\n");
      case 2:
        return connection.send("\x01\xff noise");
      case 3:
        connection.send(valid.substr(0, valid.size() / 2));
        return connection.reset();
      case 4:
        return connection.send("*3\r\n$3000000000\r\nvvv");
      case 5:
        return connection.reset();
      case 6:  // a duplicate, some milliseconds later
        record_.write(monotonic_now(), "made", id, number_);
        connection.send(valid);
        send_duplicate(connection.shared_from_this(), valid);
        return;
      case 7:
        record_.write(monotonic_now(), "made", id, number_);
        connection.send(valid);
        std::error_code ignored;
        connection.socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    record_.write(monotonic_now(), "made", id, number_);
    connection.send(valid);
  }

  void send_duplicate(std::shared_ptr<Connection> connection, const std::string& bytes) {
    auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor(),
                                                      std::chrono::milliseconds(random_() % 6));
    timer->async_wait([connection, bytes, timer](std::error_code) {
      if (connection->is_open) connection->send(bytes);
    });
  }

  const Plan& plan_;
  const int number_;
  Recorder record_;
  std::mt19937_64 random_;
  tcp::acceptor acceptor_;
};

}  // namespace

void run_node(const Plan& plan, int number, const std::string& records) {
  asio::io_context io(1);
  Node node(io, plan, number, records);
  io.run();
}

}  // namespace yewmount::soak
