// Compares reads through the head with reads sent directly to a node, with the same number of reads in flight
// and a node that answers at once. Runs the processes on loopback and prints JSON lines.
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

json head_settings(const std::string& directory, int list_port, int catalogue_port) {
  return {
      {"name", "head-b"},
      {"heads", 1},
      {"own_number", 0},
      {"seed", 1},
      {"unit_bytes", 4096},
      {"log", "warn"},
      {"listen", {{"address", "127.0.0.1"}, {"port", 0}}},
      {"list", {{"address", "127.0.0.1"}, {"port", list_port}, {"file", directory + "/list.json"}}},
      {"catalogue", {{"address", "127.0.0.1"}, {"port", catalogue_port}, {"keep_ms", 600000}}},
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

// Returns the CPU time a process has used, in microseconds. The kernel counts it in clock ticks (10 ms).
std::int64_t cpu_time_us(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  std::int64_t user = 0;
  std::int64_t kernel = 0;
  rest >> user >> kernel;
  return (user + kernel) * 1'000'000 / sysconf(_SC_CLK_TCK);
}

std::int64_t resident_bytes(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  statm >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

// Latencies and duration of one measurement, in microseconds.
struct Measurement {
  std::vector<std::int64_t> latencies;
  std::int64_t duration = 0;
  json to_json(const char* path, int in_flight) {
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double q) {
      return latencies.empty()
                 ? 0
                 : latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
    };
    return {{"how", path},
            {"out", in_flight},
            {"block_ios", latencies.size()},
            {"a_second", static_cast<std::int64_t>(1e6 * static_cast<double>(latencies.size()) /
                                                   static_cast<double>(duration))},
            {"p50_us", quantile(0.5)},
            {"p99_us", quantile(0.99)}};
  }
};

// Keeps one GET in flight on each of `in_flight` HTTP connections for `duration` microseconds.
Measurement measure_head(int port, int in_flight, std::int64_t duration) {
  asio::io_context io(1);
  Measurement result;
  const std::int64_t started_at = monotonic_now();
  const std::int64_t end = started_at + duration;
  struct Connection {
    asio::ip::tcp::socket socket;
    std::array<char, 8192> buffer;
    std::string response;
    std::int64_t sent_at = 0;
  };
  static const std::string request = "GET /v/object HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(std::shared_ptr<Connection>)> send;
  std::function<void(std::shared_ptr<Connection>)> read;
  send = [&](std::shared_ptr<Connection> c) {
    if (monotonic_now() >= end) return;
    c->sent_at = monotonic_now();
    asio::write(c->socket, asio::buffer(request));
    read(c);
  };
  read = [&](std::shared_ptr<Connection> c) {
    c->socket.async_read_some(asio::buffer(c->buffer), [&, c](std::error_code error, std::size_t n) {
      if (error) throw std::runtime_error("the head closed a connection");
      c->response.append(c->buffer.data(), n);
      const auto header_end = c->response.find("\r\n\r\n");
      if (header_end == std::string::npos || c->response.size() < header_end + 4 + 1024) return read(c);
      if (!c->response.starts_with("HTTP/1.1 200"))
        throw std::runtime_error("not served: " + c->response.substr(0, 200));
      c->response.clear();
      result.latencies.push_back(monotonic_now() - c->sent_at);
      send(c);
    });
  };
  for (int i = 0; i < in_flight; ++i) {
    connections.push_back(std::make_shared<Connection>(Connection{asio::ip::tcp::socket(io), {}, {}, 0}));
    connections.back()->socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    send(connections.back());
  }
  io.run();
  result.duration = monotonic_now() - started_at;
  return result;
}

// Sends reads directly to the node over two connections, as many as the head uses.
struct DirectClient : net::LinkHandler {
  asio::io_context& io;
  wire::Submit submit;
  int in_flight;
  std::int64_t end;
  Measurement result;
  std::vector<std::shared_ptr<net::Link>> links;
  std::unordered_map<std::uint64_t, std::int64_t> sent_at;  // by request id
  std::uint64_t last_id = 0;
  bool is_running = true;
  DirectClient(asio::io_context& io, wire::Submit s, int in_flight, std::int64_t end)
      : io(io), submit(s), in_flight(in_flight), end(end) {}
  void send(net::Link& link) {
    submit.id = ++last_id;
    sent_at[last_id] = monotonic_now();
    wire::encode(link.out(), submit, {});
  }
  void on_frame(net::Link& link, const wire::Frame& frame) override {
    if (frame.type == wire::FrameType::hello) {
      for (int i = link.number; i < in_flight; i += 2) send(link);
      return link.flush();
    }
    wire::Answer answer;
    wire::decode(frame, answer);
    const auto it = sent_at.find(answer.id);
    result.latencies.push_back(monotonic_now() - it->second);
    sent_at.erase(it);
    if (monotonic_now() < end)
      send(link);
    else if (sent_at.empty())
      is_running = false;
  }
  void on_closed(net::Link&, const std::string& reason) override {
    throw std::runtime_error("the node closed the connection: " + reason);
  }
};

Measurement measure_node(int port, const wire::Submit& submit, int in_flight, std::int64_t duration) {
  asio::io_context io(1);
  const std::int64_t started_at = monotonic_now();
  DirectClient client(io, submit, in_flight, started_at + duration);
  for (int i = 0; i < std::min(2, in_flight); ++i) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
    client.links.push_back(std::make_shared<net::Link>(std::move(socket), client));
    client.links.back()->number = i;
    wire::encode(client.links.back()->out(), wire::Hello{wire::Role::head, "direct", -1, 0});
    client.links.back()->start();
    client.links.back()->flush();
  }
  while (client.is_running) {
    io.run_one();
    while (io.poll_one() > 0) {
    }
    for (auto& l : client.links) l->flush();
  }
  client.result.duration = monotonic_now() - started_at;
  for (auto& l : client.links) l->close();
  return client.result;
}

// A single measuring thread becomes the bottleneck, so with 16 or more in flight the work is split over two.
template <class Measure>
Measurement split_over_threads(int in_flight, Measure measure) {
  if (in_flight < 16) return measure(in_flight);
  Measurement first;
  Measurement second;
  std::thread other([&] { second = measure(in_flight - in_flight / 2); });
  first = measure(in_flight / 2);
  other.join();
  first.latencies.insert(first.latencies.end(), second.latencies.begin(), second.latencies.end());
  first.duration = std::max(first.duration, second.duration);
  return first;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "head_bench BIN FOLDER" << std::endl;
    return 2;
  }
  try {
    const std::string bin = argv[1];
    const std::string directory = argv[2];
    std::filesystem::create_directories(directory);
    days::Process list;
    days::Process catalogue;
    days::Process node;
    days::Process head;
    list.start({bin + "/yewmount-list"}, directory + "/log");
    const json list_ready = list.read_json_line(5'000'000);
    catalogue.start({bin + "/yewmount-catalogue", "--folder", directory + "/catalogue"}, directory + "/log");
    const json catalogue_ready = catalogue.read_json_line(5'000'000);
    write_file(directory + "/node.json",
               json{{"name", "n0"}, {"shard", 0}, {"unit_us", 0}, {"room", 100000}, {"cores", 256}}.dump());
    node.start({bin + "/yewmount-node", "--settings", directory + "/node.json"}, directory + "/log");
    const json node_ready = node.read_json_line(5'000'000);
    days::send_control_command(list_ready.at("control_port"), {{"set",
                                                                {{{"name", "n0"},
                                                                  {"port", node_ready.at("port")},
                                                                  {"shard", 0},
                                                                  {"start", node_ready.at("start")},
                                                                  {"at_once", true}}}}});
    write_file(directory + "/head.json",
               head_settings(directory, list_ready.at("port"), catalogue_ready.at("port")).dump());
    head.start({bin + "/yewmountd", "--settings", directory + "/head.json"}, directory + "/log");
    const json head_ready = head.read_json_line(5'000'000);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    asio::io_context io;
    asio::ip::tcp::socket put(io);
    put.connect({asio::ip::address_v4::loopback(), head_ready.at("port").get<std::uint16_t>()});
    asio::write(
        put, asio::buffer("PUT /v/object HTTP/1.1\r\nContent-Length: 1024\r\n\r\n" + std::string(1024, 'd')));
    std::array<char, 4096> buffer;
    const std::string answer(buffer.data(), put.read_some(asio::buffer(buffer)));
    if (!answer.starts_with("HTTP/1.1 201")) throw std::runtime_error("the object was not stored: " + answer);
    // Looks up in the catalogue which extent the head has stored the object in.
    wire::Submit submit;
    submit.group = "read";
    submit.volume = "v";
    submit.object = "object";
    submit.length = 1024;
    submit.timeout = 5'000'000;
    {
      asio::ip::tcp::socket s(io);
      s.connect({asio::ip::address_v4::loopback(), catalogue_ready.at("port").get<std::uint16_t>()});
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
    for (const int in_flight : {1, 16, 256}) {
      measure_head(head_ready.at("port"), in_flight, 300'000);  // warm-up
      const std::int64_t before = cpu_time_us(head.pid());
      Measurement head_result = split_over_threads(
          in_flight, [&](int n) { return measure_head(head_ready.at("port"), n, 3'000'000); });
      const std::int64_t cpu = cpu_time_us(head.pid()) - before;
      json line = head_result.to_json("through the head", in_flight);
      line["head_cpu_us_each"] = static_cast<double>(cpu) /
                                 static_cast<double>(std::max<std::size_t>(1, head_result.latencies.size()));
      line["head_cpu_share"] = static_cast<double>(cpu) / static_cast<double>(head_result.duration);
      line["head_resident_mib"] = resident_bytes(head.pid()) >> 20;
      std::cout << split_over_threads(
                       in_flight,
                       [&](int k) { return measure_node(node_ready.at("port"), submit, k, 3'000'000); })
                       .to_json("direct", in_flight)
                       .dump()
                << '\n'
                << line.dump() << std::endl;
    }
    int code = 0;
    head.signal(SIGTERM);
    head.wait_for_exit(5'000'000, code);
    return code;
  } catch (const std::exception& e) {
    std::cerr << "head_bench: " << e.what() << std::endl;
    return 2;
  }
}
