// The operators' platform as a test needs it: scripted nodes, list service and clients that speak its
// protocol on loopback, a record of what crossed the sockets, and the rules held against that record. It
// shares no code with the head: RESP2 and HTTP are read here by other means.
#pragma once
#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/support/resp_text.h"

namespace yewmount::tests {

using Clock = std::chrono::steady_clock;

inline long ms_since(Clock::time_point from) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - from).count();
}

struct Conn : std::enable_shared_from_this<Conn> {
  explicit Conn(asio::ip::tcp::socket s) : socket(std::move(s)) {}
  asio::ip::tcp::socket socket;
  std::string in;
  std::array<char, 65536> part;
  bool gone = false;
  int whose = 0;
  std::function<void(Conn&)> on_bytes, on_gone;
  void send(std::string_view bytes) {
    std::error_code ignored;
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ignored);
  }
  void read() {
    socket.async_read_some(asio::buffer(part),
                           [self = shared_from_this()](std::error_code error, std::size_t n) {
                             if (error) {
                               self->gone = true;
                               if (self->on_gone) self->on_gone(*self);
                               return;
                             }
                             self->in.append(self->part.data(), n);
                             if (self->on_bytes) self->on_bytes(*self);
                             if (self->socket.is_open()) self->read();
                           });
  }
  void reset() {
    std::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
};

