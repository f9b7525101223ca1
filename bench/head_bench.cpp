// The head against a direct client: the same number of reads out, to one node that answers at once, through
// yewmountd's door and straight to the node's socket. Plays with processes on loopback; prints JSON lines.
//   head_bench BIN FOLDER
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "base/base.h"
#include "days/processes.h"
#include "net/link.h"

namespace {

using namespace yewmount;
using nlohmann::json;

json settings(const std::string& folder, int list, int catalogue) {
  return {
      {"name", "head-b"},
      {"heads", 1},
      {"own_number", 0},
      {"seed", 1},
      {"unit_bytes", 4096},
      {"log", "warn"},
      {"listen", {{"address", "127.0.0.1"}, {"port", 0}}},
      {"list", {{"address", "127.0.0.1"}, {"port", list}, {"file", folder + "/list.json"}}},
      {"catalogue", {{"address", "127.0.0.1"}, {"port", catalogue}, {"keep_ms", 600000}}},
      {"carrier", {{"connections", 2}, {"streams", 256}}},
      {"groups",
       {{{"name", "read"}, {"latency_goal_ms", 1000}, {"hard_limit_ms", 5000}, {"repeat", "idempotent"}}}},
      {"choose", {{{"group", "read"}}}},
      {"plans", {{{"name", "p"}, {"nominal", 1e6}, {"reserve", 1e6}}}},
      {"volumes", {{{"name", "v"}, {"plan", "p"}}}},
      {"nodes", {{"usual_units", 1}, {"most_units", 4}, {"cold_bears", 28}}},
      {"rules",
       {{"cold_from", 0.2}, {"fall_multiple", 4}, {"warm_within_ms", 6000}, {"overload_for_ms", 1500}}}};
}

// CPU of a process so far, microseconds, from the kernel's own count (ticks of 10 ms).
std::int64_t cpu_of(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skip;
  for (int i = 0; i < 11; ++i) rest >> skip;
  std::int64_t user = 0, kernel = 0;
  rest >> user >> kernel;
  return (user + kernel) * 1'000'000 / sysconf(_SC_CLK_TCK);
}

std::int64_t resident_of(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  std::int64_t all = 0, resident = 0;
  statm >> all >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

struct Figures {
  std::vector<std::int64_t> lags;
  std::int64_t took = 0;
  json line(const char* how, int out) {
    std::sort(lags.begin(), lags.end());
    const auto at = [&](double q) {
      return lags.empty() ? 0 : lags[static_cast<std::size_t>(q * static_cast<double>(lags.size() - 1))];
    };
    return {{"how", how},
            {"out", out},
            {"block_ios", lags.size()},
            {"a_second",
             static_cast<std::int64_t>(1e6 * static_cast<double>(lags.size()) / static_cast<double>(took))},
            {"p50_us", at(0.5)},
            {"p99_us", at(0.99)}};
  }
};

// So many HTTP connections, one GET out on each, for so long.
Figures through_door(int port, int out, std::int64_t length) {
  asio::io_context io(1);
  Figures f;
  const std::int64_t began = monotonic_now(), until = began + length;
  struct Conn {
    asio::ip::tcp::socket socket;
    std::array<char, 8192> part;
    std::string in;
    std::int64_t at = 0;
  };
  static const std::string ask = "GET /v/object HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::shared_ptr<Conn>> conns;
  std::function<void(std::shared_ptr<Conn>)> send, read;
  send = [&](std::shared_ptr<Conn> c) {
    if (monotonic_now() >= until) return;
    c->at = monotonic_now();
    asio::write(c->socket, asio::buffer(ask));
    read(c);
  };
  read = [&](std::shared_ptr<Conn> c) {
    c->socket.async_read_some(asio::buffer(c->part), [&, c](std::error_code error, std::size_t n) {
      if (error) throw std::runtime_error("the head closed a connection");
      c->in.append(c->part.data(), n);
      const auto end = c->in.find("\r\n\r\n");
      if (end == std::string::npos || c->in.size() < end + 4 + 1024) return read(c);
      if (!c->in.starts_with("HTTP/1.1 200")) throw std::runtime_error("not served: " + c->in.substr(0, 200));
      c->in.clear();
      f.lags.push_back(monotonic_now() - c->at);
      send(c);
    });
  };
  for (int i = 0; i < out; ++i) {
    conns.push_back(std::make_shared<Conn>(Conn{asio::ip::tcp::socket(io), {}, {}, 0}));
    conns.back()->socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    send(conns.back());
  }
  io.run();
  f.took = monotonic_now() - began;
  return f;
}

struct Direct : net::LinkHandler {  // frames straight to the node, over two connections as the head does
  asio::io_context& io;
  wire::Submit submit;
  int out;
  std::int64_t until;
  Figures f;
  std::vector<std::shared_ptr<net::Link>> links;
  std::unordered_map<std::uint64_t, std::int64_t> sent;
  std::uint64_t last = 0;
  bool open = true;
  Direct(asio::io_context& io, wire::Submit s, int out, std::int64_t until)
      : io(io), submit(s), out(out), until(until) {}
  void send(net::Link& link) {
    submit.id = ++last;
    sent[last] = monotonic_now();
    wire::encode(link.out(), submit, {});
  }
  void on_frame(net::Link& link, const wire::Frame& frame) override {
    if (frame.type == wire::FrameType::hello) {
      for (int i = link.number; i < out; i += 2) send(link);
      return link.flush();
    }
    wire::Answer answer;
    wire::decode(frame, answer);
    const auto it = sent.find(answer.id);
    f.lags.push_back(monotonic_now() - it->second);
    sent.erase(it);
    if (monotonic_now() < until)
      send(link);
    else if (sent.empty())
      open = false;
  }
  void on_closed(net::Link&, const std::string& why) override {
    throw std::runtime_error("the node closed: " + why);
  }
};

Figures direct(int port, const wire::Submit& submit, int out, std::int64_t length) {
  asio::io_context io(1);
  const std::int64_t began = monotonic_now();
  Direct d(io, submit, out, began + length);
  for (int i = 0; i < std::min(2, out); ++i) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    d.links.push_back(std::make_shared<net::Link>(std::move(socket), d));
    d.links.back()->number = i;
    wire::encode(d.links.back()->out(), wire::Hello{wire::Role::head, "direct", -1, 0});
    d.links.back()->start();
    d.links.back()->flush();
  }
  while (d.open) {
    io.run_one();
    while (io.poll_one() > 0) {
    }
    for (auto& l : d.links) l->flush();
  }
  d.f.took = monotonic_now() - began;
  for (auto& l : d.links) l->close();
  return d.f;
}

// One measuring thread is soon the slowest part of all: from 16 out on the work is split over two.
template <class Part>
Figures split(int out, Part part) {
  if (out < 16) return part(out);
  Figures one, two;
  std::thread other([&] { two = part(out - out / 2); });
  one = part(out / 2);
  other.join();
  one.lags.insert(one.lags.end(), two.lags.begin(), two.lags.end());
  one.took = std::max(one.took, two.took);
  return one;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "head_bench BIN FOLDER" << std::endl;
    return 2;
  }
  try {
    const std::string bin = argv[1], folder = argv[2];
    std::filesystem::create_directories(folder);
    days::Process list, catalogue, node, head;
    list.start({bin + "/yewmount-list"}, folder + "/log");
    const json l = list.line(5'000'000);
    catalogue.start({bin + "/yewmount-catalogue", "--folder", folder + "/catalogue"}, folder + "/log");
    const json c = catalogue.line(5'000'000);
    write_file(folder + "/node.json",
               json{{"name", "n0"}, {"shard", 0}, {"unit_us", 0}, {"room", 100000}, {"cores", 256}}.dump());
    node.start({bin + "/yewmount-node", "--settings", folder + "/node.json"}, folder + "/log");
    const json n = node.line(5'000'000);
    days::command(l.at("control_port"), {{"set",
                                          {{{"name", "n0"},
                                            {"port", n.at("port")},
                                            {"shard", 0},
                                            {"start", n.at("start")},
                                            {"at_once", true}}}}});
    write_file(folder + "/head.json", settings(folder, l.at("port"), c.at("port")).dump());
    head.start({bin + "/yewmountd", "--settings", folder + "/head.json"}, folder + "/log");
    const json h = head.line(5'000'000);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    asio::io_context io;
    asio::ip::tcp::socket put(io);
    put.connect({asio::ip::address_v4::loopback(), h.at("port").get<std::uint16_t>()});
    asio::write(
        put, asio::buffer("PUT /v/object HTTP/1.1\r\nContent-Length: 1024\r\n\r\n" + std::string(1024, 'd')));
    std::array<char, 4096> said;
    const std::string answer(said.data(), put.read_some(asio::buffer(said)));
    if (!answer.starts_with("HTTP/1.1 201")) throw std::runtime_error("the object was not taken: " + answer);
    // The node holds it under the head's own extent: found by asking the catalogue as any head would.
    wire::Submit submit;
    submit.group = "read", submit.volume = "v", submit.object = "object";
    submit.length = 1024, submit.timeout = 5'000'000;
    {
      asio::ip::tcp::socket s(io);
      s.connect({asio::ip::address_v4::loopback(), c.at("port").get<std::uint16_t>()});
      std::string out;
      wire::encode(out, wire::Lookup{1, "v", "object"});
      asio::write(s, asio::buffer(out));
      wire::FrameDecoder inbox;
      wire::Frame frame{};
      wire::LookupReply found;
      while (found.call_id == 0) {
        const auto room = inbox.prepare(4096);
        inbox.commit(s.read_some(asio::buffer(room.data(), room.size())));
        while (inbox.next(frame))
          if (frame.type == wire::FrameType::lookup_reply) wire::decode(frame, found);
      }
      submit.extent = found.object.extents.at(0).extent;
    }
    for (const int out : {1, 16, 256}) {
      through_door(h.at("port"), out, 300'000);  // warms up
      const std::int64_t before = cpu_of(head.pid());
      Figures door = split(out, [&](int n) { return through_door(h.at("port"), n, 3'000'000); });
      const std::int64_t cpu = cpu_of(head.pid()) - before;
      json line = door.line("through the head", out);
      line["head_cpu_us_each"] =
          static_cast<double>(cpu) / static_cast<double>(std::max<std::size_t>(1, door.lags.size()));
      line["head_cpu_share"] = static_cast<double>(cpu) / static_cast<double>(door.took);
      line["head_resident_mib"] = resident_of(head.pid()) >> 20;
      std::cout << split(out, [&](int k) { return direct(n.at("port"), submit, k, 3'000'000); })
                       .line("direct", out)
                       .dump()
                << '\n'
                << line.dump() << std::endl;
    }
    int code = 0;
    head.signal(SIGTERM);
    head.ended(5'000'000, code);
    return code;
  } catch (const std::exception& e) {
    std::cerr << "head_bench: " << e.what() << std::endl;
    return 2;
  }
}
