// Stand-ins of the second review: shelfs, discovery and clients that speak the platform's protocol on loopback,
// and the heads as child processes. One thread, one poll loop, POSIX only. Everything that is sent, answered
// and run is written to record.txt.
#pragma once
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kit {

using Micros = std::int64_t;
constexpr Micros kMs = 1'000;
constexpr Micros kSecond = 1'000'000;

inline Micros clock_us(clockid_t id) {
  timespec t{};
  ::clock_gettime(id, &t);
  return static_cast<Micros>(t.tv_sec) * kSecond + t.tv_nsec / 1000;
}
inline Micros now() { return clock_us(CLOCK_MONOTONIC); }
inline Micros wall_ms() { return clock_us(CLOCK_REALTIME) / 1000; }

[[noreturn]] inline void cannot_run(const std::string& why);

// --- record -----------------------------------------------------------------------------------------------

inline FILE* record_file = nullptr;
inline Micros started_at = now();

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  if (!record_file) return;
  std::fprintf(record_file, "%9.3f ", static_cast<double>(now() - started_at) / 1e6);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
}

// --- loop -------------------------------------------------------------------------------------------------

struct Handler {
  short events = POLLIN;
  std::function<void(short)> call;
};
inline std::map<int, Handler> handlers;
inline std::multimap<Micros, std::function<void()>> timers;

inline void at(Micros when, std::function<void()> call) { timers.emplace(when, std::move(call)); }
inline void after(Micros delay, std::function<void()> call) { at(now() + delay, std::move(call)); }

// Runs the loop until `until` or until `done` returns true.
inline void run_until(Micros until, const std::function<bool()>& done = [] { return false; }) {
  static const char* const script = std::getenv("SCRIPT_PID");
  std::vector<pollfd> fds;
  while (now() < until && !done()) {
    // The script is gone, even by SIGKILL: end, and all processes with this one.
    if (script && ::kill(static_cast<pid_t>(std::atol(script)), 0) != 0) cannot_run("the script has ended");
    while (!timers.empty() && timers.begin()->first <= now()) {
      auto call = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      call();
    }
    Micros wait = until - now();
    if (!timers.empty()) wait = std::min(wait, timers.begin()->first - now());
    wait = std::max<Micros>(0, std::min<Micros>(wait, 20 * kMs));
    fds.clear();
    for (const auto& [fd, handler] : handlers) fds.push_back({fd, handler.events, 0});
    timespec timeout{0, static_cast<long>(wait * 1000)};
    if (::ppoll(fds.data(), fds.size(), &timeout, nullptr) <= 0) continue;
    for (const pollfd& fd : fds) {
      if (fd.revents == 0) continue;
      const auto it = handlers.find(fd.fd);
      if (it == handlers.end()) continue;
      auto call = it->second.call;
      call(fd.revents);
    }
  }
}

// --- sockets ----------------------------------------------------------------------------------------------

struct Address {
  std::uint32_t ip = INADDR_LOOPBACK;
  std::uint16_t port = 0;
  sockaddr_in to_sockaddr() const {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(ip);
    a.sin_port = htons(port);
    return a;
  }
  std::string text() const {
    return "127." + std::to_string(ip >> 16 & 255) + "." + std::to_string(ip >> 8 & 255) + "." +
           std::to_string(ip & 255) + ":" + std::to_string(port);
  }
};

// A connection; lives as long as it is open or someone holds it.
struct Conn : std::enable_shared_from_this<Conn> {
  int fd = -1;
  bool connecting = false;
  bool cut = false;  // nothing is read
  std::string in;
  std::string out;
  std::function<void(Conn&)> on_bytes;
  std::function<void(Conn&)> on_close;  // closed by the other side
  Micros opened_at = now();
  int tag = 0;

