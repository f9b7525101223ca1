// Tests of a running head over sockets: HTTP clients in front, scripted nodes and a real catalogue behind it.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <thread>

#include "catalogue/server.h"
#include "checksums/checksums.h"
#include "head/daemon.h"
#include "settings/json_schema.h"
#include "tests/support/peer.h"

namespace yewmount::tests {
namespace {

using nlohmann::json;

// A blocking HTTP client with one connection.
struct HttpClient {
  asio::io_context io;
  asio::ip::tcp::socket socket{io};
  std::string received;  // and not yet returned
  explicit HttpClient(std::uint16_t port) { socket.connect({asio::ip::address_v4::loopback(), port}); }
  void send(const std::string& text) {
    std::error_code ignored;  // the head may have closed the connection
    asio::write(socket, asio::buffer(text), ignored);
  }
  // Returns status line, headers and body of the next response, or an empty string if the connection was
  // closed before its end. is_head: the response has no body.
  std::string read_response(bool is_head = false) {
    std::error_code error;
    std::size_t end;
    while ((end = received.find("\r\n\r\n")) == std::string::npos) {
      char part[65536];
      const std::size_t n = socket.read_some(asio::buffer(part), error);
      if (error) return "";
      received.append(part, n);
    }
    std::size_t length = 0;
    if (const auto at = received.find("Content-Length: "); at < end && !is_head)
      length = std::stoul(received.substr(at + 16));
    while (received.size() < end + 4 + length) {
      char part[65536];
      const std::size_t n = socket.read_some(asio::buffer(part), error);
      if (error) return "";
      received.append(part, n);
    }
    const std::string response = received.substr(0, end + 4 + length);
    received.erase(0, response.size());
    return response;
  }
  std::string request(const std::string& text) {
    send(text);
    return read_response(text.starts_with("HEAD"));
  }
  std::string put(const std::string& path, const std::string& body, const std::string& extra_headers = "") {
    return request("PUT " + path + " HTTP/1.1\r\nHost: h\r\n" + extra_headers +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::string get(const std::string& path, const std::string& extra_headers = "") {
    return request("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + extra_headers + "\r\n");
  }
};

int status(const std::string& response) {
  return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}
std::string body(const std::string& response) { return response.substr(response.find("\r\n\r\n") + 4); }
bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Runs a head that starts from its stored node list, without a list service. The scripted nodes and the
// catalogue run in one thread, the head in another.
struct HeadTest : ::testing::Test {
  std::string folder =
      std::filesystem::temp_directory_path() / ("yewmount-head-" + std::to_string(random_id()));
  asio::io_context services_io;
  std::unique_ptr<catalogue::Store> store;
  std::unique_ptr<catalogue::Server> server;
  std::vector<std::unique_ptr<Peer>> nodes;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> data;  // of extents, by head and serial
  // Called for each submit; returns true if it has handled it, false for the default handling.
  std::function<bool(Peer::Conn&, const wire::Submit&)> on_submit;
  std::vector<std::string> submit_kinds;  // in the order received
  std::atomic<bool> stop{false};
  std::thread services_thread;
  std::thread head_thread;
  std::unique_ptr<asio::io_context> io = std::make_unique<asio::io_context>(1);
  std::unique_ptr<head::Daemon> daemon;
  std::uint16_t port = 0;

  bool with_plan = false;
  bool with_scrub = false;
  int writes_at_node[2] = {0, 0};

  json settings_json() {
    json all = base_settings();
    if (with_scrub) {
      all["scrub"] = {{"group", "tidy"},         {"plan", "basic"}, {"units_a_second", 400},
                      {"pause_between_ms", 100}, {"rest_ms", 20},   {"cursor", folder + "/scrub.json"}};
    }
    if (with_plan) all["plan"] = {{"file", folder + "/plan.json"}, {"held", folder + "/plan.held.json"}};
    return all;
  }

  json base_settings() {
    return {
        {"name", "head-t"},
        {"heads", 1},
        {"own_number", 0},
        {"seed", 5},
        {"unit_bytes", 1024},
        {"listen", {{"address", "127.0.0.1"}, {"port", 0}}},
        {"list", {{"address", "127.0.0.1"}, {"port", 9}, {"file", folder + "/list.json"}}},
        {"catalogue", {{"address", "127.0.0.1"}, {"port", server->port()}, {"keep_ms", 100}}},
        {"door", {{"idle_ms", 1500}, {"most_object_bytes", 200'000}, {"most_header_bytes", 4096}}},
        {"groups",
         {{{"name", "read"}, {"latency_goal_ms", 300}, {"hard_limit_ms", 800}, {"repeat", "idempotent"}},
          {{"name", "write"}, {"latency_goal_ms", 400}, {"hard_limit_ms", 900}, {"repeat", "side-effecting"}},
          {{"name", "tidy"}, {"latency_goal_ms", 400}, {"hard_limit_ms", 900}, {"repeat", "idempotent"}}}},
        {"choose",
         {{{"method", "PUT"}, {"group", "write"}},
          {{"method", "GET"}, {"group", "read"}},
          {{"method", "DELETE"}, {"group", "tidy"}}}},
        {"plans", {{{"name", "basic"}, {"nominal", 1000}, {"reserve", 1000}}}},
        {"volumes", {{{"name", "v"}, {"plan", "basic"}}}},
        {"nodes", {{"usual_units", 2}, {"most_units", 6}, {"cold_bears", 28}}},
        {"rules",
         {{"cold_from", 0.2}, {"fall_multiple", 4}, {"warm_within_ms", 5000}, {"overload_for_ms", 1000}}}};
  }

  void SetUp() override {
    std::filesystem::create_directories(folder);
    store = std::make_unique<catalogue::Store>(folder + "/catalogue", 64 << 20);
    server = std::make_unique<catalogue::Server>(services_io, *store, "127.0.0.1", 0);
    json list = {{"version", 3}, {"nodes", json::array()}};
    for (int n = 0; n < 2; ++n) {
      nodes.push_back(std::make_unique<Peer>(services_io));
      nodes[n]->on_connect = [n](Peer::Conn& c) { c.hello("n" + std::to_string(n)); };
      nodes[n]->on_submit = [this, n](Peer::Conn& c, const wire::Submit& s) {
        writes_at_node[n] += s.kind == wire::IoKind::write;
        handle_submit(c, s);
      };
      list["nodes"].push_back({{"name", "n" + std::to_string(n)},
                               {"address", "127.0.0.1"},
                               {"zone", "z"},
                               {"port", nodes[n]->port()},
                               {"shard", n},
                               {"state", "ready"},
                               {"share", 1.0},
                               {"start", "0"},
                               {"up_since_wall_us", 0}});
    }
    ASSERT_EQ(write_file(folder + "/list.json", list.dump()), "");
  }
  void start() {
    ASSERT_EQ(write_file(folder + "/head.json", settings_json().dump()), "");
    daemon = std::make_unique<head::Daemon>(*io, settings::load_head_settings(folder + "/head.json"));
    port = daemon->port();
    services_thread = std::thread([this] {
      while (!stop) {
        services_io.restart();
        services_io.run_one_for(std::chrono::milliseconds(5));
        server->commit_and_flush();
      }
    });
    head_thread = std::thread([this] { daemon->run(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  void handle_submit(Peer::Conn& c, const wire::Submit& s) {
    submit_kinds.push_back(s.kind == wire::IoKind::write  ? "write"
                           : s.kind == wire::IoKind::read ? "read"
                                                          : "discard");
    if (on_submit && on_submit(c, s)) return;
    const std::pair key(s.extent.head, s.extent.serial);
    if (s.kind == wire::IoKind::write) data[key] = c.data;
    std::string out;
    if (s.kind == wire::IoKind::read) out = data[key].substr(s.offset, s.length);
    std::vector<std::uint64_t> sums;
    if (s.kind == wire::IoKind::read) checksums::compute_blocks(s.extent, data[key], sums);
    c.answer(s.id, s.attempt, out,
             s.kind == wire::IoKind::read && !data.count(key) ? wire::Outcome::not_found
                                                              : wire::Outcome::completed,
             sums);
  }
  void TearDown() override {
    if (daemon) asio::post(*io, [this] { daemon->drain(); });
    if (head_thread.joinable()) head_thread.join();
    stop = true;
    if (services_thread.joinable()) services_thread.join();
    daemon.reset();
    std::filesystem::remove_all(folder);
  }
};

TEST_F(HeadTest, ObjectsOfManyExtentsAreWrittenAndReadWholeAndByRange) {
  start();
  HttpClient http(port);
  const std::string created = http.put("/v/rosters/may", std::string(50'000, 'd'));
  EXPECT_EQ(status(created), 201) << created;
  EXPECT_TRUE(contains(created, "Yewmount-Answer: ended"));
  const std::string all = http.get("/v/rosters/may");
  EXPECT_EQ(status(all), 200);
  EXPECT_EQ(body(all).size(), 50'000u);
  const std::string part = http.get("/v/rosters/may", "Range: bytes=6000-19999\r\n");
  EXPECT_EQ(status(part), 206);
  EXPECT_EQ(body(part).size(), 14'000u);
  EXPECT_TRUE(contains(part, "Content-Range: bytes 6000-19999/50000"));
  EXPECT_EQ(body(http.get("/v/rosters/may", "Range: bytes=-7\r\n")).size(), 7u);
  EXPECT_EQ(status(http.get("/v/rosters/may", "Range: bytes=50000-\r\n")), 416);
  const std::string head = http.request("HEAD /v/rosters/may HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(contains(head, "Content-Length: 50000"));
  EXPECT_EQ(status(http.put("/v/rosters/may", "new", "If-None-Match: *\r\n")), 412);
  EXPECT_EQ(status(http.put("/v/rosters/may", "new")), 204);
  EXPECT_EQ(body(http.get("/v/rosters/may")).size(), 3u);
  EXPECT_EQ(status(http.request("DELETE /v/rosters/may HTTP/1.1\r\nHost: h\r\n\r\n")), 204);
  EXPECT_EQ(status(http.get("/v/rosters/may")), 404);
}

// Guards against buffers that keep their memory when they are emptied: idle connections and ended requests
// held as much as the longest body that each had carried.
TEST_F(HeadTest, IdleConnectionsAndEndedRequestsHoldNoMemory) {
  start();
  const std::string text(150'000, 'x');
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 40; ++i) clients.push_back(std::make_unique<HttpClient>(port));
  ASSERT_EQ(status(clients[0]->put("/v/first", text)), 201);
  const std::size_t before = process_memory().heap_used;
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i]->send("PUT /v/o" + std::to_string(i) +
                     " HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n" + text.substr(1));
  for (auto& client : clients) client->send("x");
  for (auto& client : clients) EXPECT_EQ(status(client->read_response()), 201);
  for (auto& client : clients) {
    EXPECT_EQ(body(client->get("/v/first")), text);
    std::string().swap(client->received);
  }
  std::size_t stored = 0;  // by the scripted nodes, in this process too
  asio::post(services_io, [&] {
    for (const auto& [extent, bytes] : data) stored += bytes.capacity();
    data.clear();
    for (const auto& node : nodes)
      for (const auto& connection : node->conns) connection->inbox.trim(0);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_GT(stored, clients.size() * text.size());
  EXPECT_LT(process_memory().heap_used, before + clients.size() * text.size() / 2);
}

TEST_F(HeadTest, AWriteWhoseConnectionIsResetAfterItsLastByteIsNeitherRetriedNorShed) {
  int writes = 0;
  on_submit = [&](Peer::Conn& c, const wire::Submit&) {
    ++writes;
    c.reset();
    return true;
  };
  start();
  HttpClient http(port);
  const std::string response = http.put("/v/signup", "x");
  EXPECT_EQ(status(response), 504) << response;
  EXPECT_TRUE(contains(response, "Yewmount-Answer: failed"));
  EXPECT_TRUE(contains(response, "Yewmount-May-Have-Run: yes"));
  EXPECT_EQ(writes, 1);
}

TEST_F(HeadTest, AWriteWhoseConnectionBreaksBeforeItsFirstByteIsRetried) {
  for (auto& node : nodes) {
    auto send_hello = node->on_connect;
    node->on_connect = [send_hello, is_first = true](Peer::Conn& c) mutable {
      if (std::exchange(is_first, false)) return c.reset();
      send_hello(c);
    };
  }
  start();
  HttpClient http(port);
  const std::string response = http.put("/v/signup", "x");
  // Each node resets its first connection only, so the third submit at the latest finds a working one.
  EXPECT_TRUE(status(response) == 201 || contains(response, "Yewmount-May-Have-Run: no") ||
              status(response) == 503)
      << response;
  EXPECT_LE(std::count(submit_kinds.begin(), submit_kinds.end(), "write"), 1);
  EXPECT_EQ(status(http.put("/v/signup-2", "x")), 201) << "both nodes accept connections now";
}

TEST_F(HeadTest, AWriteToASilentNodeFailsWithinTheClientsDeadline) {
  on_submit = [](Peer::Conn&, const wire::Submit&) { return true; };
  start();
  HttpClient http(port);
  const std::int64_t began = monotonic_now();
  const std::string response = http.put("/v/signup", "x", "Yewmount-Patience-Ms: 500\r\n");
  EXPECT_LT(monotonic_now() - began, 700'000);
  EXPECT_EQ(status(response), 504) << response;
  EXPECT_TRUE(contains(response, "Yewmount-May-Have-Run: yes"));
}

TEST_F(HeadTest, AClientThatDisconnectsMidUploadLeavesNoActiveBlockIo) {
  start();
  {
    HttpClient http(port);
    http.send("PUT /v/half HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + std::string(9000, 'd'));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  HttpClient http(port);
  EXPECT_EQ(status(http.get("/v/half")), 404);
  const std::string health = http.get("/.yewmount/health");
  EXPECT_TRUE(contains(health, "\"in_hand\":0")) << health;
  EXPECT_TRUE(contains(http.get("/.yewmount/metrics"), "yewmount_clients_left_total 1"));
}

TEST_F(HeadTest, AWriteFailsWithAReasonIfTheCatalogueCannotWrite) {
  store = nullptr;
  server = nullptr;
  store = std::make_unique<catalogue::Store>(folder + "/small", 1 << 20);
  server = std::make_unique<catalogue::Server>(services_io, *store, "127.0.0.1", 0);
  start();
  HttpClient http(port);
  std::string response;
  int created = 0;
  for (int i = 0; i < 4000; ++i) {
    response = http.put("/v/" + std::string(300, 'n') + std::to_string(i), "x");
    if (status(response) != 201) break;
    ++created;
  }
  EXPECT_GT(created, 100);
  EXPECT_TRUE(contains(response, "Yewmount-Answer: failed")) << response;
  EXPECT_TRUE(contains(response, "the catalogue can't be written")) << response;
  EXPECT_EQ(status(http.get("/v/" + std::string(300, 'n') + "0")), 200)
      << "committed objects can still be read";
}

TEST_F(HeadTest, InvalidHttpIsRejectedWithTheRightStatus) {
  start();
  const auto status_of = [&](const std::string& text) {
    HttpClient http(port);
    return status(http.request(text));
  };
  EXPECT_EQ(status_of("GET /v/../etc HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/%2e%2e/etc HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/a%2fb HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/a%00 HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v//a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/" + std::string(2000, 'n') + " HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(status_of("POST /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), 405);
  EXPECT_EQ(status_of("GET /none/a HTTP/1.1\r\nHost: h\r\n\r\n"), 404);
  EXPECT_EQ(status_of("PUT /v/a HTTP/1.1\r\nHost: h\r\n\r\n"), 411);
  EXPECT_EQ(status_of("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"), 413);
  EXPECT_EQ(
      status_of("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
      400);
  EXPECT_EQ(status_of("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
            400);
  EXPECT_EQ(status_of("GET /v/a HTTP/1.1\r\nX: " + std::string(8000, 'h') + "\r\n\r\n"), 431);
  EXPECT_EQ(status_of("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/a HTTP/1.1\r\nYewmount-Patience-Ms: soon\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /v/a HTTP/1.1\r\nExpect: tea\r\n\r\n"), 417);
}

TEST_F(HeadTest, PipelinedRequestsAreAnsweredInOrderAndChunkedBodiesAreAccepted) {
  start();
  HttpClient http(port);
  http.send(
      "PUT /v/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nddd\r\n2\r\ndd\r\n0\r\n\r\n"
      "GET /v/a HTTP/1.1\r\nHost: h\r\n\r\nGET /v/none HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(status(http.read_response()), 201);
  EXPECT_EQ(body(http.read_response()), "ddddd");
  EXPECT_EQ(status(http.read_response()), 404);
}

TEST_F(HeadTest, ADrainingHeadAnswersOpenRequestsAndAcceptsNoNewConnections) {
  std::atomic<int> delayed_answers{0};
  on_submit = [&](Peer::Conn& c, const wire::Submit& s) {
    // Answers after drain() has been called.
    auto timer = std::make_shared<asio::steady_timer>(services_io, std::chrono::milliseconds(250));
    timer->async_wait([&c, id = s.id, no = s.attempt, timer](std::error_code) { c.answer(id, no); });
    ++delayed_answers;
    return true;
  };
  start();
  HttpClient first(port);
  HttpClient second(port);
  second.get("/v/none");
  first.send("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nd");
  while (delayed_answers == 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  asio::post(*io, [this] { daemon->drain(); });
  EXPECT_EQ(status(first.read_response()), 201) << "requests in flight are still answered";
  head_thread.join();
  EXPECT_THROW(HttpClient{port}, std::system_error);
}

TEST_F(HeadTest, AReloadThatChangesRestartOnlySettingsIsRejectedAsAWhole) {
  start();
  json j = settings_json();
  j["volumes"].push_back({{"name", "w"}, {"plan", "basic"}});
  ASSERT_EQ(write_file(folder + "/allowed.json", j.dump()), "");
  j["plans"][0]["nominal"] = 5;
  ASSERT_EQ(write_file(folder + "/restart_only.json", j.dump()), "");
  std::promise<std::pair<std::string, std::string>> reasons;
  asio::post(*io, [&] {
    const std::string restart_only =
        daemon->reload(settings::load_head_settings(folder + "/restart_only.json"));
    reasons.set_value({restart_only, daemon->reload(settings::load_head_settings(folder + "/allowed.json"))});
  });
  const auto [restart_only, allowed] = reasons.get_future().get();
  EXPECT_TRUE(contains(restart_only, "'plans' changes only with a restart")) << restart_only;
  EXPECT_EQ(allowed, "");
  HttpClient http(port);
  EXPECT_EQ(status(http.put("/w/a", "x")), 201);
}

// Nodes return damaged data: a flipped bit, truncated data, wrong checksums, or another extent's data with
// valid checksums of its own. None of it may reach a client, and a read succeeds if a retry gets good data.
TEST_F(HeadTest, DamagedDataNeverReachesAClient) {
  int damaged_reads = 0;  // how many of the next reads to damage
  int damage = 0;         // kind of damage
  on_submit = [&](Peer::Conn& c, const wire::Submit& s) {
    if (s.kind != wire::IoKind::read || damaged_reads == 0) return false;
    --damaged_reads;
    std::string& extent_data = data[{s.extent.head, s.extent.serial}];
    std::vector<std::uint64_t> sums;
    checksums::compute_blocks(s.extent, extent_data, sums);
    std::string out = extent_data.substr(s.offset, s.length);
    if (damage == 0) out[out.size() / 2] ^= 4;
    if (damage == 1) out.pop_back();
    if (damage == 2) sums[0] ^= 1;
    if (damage == 3) {  // damaged data with matching checksums
      out[0] ^= 1;
      checksums::compute_blocks(s.extent, out, sums);
    }
    if (damage == 4)
      checksums::compute_blocks({s.extent.head, s.extent.serial + 1}, extent_data,
                                sums);  // another extent's checksums
    if (damage == 5) sums.clear();
    c.answer(s.id, s.attempt, out, wire::Outcome::completed, sums);
    return true;
  };
  start();
  HttpClient http(port);
  ASSERT_EQ(status(http.put("/v/roster", std::string(5000, 'r'))), 201);
  for (damage = 0; damage < 6; ++damage) {
    damaged_reads = 1;
    const std::string once = http.get("/v/roster");
    EXPECT_TRUE((status(once) == 200 && body(once) == std::string(5000, 'r')) || status(once) == 503 ||
                status(once) == 502)
        << damage << ' ' << once.substr(0, 200);
    damaged_reads = 1000;
    const std::string always = http.get("/v/roster");
    EXPECT_TRUE(status(always) == 502 || status(always) == 504) << damage << ' ' << status(always);
    EXPECT_TRUE(contains(always, "the stored data is damaged")) << damage << ' ' << always;
    damaged_reads = 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(700));  // the node is ejected for its errors
    for (int tries = 0; tries < 20 && status(http.get("/v/roster")) != 200; ++tries)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(body(http.get("/v/roster", "Range: bytes=10-19\r\n")), std::string(10, 'r')) << damage;
  }
  EXPECT_FALSE(contains(http.get("/.yewmount/metrics"), "yewmount_damaged_total 0\n"));
}

// Data is damaged at rest and no client reads it. The scrub must report each damaged object and no other.
TEST_F(HeadTest, TheScrubFindsAllDamagedExtentsAndNoOthers) {
  with_scrub = true;
  start();
  HttpClient http(port);
  for (int i = 0; i < 30; ++i) {
    ASSERT_EQ(status(http.put("/v/o" + std::to_string(i), std::string(4000, 'r'))), 201);
  }
  std::promise<void> done;
  int damaged_count = 0;
  asio::post(services_io, [&] {
    // Damages every tenth extent; the checksums that the nodes return stay as they were.
    on_submit = [&](Peer::Conn& c, const wire::Submit& s) {
      if (s.kind != wire::IoKind::read || s.extent.serial % 10 != 0) return false;
      const std::string& extent_data = data[{s.extent.head, s.extent.serial}];
      std::vector<std::uint64_t> sums;
      checksums::compute_blocks(s.extent, extent_data, sums);
      std::string out = extent_data.substr(s.offset, s.length);
      out[0] ^= 1;
      c.answer(s.id, s.attempt, out, wire::Outcome::completed, sums);
      return true;
    };
    for (const auto& [key, text] : data) damaged_count += key.second % 10 == 0;
    done.set_value();
  });
  done.get_future().get();
  ASSERT_EQ(damaged_count, 3);
  json report = json::parse(body(http.get("/.yewmount/scrub")));
  // The pass that is under way may have missed some objects; the one after it sees them all.
  const int wanted_round = std::max(3, report.at("round").get<int>() + 2);
  for (int tries = 0; tries < 100; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    report = json::parse(body(http.get("/.yewmount/scrub")));
    if (report.at("round").get<int>() >= wanted_round) break;
  }
  ASSERT_GE(report.at("round").get<int>(), wanted_round) << report;
  std::set<std::string> found;
  for (const json& f : report.at("found")) {
    EXPECT_EQ(f.at("what"), "damaged");
    found.insert(f.at("object"));
  }
  EXPECT_EQ(found.size(), 3u) << report;
  EXPECT_EQ(report.at("objects_last_round"), 30);
}

// A restarted head must continue the scrub pass that its cursor file records.
TEST_F(HeadTest, TheScrubResumesFromItsCursorAfterARestart) {
  with_scrub = true;
  const json cursor = {{"round", 7},   {"volume", "v"},        {"object", "o3"},
                       {"objects", 4}, {"extents", 9},         {"damaged", 1},
                       {"missing", 0}, {"last_objects", 1000}, {"began_wall_us", 5}};
  ASSERT_EQ(write_file(folder + "/scrub.json", cursor.dump()), "");
  start();
  HttpClient http(port);
  const json report = json::parse(body(http.get("/.yewmount/scrub")));
  EXPECT_GE(report.at("round").get<int>(), 7);
}

TEST_F(HeadTest, ADamagedScrubCursorRestartsThePass) {
  with_scrub = true;
  ASSERT_EQ(write_file(folder + "/scrub.json", "{\"round\": 7, \"vol"), "");
  start();
  HttpClient http(port);
  const json report = json::parse(body(http.get("/.yewmount/scrub")));
  EXPECT_LT(report.at("round").get<int>(), 7);
}

// Plans are replaced in quick succession while clients write and read. Each plan is applied as a whole or not
// at all, and every request is answered.
TEST_F(HeadTest, FiftyPlansUnderLoadApplyAsAWholeAndABrokenOneIsRejected) {
  with_plan = true;
  start();
  std::atomic<bool> stop_clients{false};
  std::atomic<int> requests{0};
  std::atomic<int> succeeded{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] {
      HttpClient http(port);
      for (int i = 0; !stop_clients; ++i) {
        const std::string path =
            "/v/" + std::to_string(c) + '-' + std::to_string(i / 2 % 20);  // each path is written, then read
        const int code = status(i % 2 == 0 ? http.put(path, std::string(3000, 'd')) : http.get(path));
        ++requests;
        succeeded += code >= 200 && code < 300;
        if (code != 503) {
          EXPECT_TRUE((code >= 200 && code < 300) || code == 404) << code;
        }
      }
    });
  const auto offer = [&](const std::string& text) {
    EXPECT_EQ(write_file(folder + "/plan.json", text), "");
    std::promise<void> done;
    asio::post(*io, [&] {
      daemon->reload_plan();
      done.set_value();
    });
    done.get_future().get();
  };
  const auto plan = [](int number) {
    return json{{"number", number},
                {"volumes",
                 {{{"name", "v"},
                   {"nodes", number % 3 == 0 ? json{"n0", "n1"} : json{number % 2 ? "n0" : "n1"}},
                   {"reserve", 10 * number},
                   {"weight", number}}}}}
        .dump();
  };
  HttpClient admin(port);
  for (int number = 1; number <= 50; ++number) {
    std::string text = plan(number);
    if (number == 25) text.resize(text.size() / 2);
    offer(text);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const json health = json::parse(body(admin.get("/.yewmount/health")));
    EXPECT_EQ(health.at("plan"), number == 25 ? 24 : number);
  }
  offer(plan(49));
  stop_clients = true;
  for (auto& c : clients) c.join();
  EXPECT_GT(requests, 50);
  EXPECT_GT(succeeded, requests / 2);
  EXPECT_EQ(json::parse(body(admin.get("/.yewmount/health"))).at("plan"), 50) << "the older plan is rejected";
  EXPECT_TRUE(contains(admin.get("/.yewmount/metrics"), "yewmount_plans_turned_down_total 2"));
}

TEST_F(HeadTest, ARestartKeepsTheAcceptedPlan) {
  with_plan = true;
  const auto plan = [](int number) {
    return json{{"number", number},
                {"volumes", {{{"name", "v"}, {"nodes", {"n1"}}, {"reserve", 5}, {"weight", 1}}}}}
        .dump();
  };
  ASSERT_EQ(write_file(folder + "/plan.held.json", plan(7)), "");
  ASSERT_EQ(write_file(folder + "/plan.json", plan(6)), "");
  start();
  HttpClient http(port);
  EXPECT_EQ(json::parse(body(http.get("/.yewmount/health"))).at("plan"), 7);
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(status(http.put("/v/o" + std::to_string(i), "x")), 201);
  }
  EXPECT_EQ(writes_at_node[0], 0) << "new objects go to the nodes of the plan";
  EXPECT_EQ(writes_at_node[1], 12);
}

TEST_F(HeadTest, APlanForAVolumeThatIsNotServedIsRejectedAsAWhole) {
  with_plan = true;
  const json served = {{"name", "v"}, {"nodes", {"n1"}}, {"reserve", 5}, {"weight", 1}};
  json unserved = served;
  unserved["name"] = "w";
  ASSERT_EQ(write_file(folder + "/plan.json", json{{"number", 3}, {"volumes", {served, unserved}}}.dump()),
            "");
  start();
  HttpClient http(port);
  EXPECT_EQ(json::parse(body(http.get("/.yewmount/health"))).at("plan"), 0);
  EXPECT_FALSE(std::filesystem::exists(folder + "/plan.held.json"));
}

TEST_F(HeadTest, ADamagedAppliedPlanFileIsNamedAndPreventsTheStart) {
  with_plan = true;
  ASSERT_EQ(write_file(folder + "/plan.held.json", "{\"number\": 1"), "");
  ASSERT_EQ(write_file(folder + "/head.json", settings_json().dump()), "");
  try {
    head::Daemon unexpected(*io, settings::load_head_settings(folder + "/head.json"));
    FAIL() << "the head started";
  } catch (const settings::SettingsError& e) {
    EXPECT_TRUE(contains(e.what(), "plan.held.json: not JSON")) << e.what();
  }
}

}  // namespace
}  // namespace yewmount::tests
