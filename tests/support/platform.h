// The operators' platform for tests: scripted nodes, list service and clients that speak its protocol on
// loopback, a record of what crossed the sockets, and a check of that record against the rules. Shares no
// code with the head; RESP2 and HTTP have their own parsers here.
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

// One accepted or opened connection.
struct Conn : std::enable_shared_from_this<Conn> {
  explicit Conn(asio::ip::tcp::socket s) : socket(std::move(s)) {}
  asio::ip::tcp::socket socket;
  std::string in;
  std::array<char, 65536> buffer;
  bool is_closed = false;
  int node = 0;  // of a connection to a node: its number
  std::function<void(Conn&)> on_bytes;
  std::function<void(Conn&)> on_close;
  void send(std::string_view bytes) {
    std::error_code ignored;
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ignored);
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](std::error_code error, std::size_t n) {
                             if (error) {
                               self->is_closed = true;
                               if (self->on_close) self->on_close(*self);
                               return;
                             }
                             self->in.append(self->buffer.data(), n);
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

// A listener on loopback that keeps its connections.
struct Server {
  Server(asio::io_context& io, std::function<void(std::shared_ptr<Conn>)> on_accept)
      : Server(io, 0, std::move(on_accept)) {}
  Server(asio::io_context& io, std::uint16_t port, std::function<void(std::shared_ptr<Conn>)> on_accept)
      : acceptor(io, {asio::ip::address_v4::loopback(), port}), on_accept(std::move(on_accept)) {
    accept();
  }
  void accept() {
    acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket s) {
      if (error) return;
      if (is_blocked) return;  // a connection accepted at the moment of block_connections() is dropped
      auto conn = std::make_shared<Conn>(std::move(s));
      conns.push_back(conn);
      on_accept(conn);
      accept();
    });
  }
  // New connections are no longer established: the kernel's listen queue is full, and none is accepted. After
  // unblock_connections(), the next retry of the client's kernel (one second after the first) establishes
  // them.
  void block_connections() {
    is_blocked = true;
    std::error_code ignored;
    acceptor.cancel(ignored);
    ::listen(acceptor.native_handle(), 0);
    for (int i = 0; i < 8; ++i) {
      queue_fillers.emplace_back(acceptor.get_executor());
      queue_fillers.back().open(asio::ip::tcp::v4());
      queue_fillers.back().native_non_blocking(true);
      const auto to = acceptor.local_endpoint();
      ::connect(queue_fillers.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }
  void unblock_connections() {
    is_blocked = false;
    ::listen(acceptor.native_handle(), 128);
    std::error_code ignored;
    acceptor.non_blocking(true);
    for (asio::ip::tcp::socket s(acceptor.get_executor()); !acceptor.accept(s, ignored);)
      s = asio::ip::tcp::socket(acceptor.get_executor());
    queue_fillers.clear();
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  asio::ip::tcp::acceptor acceptor;
  bool is_blocked = false;
  std::vector<asio::ip::tcp::socket> queue_fillers;
  std::vector<std::shared_ptr<Conn>> conns;
  std::function<void(std::shared_ptr<Conn>)> on_accept;
};

// The platform's tolerance on the time limit that a command states to its node.
inline constexpr long kTimeLimitSlackMs = 150;

// What crossed the sockets in a test.
struct Record {
  struct Request {
    Clock::time_point at;
    long timeout_ms;
    bool is_write;
    std::vector<std::string> answers;
    Clock::time_point answered_at;
    bool has_left = false;  // the client closed its connection
  };
  struct Run {
    std::string id;
    int node;
    Clock::time_point at;
    bool was_answered;  // whether an answer with a value was sent
    long timeout_ms;
  };
  std::map<std::string, Request> requests;
  std::vector<Run> runs;
  // By node: when the head was told that the node drains or is gone.
  std::map<int, Clock::time_point> draining_since;

  // Checks the record against the rules. Returns the first violation in one line, or an empty string.
  std::string first_violation(long slack_ms = 300, long grace_ms = 1000) const {
    for (const auto& [id, a] : requests) {
      if (a.has_left) continue;
      if (a.answers.size() != 1)
        return "rule 1: " + id + " has " + std::to_string(a.answers.size()) + " answers";
      const auto elapsed_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(a.answered_at - a.at).count();
      if (elapsed_ms > a.timeout_ms + slack_ms)
        return "rule 1: " + id + " answered after " + std::to_string(elapsed_ms) + " ms";
      int count = 0;
      bool was_sent = false;
      for (const Run& r : runs)
        if (r.id == id) {
          ++count;
          was_sent |= r.was_answered && a.answers[0] == "$value-" + id;
          const auto elapsed_before_run_ms =
              std::chrono::duration_cast<std::chrono::milliseconds>(r.at - a.at).count();
          if (r.timeout_ms > a.timeout_ms - elapsed_before_run_ms + kTimeLimitSlackMs)
            return "a node was told " + std::to_string(r.timeout_ms) + " ms for " + id +
                   " of which the client has " + std::to_string(a.timeout_ms - elapsed_before_run_ms) +
                   " left";
        }
      if (a.answers[0][0] == '$' && !was_sent)
        return "rule 1: " + id + " was answered with a value that no node sent";
      if (a.is_write && count > 1) return "rule 2: " + id + " ran " + std::to_string(count) + " times";
      if (a.is_write && count > 0 && a.answers[0].starts_with("-BUSY"))
        return "rule 2: " + id + " shed after it ran";
    }
    for (const Run& r : runs)
      if (const auto it = draining_since.find(r.node);
          it != draining_since.end() && r.at > it->second &&
          ms_since(it->second) - ms_since(r.at) > grace_ms + slack_ms)
        return "rule 3: " + r.id + " was sent to a node that must get no new work";
    return {};
  }
};

// Starts the head as a process and gives it scripted nodes, a list service and clients. All run on `io`,
// within the test's thread.
class Platform {
 public:
  asio::io_context io;
  Record record;
  std::vector<std::unique_ptr<Server>> nodes;
  std::vector<std::string> states;
  std::vector<int> cells;
  std::vector<std::int64_t> started_ms;  // start times in the list
  std::unique_ptr<Server> list;
  int version = 1;
  pid_t head = -1;
  nlohmann::json config;
  std::string config_file;
  // YEWMOUNTD names another build of the head, for example to confirm that a test fails without its fix.
  std::string program = std::getenv("YEWMOUNTD") ? std::getenv("YEWMOUNTD") : YEWMOUNTD;
  int port = 0;
  std::vector<std::string> variables;  // added to the head's environment
  std::vector<std::string> arguments;  // added to the head's command line
  int log_fd = -1;                     // file descriptor for the head's standard error; -1: this process's
  // Handles a complete command at a node; by default the node answers with the value.
  std::function<void(int node, Conn&, const Words&)> on_command;
  std::function<void(Conn&, const std::string& target)> on_list;
  std::vector<std::shared_ptr<Conn>> long_polls;  // requests for list changes that are not answered yet
  std::string padding;                            // appended to every value

  explicit Platform(int count = 3) {
    for (int i = 0; i < count; ++i) add_node(i);
    list = serve_list();
    char name[] = "/tmp/yewmount-relay-XXXXXX";
    folder_ = mkdtemp(name);
    config_file = folder_ + "/config.json";
    port = free_port();
    make_config();
  }
  ~Platform() {
    if (head > 0) {
      kill(head, SIGKILL);
      waitpid(head, nullptr, 0);
    }
    ::unlink(config_file.c_str());
    ::rmdir(folder_.c_str());
  }

  void add_node(int cell) {
    const int i = static_cast<int>(nodes.size());
    nodes.push_back(std::make_unique<Server>(io, [this, i](std::shared_ptr<Conn> c) {
      c->node = i;
      c->on_bytes = [this, i](Conn& c) {
        while (c.socket.is_open())
          if (const auto words = next_words(c.in))
            handle_command(i, c, *words);
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
            long_polls.push_back(c.shared_from_this());
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
  void set_node_state(int node, const std::string& state) {
    states[node] = state;
    ++version;
    if (state != "Ready") record.draining_since[node] = Clock::now();
    for (auto& c : std::exchange(long_polls, {})) http(*c, entries().dump());
  }

  void make_config() {
    using nlohmann::json;
    const auto group = [](const char* name, double latency_goal, double limit, const char* repeat) {
      return json{{"name", name},        {"credit", 2.0},         {"objective-s", latency_goal},
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
  void write_config() const { std::ofstream(config_file) << config.dump(); }

  void start() {
    write_config();
    std::string variable = "RELAY_CONFIG=" + config_file;
    std::vector<char*> argv = {program.data(), const_cast<char*>("relay")};
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    std::vector<char*> env = {variable.data()};
    for (std::string& entry : variables) env.push_back(entry.data());
    env.push_back(nullptr);
    posix_spawn_file_actions_t file_actions;  // or the head would inherit the listeners of this test
    posix_spawn_file_actions_init(&file_actions);
    if (log_fd >= 0) posix_spawn_file_actions_adddup2(&file_actions, log_fd, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&file_actions, 3);
    const int error = posix_spawn(&head, program.c_str(), &file_actions, nullptr, argv.data(), env.data());
    posix_spawn_file_actions_destroy(&file_actions);
    ASSERT_EQ(error, 0);
    ASSERT_TRUE(until([&] {
      auto c = connect();
      if (!c) return false;
      c->send(array_of({"PING"}));
      return until([&] { return c->in == "+PONG\r\n"; }, 500);
    }));
  }
  // Waits for the head to exit and returns its exit code; -1 if it does not exit within the limit.
  int wait_for_exit(int limit_ms = 6000) {
    int status = -1;
    int code = -1;
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
  // A client on its own connection. Its answers are recorded in the order of its commands.
  struct Client {
    std::shared_ptr<Conn> conn;
    std::vector<std::string> pending;
    std::size_t size = 0;  // of the last command
    bool closed() const { return conn->is_closed; }
  };
  std::shared_ptr<Client> client(bool reads = true) {
    auto c = std::make_shared<Client>();
    c->conn = connect(reads);
    if (!c->conn) return nullptr;
    c->conn->on_bytes = [this, c = c.get()](Conn& conn) {
      while (auto text = next_answer(conn.in)) {
        if (c->pending.empty()) continue;
        if (text->ends_with(padding)) text->resize(text->size() - padding.size());
        auto& a = record.requests[c->pending.front()];
        a.answers.push_back(*text);
        a.answered_at = Clock::now();
        c->pending.erase(c->pending.begin());
      }
    };
    clients_.push_back(c);
    return c;
  }
  std::string send_request(Client& c, bool write = false, int cell = 0, long timeout_ms = 2000,
                           const std::string& body = "body", std::size_t split_at = 0) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++last_id_);
    Words words{write ? "BLK.WRITE" : "BLK.READ", "7f3a9c21e0b4d655", id,
                std::string("c=") + (write ? "write" : "read") + ",t=gold,d=" + std::to_string(timeout_ms) +
                    ",volume=00000003b4d60021,units=2,shard=" + std::to_string(cell) + ",hosts=1"};
    if (write) words.push_back(body);
    c.pending.push_back(id);
    record.requests[id] = {Clock::now(), timeout_ms, write, {}, {}};
    const std::string all = array_of(words);
    c.size = all.size();
    if (split_at > 0 && split_at < all.size()) {
      c.conn->send(all.substr(0, split_at));
      run_for(2);
      c.conn->send(all.substr(split_at));
    } else {
      c.conn->send(all);
    }
    return id;
  }
  const std::string& answer(const std::string& id) {
    static const std::string none = "none";
    const auto& all = record.requests[id].answers;
    return all.empty() ? none : all.back();
  }
  bool all_answered() const {
    for (const auto& [id, a] : record.requests)
      if (a.answers.empty() && !a.has_left) return false;
    return true;
  }
  std::string value(const std::string& id,
                    const std::string& rest = "$13\r\nused=3,cost=0\r\n$23\r\ninflight=1,latency_ms=5\r\n") {
    const std::string text = "value-" + id + padding;
    return "*3\r\n$" + std::to_string(text.size()) + "\r\n" + text + "\r\n" + rest;
  }
  // Answers a command with its value, followed by `rest` in place of the default figures if given.
  void send_value(Conn& c, const Words& words, const std::string& rest = "") {
    for (auto& r : record.runs)
      if (r.id == words[2] && r.node == c.node) r.was_answered = true;
    c.send(rest.empty() ? value(words[2]) : value(words[2], rest));
  }
  // Runs the event loop until the condition holds. Returns false if it does not within the limit.
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
  void run_for(int ms) {
    until([] { return false; }, ms);
  }

 private:
  void handle_command(int node, Conn& c, const Words& words) {
    const auto limit_at = words[3].find("d=");
    record.runs.push_back({words[2], node, Clock::now(), false, std::stol(words[3].substr(limit_at + 2))});
    if (on_command)
      on_command(node, c, words);
    else
      send_value(c, words);
  }
  int free_port() {
    asio::ip::tcp::acceptor a(io, {asio::ip::address_v4::loopback(), 0});
    return a.local_endpoint().port();
  }
  std::string folder_;
  std::vector<std::shared_ptr<Client>> clients_;
  unsigned last_id_ = 0;
};

}  // namespace yewmount::tests