  bool open() const { return fd >= 0; }
  void start(int socket, bool is_connecting) {
    fd = socket;
    connecting = is_connecting;
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    watch();
  }
  void watch() {
    auto self = shared_from_this();
    if (cut) {
      handlers.erase(fd);
      return;
    }
    handlers[fd] = {static_cast<short>(connecting || !out.empty() ? POLLIN | POLLOUT : POLLIN),
                    [self](short events) { self->ready(events); }};
  }
  void send(const std::string& bytes) {
    if (!open()) return;
    out += bytes;
    if (!connecting) flush();
  }
  void flush() {
    while (open() && !out.empty()) {
      const ssize_t n = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        out.erase(0, static_cast<std::size_t>(n));
        continue;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) break;
      return closed_by_peer();
    }
    if (open()) watch();
  }
  void ready(short events) {
    const auto self = shared_from_this();
    if (connecting && (events & (POLLOUT | POLLERR | POLLHUP))) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return closed_by_peer();
      connecting = false;
    }
    if (events & (POLLIN | POLLHUP | POLLERR)) {
      char buffer[65536];
      while (open()) {
        const ssize_t n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) {
          in.append(buffer, static_cast<std::size_t>(n));
          continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (!in.empty() && on_bytes) on_bytes(*this);
        return closed_by_peer();
      }
      if (open() && !in.empty() && on_bytes) on_bytes(*this);
    }
    if (open() && !connecting) flush();
  }
  void close() {
    if (fd < 0) return;
    handlers.erase(fd);
    ::close(fd);
    fd = -1;
  }
  void closed_by_peer() {
    if (fd < 0) return;
    const auto self = shared_from_this();
    close();
    if (on_close) on_close(*this);
  }
};
using ConnPtr = std::shared_ptr<Conn>;

inline int new_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) cannot_run("no socket");
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

inline ConnPtr connect_to(const Address& address) {
  const int fd = new_socket();
  const sockaddr_in to = address.to_sockaddr();
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  auto conn = std::make_shared<Conn>();
  if (result < 0 && errno != EINPROGRESS) {
    ::close(fd);
    return conn;
  }
  conn->start(fd, true);
  return conn;
}

struct Listener {
  int fd = -1;
  Address address;
  std::function<void(ConnPtr)> on_accept;
  int receive_buffer = 0;  // 0: as it is
  int segment = 0;         // bytes of a TCP segment; 0: as it is
  void open(std::uint32_t ip, int backlog = 512, std::uint16_t port = 0) {
    fd = new_socket();
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    if (segment > 0) ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    Address wanted{ip, port};
    sockaddr_in a = wanted.to_sockaddr();
    socklen_t size = sizeof a;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, backlog) != 0)
      cannot_run("cannot listen");
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    address = {ip, ntohs(a.sin_port)};
    resume();
  }
  void resume() {
    handlers[fd] = {POLLIN, [this](short) { accept_all(); }};
  }
  // Accepts nothing more: connections stay in the queue of the kernel, and once that is full none comes up.
  void pause() { handlers.erase(fd); }
  void accept_all() {
    while (true) {
      const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (client < 0) return;
      auto conn = std::make_shared<Conn>();
      conn->start(client, false);
      on_accept(conn);
    }
  }
  void close() {
    if (fd < 0) return;
    handlers.erase(fd);
    ::close(fd);
    fd = -1;
  }
};

// A port that is free now, for a head.
inline Address free_address(std::uint32_t ip) {
  Listener listener;
  listener.open(ip);
  const Address address = listener.address;
  listener.close();
  return address;
}

// --- RESP2 ------------------------------------------------------------------------------------------------

inline std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