struct Server {
  Server(asio::io_context& io, std::function<void(std::shared_ptr<Conn>)> taken)
      : Server(io, 0, std::move(taken)) {}
  Server(asio::io_context& io, std::uint16_t port, std::function<void(std::shared_ptr<Conn>)> taken)
      : acceptor(io, {asio::ip::address_v4::loopback(), port}), taken(std::move(taken)) {
    accept();
  }
  void accept() {
    acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket s) {
      if (error) return;
      if (held) return;  // what comes in the very moment of hold() is nobody's
      auto conn = std::make_shared<Conn>(std::move(s));
      conns.push_back(conn);
      taken(conn);
      accept();
    });
  }
  // From now on connections stay in the making: no more fit into the kernel's queue, and none is taken. Once
  // let on, the next try of the other side's kernel (a second after its first) brings them up.
  void hold() {
    held = true;
    std::error_code ignored;
    acceptor.cancel(ignored);
    ::listen(acceptor.native_handle(), 0);
    for (int i = 0; i < 8; ++i) {
      fillers.emplace_back(acceptor.get_executor());
      fillers.back().open(asio::ip::tcp::v4());
      fillers.back().native_non_blocking(true);
      const auto to = acceptor.local_endpoint();
      ::connect(fillers.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }
  void let_on() {
    held = false;
    ::listen(acceptor.native_handle(), 128);
    std::error_code ignored;
    acceptor.non_blocking(true);
    for (asio::ip::tcp::socket s(acceptor.get_executor()); !acceptor.accept(s, ignored);)
      s = asio::ip::tcp::socket(acceptor.get_executor());
    fillers.clear();
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  asio::ip::tcp::acceptor acceptor;
  bool held = false;
  std::vector<asio::ip::tcp::socket> fillers;
  std::vector<std::shared_ptr<Conn>> conns;
  std::function<void(std::shared_ptr<Conn>)> taken;
};

// The operators' slack on the time that an attempt tells its node.
inline constexpr long kToldSlack = 150;

struct Record {
  struct Asked {
    Clock::time_point at;
    long wait;
    bool effect;
    std::vector<std::string> answers;
    Clock::time_point answered;
    bool left = false;
  };
  struct Run {
    std::string id;
    int node;
    Clock::time_point at;
    bool value;  // whether an answer with a value was sent for it
    long wait;
  };
  std::map<std::string, Asked> asked;
  std::vector<Run> runs;
  std::map<int, Clock::time_point> told_away;  // by node: when the head was told that it drains or is gone

  // What crossed the sockets against the rules; empty, or the first breach in one line.
  std::string breach(long slack_ms = 300, long grace_ms = 1000) const {
    for (const auto& [id, a] : asked) {
      if (a.left) continue;
      if (a.answers.size() != 1)
        return "rule 1: " + id + " has " + std::to_string(a.answers.size()) + " answers";
      const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(a.answered - a.at).count();
      if (took > a.wait + slack_ms)
        return "rule 1: " + id + " answered after " + std::to_string(took) + " ms";
      int count = 0;
      bool made = false;
      for (const Run& r : runs)
        if (r.id == id) {
          ++count;
          made |= r.value && a.answers[0] == "$value-" + id;
          const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(r.at - a.at).count();
          if (r.wait > a.wait - spent + kToldSlack)
            return "a node was told " + std::to_string(r.wait) + " ms for " + id +
                   " of which the client has " + std::to_string(a.wait - spent) + " left";
        }
      if (a.answers[0][0] == '$' && !made) return "rule 1: " + id + " was given what no node made";
      if (a.effect && count > 1) return "rule 2: " + id + " ran " + std::to_string(count) + " times";
      if (a.effect && count > 0 && a.answers[0].starts_with("-BUSY"))
        return "rule 2: " + id + " shed after it ran";
    }
    for (const Run& r : runs)
      if (const auto it = told_away.find(r.node); it != told_away.end() && r.at > it->second &&
                                                  ms_since(it->second) - ms_since(r.at) > grace_ms + slack_ms)
        return "rule 3: " + r.id + " sent to a node that was to get nothing new";
    return {};
  }
};

class Platform {
 public:
  asio::io_context io;
  Record record;
  std::vector<std::unique_ptr<Server>> nodes;
  std::vector<std::string> states;
  std::vector<int> cells;
  std::vector<std::int64_t> started_ms;  // as the list tells it
  std::unique_ptr<Server> list;
  int version = 1;
  pid_t head = -1;
  nlohmann::json config;
  // Another build of the head may be put under the same tests: that a test fails without its mend, say.
  std::string file, program = std::getenv("YEWMOUNTD") ? std::getenv("YEWMOUNTD") : YEWMOUNTD;
  int port = 0;
  std::vector<std::string> variables;  // of the head's environment, beside its configuration
  int log_to = -1;                     // the head's standard error; -1: this process's
  // What a node does with a command that it has read whole; by default it answers with the value.
  std::function<void(int node, Conn&, const Words&)> on_command;
  std::function<void(Conn&, const std::string& target)> on_list;
  std::vector<std::shared_ptr<Conn>> waiting;  // watches
  std::string padding;                         // behind every value, to make it long

  explicit Platform(int count = 3) {
    for (int i = 0; i < count; ++i) add_node(i);
    list = serve_list();
    char name[] = "/tmp/yewmount-relay-XXXXXX";
    folder_ = mkdtemp(name);
    file = folder_ + "/config.json";
    port = free_port();
    settings();
  }
  ~Platform() {
    if (head > 0) {
      kill(head, SIGKILL);
      waitpid(head, nullptr, 0);
    }
    ::unlink(file.c_str());
    ::rmdir(folder_.c_str());
  }

  void add_node(int cell) {
    const int i = static_cast<int>(nodes.size());
    nodes.push_back(std::make_unique<Server>(io, [this, i](std::shared_ptr<Conn> c) {
      c->whose = i;
      c->on_bytes = [this, i](Conn& c) {
        while (c.socket.is_open())
          if (const auto words = next_words(c.in))
            command(i, c, *words);
          else
            break;
      };
      c->read();
    }));
    states.push_back("Ready");
    cells.push_back(cell);
    started_ms.push_back(0);
  }
  std::unique_ptr<Server> serve_list(std::uint16_t port = 0) {
    return std::make_unique<Server>(io, port, [this](std::shared_ptr<Conn> c) {
      c->on_bytes = [this](Conn& c) {
        for (std::size_t end; (end = c.in.find("\r\n\r\n")) != std::string::npos;) {
          const std::string target = c.in.substr(4, c.in.find(' ', 4) - 4);
          c.in.erase(0, end + 4);
          if (on_list)
            on_list(c, target);
          else if (target.find('?') == std::string::npos ||
                   std::stoi(target.substr(target.find("from=") + 5)) < version)
            http(c, entries().dump());
          else
            waiting.push_back(c.shared_from_this());
        }
      };
      c->read();
    });
  }
  static void http(Conn& c, const std::string& body) {
    c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  nlohmann::json entries() const {
    nlohmann::json all = nlohmann::json::array();
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (states[i] != "Gone")
        all.push_back({{"id", "s-" + std::to_string(i)},
                       {"addr", nodes[i]->address()},
                       {"zone", "a"},
                       {"kind", "k"},
                       {"cell", cells[i]},
                       {"state", states[i]},
                       {"weight", 1.0},
                       {"started_ms", started_ms[i]}});
    return {{"version", version}, {"full", true}, {"servers", all}};
  }
  void change(int node, const std::string& state) {
    states[node] = state;
    ++version;
    if (state != "Ready") record.told_away[node] = Clock::now();
    for (auto& c : std::exchange(waiting, {})) http(*c, entries().dump());
  }

  void settings() {
    using nlohmann::json;
    const auto group = [](const char* name, double goal, double limit, const char* repeat) {
      return json{{"name", name},        {"credit", 2.0},         {"objective-s", goal},
                  {"deadline-s", limit}, {"idempotency", repeat}, {"key-scope", "all"},
                  {"late-worth", 0.2},   {"memory-span-s", 5.0}};
    };
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:" + std::to_string(port)},
              {"discovery", list->address()},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
              {"known", entries()},
              {"settings",
               {{"balancers", 1},
                {"rank", 0},
                {"registry-mode", "push"},
                {"weights", "rough"},
                {"classes", {group("read", 0.3, 2, "read_like"), group("write", 0.6, 3, "non_idempotent")}},
                {"plans", {{{"name", "gold"}, {"nominal", 100.0}, {"reservation", 2000.0}}}},
                {"family-info",
                 {{"cold-bears", 30.0},
                  {"usual-units", 2.0},
                  {"most-units", 6},
                  {"share-worth", 0.35},
                  {"beyond-share", 0.1},
                  {"meter-s", 0.5},
                  {"tells-elsewhere", true},
                  {"writes", {false, true}}}},
                {"limits",
                 {{"may-duplicate", false},
                  {"cancel", true},
                  {"probes", false},
                  {"retry-after", false},
                  {"max-attempts", 3},
                  {"connect-timeout-s", 0.25},
                  {"conn-idle-s", 15.0},
                  {"streams-per-conn", 32}}},
                {"report", {{"fields", {"outstanding", "recent_ms"}}}},
                {"rules",
                 {{"answer-slack-s", 0.008},
                  {"cold-from", 0.2},
                  {"fall-multiple", 4.0},
                  {"warm-within-s", 10.0},
                  {"overload-for-s", 3.0},
                  {"drain-grace-s", 1.0}}}}}};
  }
  void write_config() const { std::ofstream(file) << config.dump(); }

  void start() {
    write_config();
    std::string variable = "RELAY_CONFIG=" + file;
    char* argv[] = {program.data(), const_cast<char*>("relay"), nullptr};
    std::vector<char*> env = {variable.data()};
    for (std::string& v : variables) env.push_back(v.data());
    env.push_back(nullptr);
    posix_spawn_file_actions_t only_its_own;  // or the head would hold the listeners of this test open
    posix_spawn_file_actions_init(&only_its_own);
    if (log_to >= 0) posix_spawn_file_actions_adddup2(&only_its_own, log_to, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&only_its_own, 3);
    const int failed = posix_spawn(&head, program.c_str(), &only_its_own, nullptr, argv, env.data());
    posix_spawn_file_actions_destroy(&only_its_own);
    ASSERT_EQ(failed, 0);
    ASSERT_TRUE(until([&] {
      auto c = connect();
      if (!c) return false;
      c->send(array_of({"PING"}));
      return until([&] { return c->in == "+PONG\r\n"; }, 500);
    }));
  }
  // The head's exit code once it has ended; -1 by the time limit.
  int ended(int limit_ms = 6000) {
    int status = -1, code = -1;
    until(
        [&] {
          if (waitpid(head, &status, WNOHANG) != head) return false;
          head = -1;
          code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
          return true;
        },
        limit_ms);
    return code;
  }

  std::shared_ptr<Conn> connect(bool reads = true) {
    asio::ip::tcp::socket s(io);
    std::error_code error;
    s.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
    if (error) return nullptr;
    auto c = std::make_shared<Conn>(std::move(s));
    if (reads) c->read();
    return c;
  }
  // A client with commands of its own on one connection; its answers go into the record, in order.
  struct Client {
    std::shared_ptr<Conn> conn;
    std::vector<std::string> open;
    std::size_t size = 0;  // of the last command
    bool closed() const { return conn->gone; }
  };
  std::shared_ptr<Client> client(bool reads = true) {
    auto c = std::make_shared<Client>();
    c->conn = connect(reads);
    if (!c->conn) return nullptr;
    c->conn->on_bytes = [this, c = c.get()](Conn& conn) {
      while (auto text = next_answer(conn.in)) {
        if (c->open.empty()) continue;
        if (text->ends_with(padding)) text->resize(text->size() - padding.size());
        auto& a = record.asked[c->open.front()];
        a.answers.push_back(*text);
        a.answered = Clock::now();
        c->open.erase(c->open.begin());
      }
    };
    clients_.push_back(c);
    return c;
  }
  std::string ask(Client& c, bool write = false, int cell = 0, long wait = 2000,
                  const std::string& body = "body", std::size_t cut = 0) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++last_);
    Words words{write ? "BLK.WRITE" : "BLK.READ", "7f3a9c21e0b4d655", id,
                std::string("c=") + (write ? "write" : "read") + ",t=gold,d=" + std::to_string(wait) +
                    ",volume=00000003b4d60021,units=2,shard=" + std::to_string(cell) + ",hosts=1"};
    if (write) words.push_back(body);
    c.open.push_back(id);
    record.asked[id] = {Clock::now(), wait, write, {}, {}};
    const std::string all = array_of(words);
    c.size = all.size();
    if (cut > 0 && cut < all.size()) {
      c.conn->send(all.substr(0, cut));
      idle(2);
      c.conn->send(all.substr(cut));
    } else {
      c.conn->send(all);
    }
    return id;
  }
  const std::string& answer(const std::string& id) {
    static const std::string none = "none";
    const auto& all = record.asked[id].answers;
    return all.empty() ? none : all.back();
  }
  bool answered() const {
    for (const auto& [id, a] : record.asked)
      if (a.answers.empty() && !a.left) return false;
    return true;
  }
  std::string value(const std::string& id,
                    const std::string& rest = "$13\r\nused=3,cost=0\r\n$23\r\ninflight=1,latency_ms=5\r\n") {
    const std::string v = "value-" + id + padding;
    return "*3\r\n$" + std::to_string(v.size()) + "\r\n" + v + "\r\n" + rest;
  }
  // The value for a command, with other figures behind it where a test says so.
  void give(Conn& c, const Words& words, const std::string& rest = "") {
    for (auto& r : record.runs)
      if (r.id == words[2] && r.node == c.whose) r.value = true;
    c.send(rest.empty() ? value(words[2]) : value(words[2], rest));
  }
  template <class Done>
  bool until(Done done, int limit_ms = 4000) {
    const auto from = Clock::now();
    while (!done()) {
      if (ms_since(from) > limit_ms) return false;
      io.run_for(std::chrono::milliseconds(2));
      if (io.stopped()) io.restart();
    }
    return true;
  }
  void idle(int ms) {
    until([] { return false; }, ms);
  }

 private:
  void command(int node, Conn& c, const Words& words) {
    const auto d = words[3].find("d=");
    record.runs.push_back({words[2], node, Clock::now(), false, std::stol(words[3].substr(d + 2))});
    if (on_command)
      on_command(node, c, words);
    else
      give(c, words);
  }
  int free_port() {
    asio::ip::tcp::acceptor a(io, {asio::ip::address_v4::loopback(), 0});
    return a.local_endpoint().port();
  }
  std::string folder_;
  std::vector<std::shared_ptr<Client>> clients_;
  unsigned last_ = 0;
};

}  // namespace yewmount::tests
