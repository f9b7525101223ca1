// Clients: arrivals by schedule that wait for no answer, over kept connections; some close while they wait,
// some behave badly.
#include <algorithm>
#include <asio.hpp>
#include <deque>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"
#include "tests/support/resp_text.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;

constexpr int kMostConnections = 24;  // to one head, from one process
constexpr std::size_t kPipelined = 3;
constexpr int kLeftBehind = 120;  // commands of a rude client that closes behind them
constexpr Micros kRudeEvery = 120 * kMillisecond;

class Clients {
 public:
  Clients(asio::io_context& io, const Plan& plan, int number, const std::string& records)
      : io_(io),
        plan_(plan),
        number_(number),
        record_(records),
        chance_(plan.seed * 77 + static_cast<unsigned>(number)),
        arrival_(io),
        rude_(io) {
    pool_.resize(static_cast<std::size_t>(plan.heads));
    next();
    misbehave();
  }

 private:
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(asio::io_context& io, int head) : socket(io), head(head) {}
    tcp::socket socket;
    int head;
    std::string in;
    std::array<char, 65536> part;
    std::deque<std::string> open;
    bool up = false, gone = false;
  };
  using Shared = std::shared_ptr<Connection>;

  tcp::endpoint address(int head) const { return {asio::ip::make_address(plan_.head(head)), Plan::kPort}; }

  void next() {
    const double rate = plan_.rate * plan_.heads / plan_.clients;
    const double gap = std::exponential_distribution<double>(rate)(chance_);
    arrival_.expires_after(std::chrono::microseconds(static_cast<long>(gap * 1e6)));
    arrival_.async_wait([this](std::error_code) {
      if (now() > plan_.start + plan_.length) return;
      if (now() > plan_.start) ask(static_cast<int>(chance_() % static_cast<unsigned>(plan_.heads)));
      next();
    });
  }

  // On a connection that has none open, sometimes behind another; else on a new one.
  void ask(int head) {
    auto& pool = pool_[static_cast<std::size_t>(head)];
    const std::size_t most = chance_() % 10 == 0 ? kPipelined : 1;
    for (const Shared& c : pool)
      if (c->up && c->open.size() < most) return send(c, false);
    if (pool.size() >= kMostConnections) return;
    auto c = std::make_shared<Connection>(io_, head);
    pool.push_back(c);
    c->socket.async_connect(address(head), [this, c](std::error_code error) {
      if (error) return drop(c);
      c->socket.set_option(tcp::no_delay(true));
      c->up = true;
      read(c);
      send(c, false);
    });
  }

  std::string fresh_id() {
    char id[17];
    std::snprintf(id, sizeof id, "%02x%014x", number_ + 1, ++last_);
    return id;
  }

  std::string command(const std::string& id, int kind, long wait) {
    const bool write = kind > 0;
    tests::Words words{write ? "BLK.WRITE" : "BLK.READ", "7f3a9c21e0b4d655", id,
                       std::string("c=") + kClasses[kind] + ",t=gold,d=" + std::to_string(wait) +
                           ",volume=00000003b4d60021,units=" + std::to_string(1 + chance_() % 3) +
                           ",shard=" + std::to_string(static_cast<int>(chance_() % (plan_.nodes + 1)) - 1) +
                           ",hosts=" + std::to_string(plan_.heads)};
    if (write) words.push_back(std::string(chance_() % 8 == 0 ? 60'000 : 100, 'b'));
    return tests::array_of(words);
  }

  void send(const Shared& c, bool leaves_behind) {
    const std::string id = fresh_id();
    const int kind = static_cast<int>(chance_() % 3);
    const long wait = 300 + static_cast<long>(chance_() % 1700);
    const std::string bytes = command(id, kind, wait);
    const std::string ahead = c->open.empty() ? "-" : c->open.back();
    c->open.push_back(id);
    std::error_code error;
    asio::write(c->socket, asio::buffer(bytes), error);
    if (error) return closed(c);
    record_.write(now(), "ask", id, c->head, kClasses[kind], wait, ahead);
    if (!leaves_behind && plan_.active(Trouble::leaving_clients, 0, now()) && chance_() % 4 == 0)
      leave_soon(c);
  }

  void leave_soon(const Shared& c) {
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(chance_() % 250));
    timer->async_wait([this, c, timer](std::error_code) { leave(c); });
  }

  void leave(const Shared& c) {
    if (c->gone) return;
    std::error_code ignored;
    if (chance_() % 2) c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    for (const std::string& id : c->open) record_.write(now(), "left", id);
    c->open.clear();
    c->socket.close(ignored);
    drop(c);
  }

  void read(const Shared& c) {
    c->socket.async_read_some(asio::buffer(c->part), [this, c](std::error_code error, std::size_t n) {
      if (c->gone) return;
      if (error) return closed(c);
      c->in.append(c->part.data(), n);
      while (auto text = tests::next_answer(c->in)) {
        if (c->open.empty()) {
          record_.write(now(), "unasked", c->head);
          continue;
        }
        std::ranges::replace(*text, ' ', '_');
        record_.write(now(), "answer", c->open.front(), *text);
        c->open.pop_front();
      }
      read(c);
    });
  }

  // The other side has ended it. What was not read there would be sent once more by a real client; here the
  // head's log tells which of the two it was.
  void closed(const Shared& c) {
    for (const std::string& id : c->open) record_.write(now(), "closed", id);
    c->open.clear();
    drop(c);
  }

  void drop(const Shared& c) {
    c->gone = true;
    c->up = false;
    std::error_code ignored;
    c->socket.close(ignored);
    std::erase(pool_[static_cast<std::size_t>(c->head)], c);
  }

  void misbehave() {
    rude_.expires_after(std::chrono::microseconds(kRudeEvery));
    rude_.async_wait([this](std::error_code) {
      const Micros at = now();
      if (at < plan_.start + plan_.length && plan_.active(Trouble::rude_clients, 0, at))
        be_rude(static_cast<int>(chance_() % static_cast<unsigned>(plan_.heads)),
                static_cast<int>(chance_() % 5));
      misbehave();
    });
  }

  void be_rude(int head, int kind) {
    auto c = std::make_shared<Connection>(io_, head);
    c->socket.async_connect(address(head), [this, c, head, kind](std::error_code error) {
      if (error) return;
      switch (kind) {
        case 0:
          return leave_many_behind(c);
        case 1:
          return owed(c, head, kind, "*4\r\n$8\r\nBLK.RE");
        case 2:
          return owed(c, head, kind, "\x02\xfe nonsense\r\n");
        case 3:
          return owed(c, head, kind, "");
        case 4:
          return owed(c, head, kind, command(fresh_id(), 0, 500) + "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f");
      }
    });
  }

  void leave_many_behind(const Shared& c) {
    c->up = true;
    for (int i = 0; i < kLeftBehind && !c->gone; ++i) send(c, true);
    if (!c->gone) leave_soon(c);
  }

  // Such a client waits for its error line or the close.
  void owed(const Shared& c, int head, int kind, const std::string& bytes) {
    std::error_code error;
    asio::write(c->socket, asio::buffer(bytes), error);
    const std::string name = std::to_string(number_) + "-" + std::to_string(++last_rude_);
    record_.write(now(), "rude", head, kind, name);
    await_error(c, name);
  }

  void await_error(const Shared& c, const std::string& name) {
    c->socket.async_read_some(asio::buffer(c->part), [this, c, name](std::error_code error, std::size_t n) {
      c->in.append(c->part.data(), n);
      if (!error && c->in.find("-ERR ") == std::string::npos) return await_error(c, name);
      record_.write(now(), "rude_done", name);
    });
  }

  asio::io_context& io_;
  const Plan& plan_;
  const int number_;
  Recorder record_;
  std::mt19937_64 chance_;
  asio::steady_timer arrival_, rude_;
  std::vector<std::vector<Shared>> pool_;
  unsigned last_ = 0, last_rude_ = 0;
};

}  // namespace

void run_clients(const Plan& plan, int number, const std::string& records) {
  asio::io_context io(1);
  Clients clients(io, plan, number, records);
  io.run();
}

}  // namespace yewmount::soak