// Takes one command off the front of `in`; returns false if there is no whole one.
inline bool take_command(std::string& in, std::vector<std::string>& words) {
  words.clear();
  std::size_t position = 0;
  const auto line = [&](std::string& text) {
    const std::size_t end = in.find("\r\n", position);
    if (end == std::string::npos) return false;
    text = in.substr(position, end - position);
    position = end + 2;
    return true;
  };
  std::string text;
  if (!line(text) || text[0] != '*') return false;
  const int count = std::atoi(text.c_str() + 1);
  for (int i = 0; i < count; ++i) {
    if (!line(text)) return false;
    const std::size_t size = static_cast<std::size_t>(std::atol(text.c_str() + 1));
    if (in.size() < position + size + 2) return false;
    words.push_back(in.substr(position, size));
    position += size + 2;
  }
  in.erase(0, position);
  return true;
}

// Takes one answer of a head off the front of `in`: "$value", "+line" or "-line".
inline bool take_answer(std::string& in, std::string& answer) {
  const std::size_t end = in.find("\r\n");
  if (end == std::string::npos) return false;
  if (in[0] != '$') {
    answer = in.substr(0, end);
    in.erase(0, end + 2);
    return true;
  }
  const std::size_t size = static_cast<std::size_t>(std::atol(in.c_str() + 1));
  if (in.size() < end + 2 + size + 2) return false;
  answer = "$" + in.substr(end + 2, size);
  in.erase(0, end + 2 + size + 2);
  return true;
}

inline std::string field(const std::string& fields, const std::string& name) {
  const std::string wanted = "," + name + "=";
  const std::string all = "," + fields;
  const std::size_t from = all.find(wanted);
  if (from == std::string::npos) return "";
  const std::size_t end = all.find(',', from + 1);
  return all.substr(from + wanted.size(), end == std::string::npos ? end : end - from - wanted.size());
}

inline std::uint64_t last_random = 0x9E3779B97F4A7C15ULL;
inline std::uint64_t random64() {
  last_random ^= last_random << 13;
  last_random ^= last_random >> 7;
  last_random ^= last_random << 17;
  return last_random;
}
inline double random_share() { return static_cast<double>(random64() >> 11) / 9007199254740992.0; }
inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// --- shelf ------------------------------------------------------------------------------------------------

// A shelf with `slots` places that serve in order of arrival; others wait. Answers of one connection go out in
// the order of its commands, which a head keeps by having one out at a time.
struct Shelf {
  struct Job {
    ConnPtr conn;
    std::vector<std::string> words;
    Micros came_at;
    std::uint64_t turn = 0;  // place in the order of its connection
  };
  // The answers of one connection go out in the order of its commands.
  struct Order {
    std::uint64_t next = 0;  // turn of the next command
    std::uint64_t first = 0;  // turn of the first without an answer
    std::map<std::uint64_t, std::string> known;
  };
  std::map<Conn*, Order> orders;
  std::map<Conn*, std::string> arrived;
  void write(const ConnPtr& conn, const std::string& bytes) {
    if (one_way == 0) return conn->send(bytes);
    after(one_way, [conn, bytes] { conn->send(bytes); });
  }
  // Sends a second copy unless something else has come on the connection meanwhile.
  void copy(const Job& job, const std::string& bytes) {
    const Micros delay = copy_after();
    if (delay == 0) return;
    after(delay, [this, job, bytes] {
      if (!job.conn->open() || orders[job.conn.get()].next != job.turn + 1) return;
      record("shelf %s: sends the answer to %s again", id.c_str(), job.words[2].c_str());
      write(job.conn, bytes);
    });
  }
  // Gives a command its answer; an empty one means that it gets none.
  void give(const Job& job, const std::string& bytes) {
    if (!job.conn->open()) return;
    Order& order = orders[job.conn.get()];
    order.known[job.turn] = bytes;
    for (auto it = order.known.begin(); it != order.known.end() && it->first == order.first;
         it = order.known.erase(it), ++order.first)
      if (!it->second.empty()) write(job.conn, it->second);
  }
  // Whether a command is dropped without a word as its turn comes.
  std::function<bool(const Job&)> drops = [](const Job&) { return false; };
  std::string id;
  std::string zone = "batiment-a";
  int cell = 0;
  std::string state = "Ready";
  Micros started_ms = 0;
  Listener listener;
  std::vector<ConnPtr> conns;
  std::deque<Job> queue;
  int running = 0;
  int slots = 2;
  std::size_t queue_limit = 100;
  std::uint64_t epoch = 0;
  Micros hangs_until = 0;
  Micros one_way = 0;  // of the network between a head and this shelf
  // How long after an answer a second copy of it comes, if nothing else waits on the connection; 0: none comes.
  std::function<Micros()> copy_after = [] { return Micros{0}; };
  std::function<Micros(const Job&)> service_time = [](const Job&) { return 36 * kMs; };
  std::function<void(Shelf&, const Job&)> on_command;  // a command has come whole

  void open(const std::string& name, int number, std::uint32_t ip) {
    id = name;
    cell = number;
    listener.on_accept = [this](ConnPtr conn) { take(conn); };
    listener.open(ip);
  }
  void take(ConnPtr conn) {
    conns.push_back(conn);
    conn->on_bytes = [this](Conn& c) {
      if (one_way == 0) return read(c);
      const auto self = c.shared_from_this();
      auto bytes = std::make_shared<std::string>(std::move(c.in));
      c.in.clear();
      after(one_way, [this, self, bytes] {
        arrived[self.get()] += *bytes;
        if (!self->open()) return;
        std::swap(self->in, arrived[self.get()]);
        read(*self);
        std::swap(self->in, arrived[self.get()]);
      });
    };
    conn->on_close = [this](Conn& c) {
      arrived.erase(&c);
      orders.erase(&c);
      std::erase_if(conns, [&](const ConnPtr& p) { return p.get() == &c; });
    };
  }
  void read(Conn& conn) {
    std::vector<std::string> words;
    while (conn.open() && take_command(conn.in, words)) {
      if (words[0] == "CLIENT" || words[0] == "SELECT") {
        conn.send("+OK\r\n");
        continue;
      }
      if (words.size() < 4 || words[0].rfind("BLK.", 0) != 0) {
        conn.send("-ERR unknown\r\n");
        continue;
      }
      Job job{conn.shared_from_this(), words, now(), orders[&conn].next++};
      record("shelf %s: %s %s d=%s", id.c_str(), words[0].c_str(), words[2].c_str(),
             field(words[3], "d").c_str());
      if (on_command) on_command(*this, job);
      const std::string shard = field(words[3], "shard");
      if ((shard != "-1" && shard != std::to_string(cell)) || state != "Ready" ||
          queue.size() >= queue_limit) {
        record("shelf %s: turns %s away", id.c_str(), words[2].c_str());
        give(job, "-BUSY\r\n");
        continue;
      }
      queue.push_back(std::move(job));
    }
    serve();
  }
  void serve() {
    while (running < slots && !queue.empty()) {
      Job job = std::move(queue.front());
      queue.pop_front();
      ++running;
      after(service_time(job), [this, job, e = epoch] { end(job, e); });
    }
  }
  void end(const Job& job, std::uint64_t e) {
    if (e != epoch) return;
    if (now() < hangs_until)
      return at(hangs_until + static_cast<Micros>(random64() % 20) * kMs, [this, job, e] { end(job, e); });
    --running;
    if (job.conn->open()) {
      if (drops(job)) {
        record("shelf %s: drops %s", id.c_str(), job.words[2].c_str());
        give(job, "");
        return serve();
      }
      const std::string report = "inflight=" + std::to_string(running + queue.size()) + ",latency_ms=36";
      const std::string bytes = "*3\r\n" + bulk("value-" + job.words[2]) + bulk("used=50,cost=0") + bulk(report);
      give(job, bytes);
      copy(job, bytes);
      record("shelf %s: serves %s", id.c_str(), job.words[2].c_str());
    }
    serve();
  }
  // The process dies: its connections are reset and what it held is gone.
  void die() {
    ++epoch;
    running = 0;
    queue.clear();
    for (const ConnPtr& conn : std::vector<ConnPtr>(conns)) {
      linger hard{1, 0};
      if (conn->open()) ::setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      conn->close();
    }
    conns.clear();
    orders.clear();
    listener.close();
  }
  // The network to this shelf is cut: nothing arrives and nothing leaves, and no connection comes up.
  void cut() {
    for (const ConnPtr& conn : conns) {
      conn->cut = true;
      conn->watch();
    }
    listener.close();
  }
  void heal() {
    listener.open(listener.address.ip, 512, listener.address.port);
    for (const ConnPtr& conn : std::vector<ConnPtr>(conns)) {
      conn->cut = false;
      if (conn->open()) conn->watch();
    }
  }
  void restart() {
    listener.open(listener.address.ip, 512, listener.address.port);
    started_ms = wall_ms();
  }
  std::string entry() const {
    return "{\"id\":\"" + id + "\",\"addr\":\"" + listener.address.text() + "\",\"zone\":\"" + zone +
           "\",\"kind\":\"small-2c\",\"cell\":" + std::to_string(cell) + ",\"state\":\"" + state +
           "\",\"weight\":1.0,\"started_ms\":" + std::to_string(started_ms) + "}";
  }
};

// --- discovery --------------------------------------------------------------------------------------------

// The agent of one head. What it has is told at once; it is silent while `silent` is set.
struct Agent {
  Listener listener;
  std::vector<Shelf*> shelfs;
  std::int64_t version = 41;
  std::map<std::int64_t, std::vector<Shelf*>> changes;
  struct Watch {
    ConnPtr conn;
    std::int64_t from;
    Micros until;
  };
  std::vector<Watch> watches;
  std::vector<ConnPtr> conns;
  bool silent = false;
  std::int64_t answered = 0;    // lists written
  Micros told_at = 0;           // when the first change was written to this head; 0: not yet
  std::string name;

  void open(std::uint32_t ip, int backlog = 512) {
    listener.on_accept = [this](ConnPtr conn) {
      conns.push_back(conn);
      conn->on_bytes = [this](Conn& c) { read(c); };
      conn->on_close = [this](Conn& c) { forget(c); };
    };
    listener.open(ip, backlog);
  }
  void forget(Conn& c) {
    std::erase_if(watches, [&](const Watch& w) { return w.conn.get() == &c; });
    std::erase_if(conns, [&](const ConnPtr& p) { return p.get() == &c; });
  }
  std::string list(bool full, const std::vector<Shelf*>& which) const {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
                       ",\"servers\":[";
    for (std::size_t i = 0; i < which.size(); ++i) text += (i ? "," : "") + which[i]->entry();
    return text + "]}";
  }
  std::string full_list() const { return list(true, shelfs); }
  void answer(Conn& conn, const std::string& body) {
    ++answered;
    if (told_at == 0 && version > 41) told_at = now();
    conn.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::vector<Shelf*> changed_since(std::int64_t from) const {
    std::set<Shelf*> all;
    for (const auto& [v, some] : changes)
      if (v > from) all.insert(some.begin(), some.end());
    return {all.begin(), all.end()};
  }
  void read(Conn& conn) {
    if (silent) return;
    for (std::size_t end; (end = conn.in.find("\r\n\r\n")) != std::string::npos && conn.open();) {
      const std::string head = conn.in.substr(0, end);
      conn.in.erase(0, end + 4);
      const std::size_t from_at = head.find("from=");
      if (from_at == std::string::npos) {
        answer(conn, full_list());
        continue;
      }
      const std::int64_t from = std::atoll(head.c_str() + from_at + 5);
      const std::size_t hold_at = head.find("hold_ms=");
      const Micros hold = hold_at == std::string::npos ? 0 : std::atoll(head.c_str() + hold_at + 8) * kMs;
      if (from > version || from < 41) {
        answer(conn, full_list());
      } else if (from < version || hold == 0) {
        answer(conn, list(false, changed_since(from)));
      } else {
        const auto self = conn.shared_from_this();
        watches.push_back({self, from, now() + hold});
        after(hold, [this, self] {
          if (silent) return;
          for (auto it = watches.begin(); it != watches.end(); ++it)
            if (it->conn == self && it->until <= now()) {
              const std::int64_t since = it->from;
              watches.erase(it);
              if (self->open()) answer(*self, list(false, changed_since(since)));
              return;
            }
        });
      }
    }
  }
  // A new version with these shelfs changed; open watches are answered at once.
  void change(const std::vector<Shelf*>& some) {
    changes[++version] = some;
    told_at = 0;
    if (silent) return;
    std::vector<Watch> open;
    open.swap(watches);
    for (const Watch& w : open)
      if (w.conn->open()) answer(*w.conn, list(false, changed_since(w.from)));
  }
};

// --- head -------------------------------------------------------------------------------------------------

struct Head {
  pid_t pid = -1;
  Address address;
  std::string name;
  std::string config_file;
  std::string log_file;
  int descriptor_limit = 0;  // 0: as it is
  Micros ready_at = 0;

  void write_config(const Agent& agent, const std::string& known, int memory_mb, int sockets,
                    const std::string& settings) {
    const std::string text = "{\"name\":\"" + name + "\",\"listen\":\"" + address.text() + "\",\"discovery\":\"" +
                             agent.listener.address.text() + "\",\"seed\":\"" + hex16(random64()) +
                             "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(memory_mb) +
                             ",\"sockets\":" + std::to_string(sockets) + "},\"known\":" + known +
                             ",\"settings\":" + settings + "}";
    FILE* file = std::fopen((config_file + ".new").c_str(), "w");
    if (!file) cannot_run("cannot write the configuration");
    std::fputs(text.c_str(), file);
    std::fclose(file);
    ::rename((config_file + ".new").c_str(), config_file.c_str());
  }
  void start(const Agent& agent) {
    const char* command = std::getenv("RUN_COMMAND");
    if (!command) cannot_run("RUN_COMMAND is not set");
    ready_at = 0;
    std::fflush(nullptr);
    pid = ::fork();
    if (pid < 0) cannot_run("cannot fork");
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (descriptor_limit > 0) {
        rlimit limit{static_cast<rlim_t>(descriptor_limit), static_cast<rlim_t>(descriptor_limit)};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::close(log);
      const int null = ::open("/dev/null", O_RDONLY);
      ::dup2(null, 0);
      ::close(null);
      ::setenv("RELAY_NAME", name.c_str(), 1);
      ::setenv("RELAY_LISTEN", address.text().c_str(), 1);
      ::setenv("RELAY_DISCOVERY", agent.listener.address.text().c_str(), 1);
      ::setenv("RELAY_CONFIG", config_file.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record("head %s: started", name.c_str());
    ping();
  }
  // Asks until the head answers PING.
  void ping() {
    if (ready_at > 0 || pid < 0) return;
    auto conn = connect_to(address);
    const pid_t mine = pid;
    auto again = [this, mine] {
      after(20 * kMs, [this, mine] {
        if (pid == mine) ping();
      });
    };
    if (!conn->open()) return again();
    conn->on_bytes = [this, mine](Conn& c) {
      if (pid == mine && ready_at == 0 && c.in.rfind("+PONG\r\n", 0) == 0) {
        ready_at = now();
        record("head %s: ready", name.c_str());
      }
      c.close();
    };
    conn->on_close = [again](Conn&) { again(); };
    conn->send("*1\r\n$4\r\nPING\r\n");
  }
  bool running() {
    if (pid < 0) return false;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return true;
    record("head %s: ended by itself, status %d", name.c_str(), status);
    pid = -1;
    return false;
  }
  void kill_now() {
    if (pid < 0) return;
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
    record("head %s: killed", name.c_str());
    pid = -1;
  }
  int descriptors() const {
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    DIR* all = ::opendir(folder.c_str());
    if (!all) return -1;
    int count = -2;  // . and ..
    while (::readdir(all)) ++count;
    ::closedir(all);
    return count;
  }
};

inline std::vector<Head*> all_heads;

inline void end_all() {
  for (Head* head : all_heads) head->kill_now();
  if (record_file) std::fclose(record_file);
  record_file = nullptr;
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  record("cannot run: %s", why.c_str());
  std::printf("cannot run: %s\n", why.c_str());
  end_all();
  std::exit(2);
}

// Ends the test: `broken` tells whether the rule was broken.
[[noreturn]] inline void finish(bool broken, const std::string& what) {
  record("%s: %s", broken ? "BROKEN" : "held", what.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", what.c_str());
  end_all();
  std::exit(broken ? 1 : 0);
}

inline bool has_trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::strcmp(text, "0") != 0;
}

inline std::string work_folder;

inline void begin(int, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (!argv[1] || !argv[2]) {
    std::printf("usage: CASE FOLDER RECORD\n");
    std::exit(2);
  }
  work_folder = argv[1];
  record_file = std::fopen(argv[2], "w");
  if (!record_file) std::exit(2);
  started_at = now();
  last_random ^= static_cast<std::uint64_t>(clock_us(CLOCK_REALTIME)) * 2654435761ULL;
  for (int i = 0; i < 8; ++i) random64();
  record("trouble: %s", has_trouble() ? "yes" : "no");
}

// Starts heads and waits until all are ready.
inline void start_heads(std::vector<std::unique_ptr<Head>>& heads, std::vector<std::unique_ptr<Agent>>& agents) {
  for (std::size_t i = 0; i < heads.size(); ++i) {
    all_heads.push_back(heads[i].get());
    heads[i]->start(*agents[i]);
  }
  run_until(now() + 10 * kSecond, [&] {
    for (auto& head : heads)
      if (head->ready_at == 0) return false;
    return true;
  });
  for (auto& head : heads)
    if (head->ready_at == 0) cannot_run("a head is not ready after 10 s");
}

// --- settings ---------------------------------------------------------------------------------------------

// The settings of a small deployment, by the example of the simulator's page and the site's figures.
struct Settings {
  int heads = 3;
  double cold_units = 28;
  int max_units = 6;
  double usual_units = 2.08;
  double overload_for_s = 3;
  double cold_from = 0.17;
  double warm_within_s = 16;
  double fall_multiple = 4;
  double cap = 0;    // of the second plan
  double burst = 0;
  double slack = 0;
  const char* mode = "push";
  const char* classes =
      "{\"credit\":2.0,\"deadline-s\":2.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.2,"
      "\"memory-span-s\":5.0,\"name\":\"shift-read\",\"objective-s\":0.3,\"stream\":false},"
      "{\"credit\":2.0,\"deadline-s\":3.0,\"idempotency\":\"non_idempotent\",\"key-scope\":\"all\",\"late-worth\":0.2,"
      "\"memory-span-s\":5.0,\"name\":\"signup-write\",\"objective-s\":0.6,\"stream\":false},"
      "{\"credit\":1.0,\"deadline-s\":6.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.25,"
      "\"memory-span-s\":5.0,\"name\":\"roster-export\",\"objective-s\":2.0,\"stream\":false}";
  const char* writes = "[false,true,false]";
  std::string text(int rank) const {
    char buffer[4096];
    std::snprintf(
        buffer, sizeof buffer,
        "{\"balancers\":%d,\"classes\":[%s],"
        "\"clients\":{\"marks-retry\":false},\"family\":\"stores\","
        "\"family-info\":{\"beyond-share\":0.08,\"cold-bears\":%g,\"meter-s\":0.5,\"most-units\":%d,\"shards\":20,"
        "\"share-worth\":0.35,\"tells-elsewhere\":true,\"usual-units\":%g,\"writes\":%s},"
        "\"host-types\":[\"small-2c\"],\"layer\":0,"
        "\"limits\":{\"cancel\":true,\"conn-idle-s\":15.0,\"connect-timeout-s\":0.25,\"cpu-us-per-request\":0.0,"
        "\"cpu-us-per-s\":300000,\"max-attempts\":3,\"max-open\":20000,\"max-retry-after-s\":0.5,"
        "\"may-duplicate\":false,\"peer-messages\":false,\"probes\":false,\"retry-after\":false,"
        "\"streams-per-conn\":32},\"localities\":[\"batiment-a\",\"batiment-b\",\"batiment-c\"],"
        "\"plans\":[{\"burst\":0.0,\"cap\":0.0,\"name\":\"entraide\",\"nominal\":60.0,\"parts\":1.0,\"reservation\":0.0,"
        "\"slack\":0.0,\"worth-factor\":0.8},"
        "{\"burst\":%g,\"cap\":%g,\"name\":\"association\",\"nominal\":120.0,\"parts\":1.0,\"reservation\":96.0,"
        "\"slack\":%g,\"worth-factor\":0.9},"
        "{\"burst\":0.0,\"cap\":0.0,\"name\":\"federation\",\"nominal\":150.0,\"parts\":1.0,\"reservation\":180.0,"
        "\"slack\":0.0,\"worth-factor\":1.4}],"
        "\"rank\":%d,\"registry-mode\":\"%s\","
        "\"report\":{\"fields\":[\"inflight\",\"latency_ms\"],\"source\":\"piggyback\"},\"resolution-s\":0.002,"
        "\"result-mix\":{\"whole\":0.55,\"worst-class\":0.3,\"worst-tenant\":0.0,\"worst-window\":0.15},"
        "\"rules\":{\"answer-slack-s\":0.008,\"ask-every-s\":10.0,\"cold-from\":%g,\"drain-grace-s\":1.0,"
        "\"fall-multiple\":%g,\"overload-for-s\":%g,\"warm-within-s\":%g},"
        "\"tariffs\":{\"waste\":0.05},\"tiers\":[\"roster-store\"],\"weights\":\"rough\",\"zone\":\"batiment-a\"}",
        heads, classes, cold_units, max_units, usual_units, writes, burst, cap, slack, rank, mode, cold_from, fall_multiple,
        overload_for_s, warm_within_s);
    return buffer;
  }
};

// --- requests ---------------------------------------------------------------------------------------------

struct Ask {
  std::string id;
  Micros sent_at = 0;
  Micros wait = 0;
  int head = 0;
  std::string answer;  // empty: none yet
  Micros answered_at = 0;
  bool closed = false;  // the head closed the connection without an answer
  bool refused = false;  // the connection never came up
  ConnPtr conn;
};

inline std::string read_command(const std::string& id, const char* group, const char* plan, long wait_ms,
                                std::uint64_t volume, int units, int shard, int hosts,
                                const std::string& body = "") {
  const std::string fields = std::string("c=") + group + ",t=" + plan + ",d=" + std::to_string(wait_ms) +
                             ",volume=" + hex16(volume) + ",units=" + std::to_string(units) +
                             ",shard=" + std::to_string(shard) + ",hosts=" + std::to_string(hosts);
  const std::string object = hex16(random64());
  if (body.empty()) return "*4\r\n" + bulk("BLK.READ") + bulk(object) + bulk(id) + bulk(fields);
  return "*5\r\n" + bulk("BLK.WRITE") + bulk(object) + bulk(id) + bulk(fields) + bulk(body);
}

}  // namespace kit
