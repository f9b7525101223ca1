// The running head on sockets: HTTP in, scripted nodes behind it, the catalogue beside it.
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

struct Http {  // one blocking client connection
  asio::io_context io;
  asio::ip::tcp::socket socket{io};
  std::string in;
  explicit Http(std::uint16_t port) { socket.connect({asio::ip::address_v4::loopback(), port}); }
  void send(const std::string& text) {
    std::error_code gone;
    asio::write(socket, asio::buffer(text), gone);
  }
  // Status, headers and body of the next answer; empty where the connection ended first.
  std::string answer(bool head = false) {
    std::error_code error;
    std::size_t end;
    while ((end = in.find("\r\n\r\n")) == std::string::npos) {
      char part[65536];
      const std::size_t n = socket.read_some(asio::buffer(part), error);
      if (error) return "";
      in.append(part, n);
    }
    std::size_t length = 0;
    if (const auto at = in.find("Content-Length: "); at < end && !head)
      length = std::stoul(in.substr(at + 16));
    while (in.size() < end + 4 + length) {
      char part[65536];
      const std::size_t n = socket.read_some(asio::buffer(part), error);
      if (error) return "";
      in.append(part, n);
    }
    const std::string whole = in.substr(0, end + 4 + length);
    in.erase(0, whole.size());
    return whole;
  }
  std::string ask(const std::string& text) {
    send(text);
    return answer(text.starts_with("HEAD"));
  }
  std::string put(const std::string& path, const std::string& body, const std::string& more = "") {
    return ask("PUT " + path + " HTTP/1.1\r\nHost: h\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::string get(const std::string& path, const std::string& more = "") {
    return ask("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n");
  }
};

int status(const std::string& answer) { return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3)); }
std::string body(const std::string& answer) { return answer.substr(answer.find("\r\n\r\n") + 4); }
bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

// A head started from its cached list alone: no list service is there. Scripted nodes and the catalogue run
// in one thread, the head in another.
struct Running : ::testing::Test {
  std::string folder =
      std::filesystem::temp_directory_path() / ("yewmount-head-" + std::to_string(random_id()));
  asio::io_context side;
  std::unique_ptr<catalogue::Store> store;
  std::unique_ptr<catalogue::Server> server;
  std::vector<std::unique_ptr<Peer>> nodes;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> data;
  std::function<bool(Peer::Conn&, const wire::Submit&)> instead;  // true: the test has dealt with it
  std::vector<std::string> seen;                                  // kinds of submits, in order
  std::atomic<bool> stop{false};
  std::thread beside, ahead;
  std::unique_ptr<asio::io_context> io = std::make_unique<asio::io_context>(1);
  std::unique_ptr<head::Daemon> daemon;
  std::uint16_t port = 0;

  bool with_plan = false, with_scrub = false;
  int at_node[2] = {0, 0};  // writes

  json settings_json() {
    json all = plain_settings();
    if (with_scrub) {
      all["scrub"] = {{"group", "tidy"},         {"plan", "basic"}, {"units_a_second", 400},
                      {"pause_between_ms", 100}, {"rest_ms", 20},   {"cursor", folder + "/scrub.json"}};
    }
    if (with_plan) all["plan"] = {{"file", folder + "/plan.json"}, {"held", folder + "/plan.held.json"}};
    return all;
  }

  json plain_settings() {
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
    server = std::make_unique<catalogue::Server>(side, *store, "127.0.0.1", 0);
    json list = {{"version", 3}, {"nodes", json::array()}};
    for (int n = 0; n < 2; ++n) {
      nodes.push_back(std::make_unique<Peer>(side));
      nodes[n]->on_connect = [n](Peer::Conn& c) { c.hello("n" + std::to_string(n)); };
      nodes[n]->on_submit = [this, n](Peer::Conn& c, const wire::Submit& s) {
        at_node[n] += s.kind == wire::IoKind::write;
        take(c, s);
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
    beside = std::thread([this] {
      while (!stop) {
        side.restart();
        side.run_one_for(std::chrono::milliseconds(5));
        server->commit_and_flush();
      }
    });
    ahead = std::thread([this] { daemon->run(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  void take(Peer::Conn& c, const wire::Submit& s) {
    seen.push_back(s.kind == wire::IoKind::write  ? "write"
                   : s.kind == wire::IoKind::read ? "read"
                                                  : "discard");
    if (instead && instead(c, s)) return;
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
    if (ahead.joinable()) ahead.join();
    stop = true;
    if (beside.joinable()) beside.join();
    daemon.reset();
    std::filesystem::remove_all(folder);
  }
};

TEST_F(Running, ObjectsOfManyExtentsGoInAndComeOutInParts) {
  start();
  Http http(port);
  const std::string made = http.put("/v/rosters/may", std::string(50'000, 'd'));
  EXPECT_EQ(status(made), 201) << made;
  EXPECT_TRUE(has(made, "Yewmount-Answer: ended"));
  const std::string all = http.get("/v/rosters/may");
  EXPECT_EQ(status(all), 200);
  EXPECT_EQ(body(all).size(), 50'000u);
  const std::string part = http.get("/v/rosters/may", "Range: bytes=6000-19999\r\n");
  EXPECT_EQ(status(part), 206);
  EXPECT_EQ(body(part).size(), 14'000u);
  EXPECT_TRUE(has(part, "Content-Range: bytes 6000-19999/50000"));
  EXPECT_EQ(body(http.get("/v/rosters/may", "Range: bytes=-7\r\n")).size(), 7u);
  EXPECT_EQ(status(http.get("/v/rosters/may", "Range: bytes=50000-\r\n")), 416);
  const std::string head = http.ask("HEAD /v/rosters/may HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(has(head, "Content-Length: 50000"));
  EXPECT_EQ(status(http.put("/v/rosters/may", "new", "If-None-Match: *\r\n")), 412);
  EXPECT_EQ(status(http.put("/v/rosters/may", "new")), 204);
  EXPECT_EQ(body(http.get("/v/rosters/may")).size(), 3u);
  EXPECT_EQ(status(http.ask("DELETE /v/rosters/may HTTP/1.1\r\nHost: h\r\n\r\n")), 204);
  EXPECT_EQ(status(http.get("/v/rosters/may")), 404);
}

TEST_F(Running, AWriteResetAfterItsLastByteIsNeverSentAgainAndNeverShed) {
  int writes = 0;
  instead = [&](Peer::Conn& c, const wire::Submit&) {
    ++writes;
    c.reset();
    return true;
  };
  start();
  Http http(port);
  const std::string answer = http.put("/v/signup", "x");
  EXPECT_EQ(status(answer), 504) << answer;
  EXPECT_TRUE(has(answer, "Yewmount-Answer: failed"));
  EXPECT_TRUE(has(answer, "Yewmount-May-Have-Run: yes"));
  EXPECT_EQ(writes, 1);
}

TEST_F(Running, AWriteWhoseConnectionBreaksBeforeItsFirstByteIsSentElsewhere) {
  for (auto& n : nodes) {
    auto greet = n->on_connect;
    n->on_connect = [greet, first = true](Peer::Conn& c) mutable {
      if (std::exchange(first, false)) return c.reset();
      greet(c);
    };
  }
  start();
  Http http(port);
  const std::string answer = http.put("/v/signup", "x");
  // Each node broke one connection at most: the third submit, if not the second, finds one that stands.
  EXPECT_TRUE(status(answer) == 201 || has(answer, "Yewmount-May-Have-Run: no") || status(answer) == 503)
      << answer;
  EXPECT_LE(std::count(seen.begin(), seen.end(), "write"), 1);
  EXPECT_EQ(status(http.put("/v/signup-2", "x")), 201) << "both stand now";
}

TEST_F(Running, ANodeThatNeverAnswersCostsOneAnswerInTime) {
  instead = [](Peer::Conn&, const wire::Submit&) { return true; };
  start();
  Http http(port);
  const std::int64_t began = monotonic_now();
  const std::string answer = http.put("/v/signup", "x", "Yewmount-Patience-Ms: 500\r\n");
  EXPECT_LT(monotonic_now() - began, 700'000);
  EXPECT_EQ(status(answer), 504) << answer;
  EXPECT_TRUE(has(answer, "Yewmount-May-Have-Run: yes"));
}

TEST_F(Running, AClientThatHangsUpMidUploadLeavesNothingInHand) {
  start();
  {
    Http http(port);
    http.send("PUT /v/half HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + std::string(9000, 'd'));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Http http(port);
  EXPECT_EQ(status(http.get("/v/half")), 404);
  const std::string health = http.get("/.yewmount/health");
  EXPECT_TRUE(has(health, "\"in_hand\":0")) << health;
  EXPECT_TRUE(has(http.get("/.yewmount/metrics"), "yewmount_clients_left_total 1"));
}

TEST_F(Running, ACatalogueThatCannotWriteFailsTheWriteAndSaysSo) {
  store = nullptr;
  server = nullptr;
  store = std::make_unique<catalogue::Store>(folder + "/small", 1 << 20);
  server = std::make_unique<catalogue::Server>(side, *store, "127.0.0.1", 0);
  start();
  Http http(port);
  std::string answer;
  int fine = 0;
  for (int i = 0; i < 4000; ++i) {
    answer = http.put("/v/" + std::string(300, 'n') + std::to_string(i), "x");
    if (status(answer) != 201) break;
    ++fine;
  }
  EXPECT_GT(fine, 100);
  EXPECT_TRUE(has(answer, "Yewmount-Answer: failed")) << answer;
  EXPECT_TRUE(has(answer, "the catalogue can't be written")) << answer;
  EXPECT_EQ(status(http.get("/v/" + std::string(300, 'n') + "0")), 200) << "what stands still reads";
}

TEST_F(Running, WhatIsNoGoodHttpIsRefusedWithTheRightStatus) {
  start();
  const auto one = [&](const std::string& text) {
    Http http(port);
    return status(http.ask(text));
  };
  EXPECT_EQ(one("GET /v/../etc HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/%2e%2e/etc HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/a%2fb HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/a%00 HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v//a HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/" + std::string(2000, 'n') + " HTTP/1.1\r\nHost: h\r\n\r\n"), 400);
  EXPECT_EQ(one("POST /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), 405);
  EXPECT_EQ(one("GET /none/a HTTP/1.1\r\nHost: h\r\n\r\n"), 404);
  EXPECT_EQ(one("PUT /v/a HTTP/1.1\r\nHost: h\r\n\r\n"), 411);
  EXPECT_EQ(one("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"), 413);
  EXPECT_EQ(one("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400);
  EXPECT_EQ(one("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), 400);
  EXPECT_EQ(one("GET /v/a HTTP/1.1\r\nX: " + std::string(8000, 'h') + "\r\n\r\n"), 431);
  EXPECT_EQ(one("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/a HTTP/1.1\r\nYewmount-Patience-Ms: soon\r\n\r\n"), 400);
  EXPECT_EQ(one("GET /v/a HTTP/1.1\r\nExpect: tea\r\n\r\n"), 417);
}

TEST_F(Running, ExchangesSentTogetherAreAnsweredInTurnAndChunksAreTaken) {
  start();
  Http http(port);
  http.send(
      "PUT /v/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nddd\r\n2\r\ndd\r\n0\r\n\r\n"
      "GET /v/a HTTP/1.1\r\nHost: h\r\n\r\nGET /v/none HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(status(http.answer()), 201);
  EXPECT_EQ(body(http.answer()), "ddddd");
  EXPECT_EQ(status(http.answer()), 404);
}

TEST_F(Running, ADrainingHeadAnswersWhatItHoldsAndTakesNothingNew) {
  std::atomic<int> held{0};
  instead = [&](Peer::Conn& c, const wire::Submit& s) {
    // Answered only once the head has been told to drain.
    auto timer = std::make_shared<asio::steady_timer>(side, std::chrono::milliseconds(250));
    timer->async_wait([&c, id = s.id, no = s.attempt, timer](std::error_code) { c.answer(id, no); });
    ++held;
    return true;
  };
  start();
  Http first(port), second(port);
  second.get("/v/none");
  first.send("PUT /v/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nd");
  while (held == 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  asio::post(*io, [this] { daemon->drain(); });
  EXPECT_EQ(status(first.answer()), 201) << "what was in hand gets its final answer";
  ahead.join();
  EXPECT_THROW(Http{port}, std::system_error);
}

TEST_F(Running, SettingsThatCannotChangeAreTurnedDownWhole) {
  start();
  json j = settings_json();
  j["volumes"].push_back({{"name", "w"}, {"plan", "basic"}});
  ASSERT_EQ(write_file(folder + "/next.json", j.dump()), "");
  j["plans"][0]["nominal"] = 5;
  ASSERT_EQ(write_file(folder + "/worse.json", j.dump()), "");
  std::promise<std::pair<std::string, std::string>> said;
  asio::post(*io, [&] {
    const std::string worse = daemon->reload(settings::load_head_settings(folder + "/worse.json"));
    said.set_value({worse, daemon->reload(settings::load_head_settings(folder + "/next.json"))});
  });
  const auto [worse, next] = said.get_future().get();
  EXPECT_TRUE(has(worse, "'plans' changes only with a restart")) << worse;
  EXPECT_EQ(next, "");
  Http http(port);
  EXPECT_EQ(status(http.put("/w/a", "x")), 201);
}

// A bit that flips at the node, under way, in the length, or another extent's data with its own good sums:
// nothing of it reaches a client, and what a second look can mend is mended.
TEST_F(Running, DamagedDataNeverReachesAClient) {
  int bad = 0;  // so many of the coming reads
  int how = 0;
  instead = [&](Peer::Conn& c, const wire::Submit& s) {
    if (s.kind != wire::IoKind::read || bad == 0) return false;
    --bad;
    std::string& whole = data[{s.extent.head, s.extent.serial}];
    std::vector<std::uint64_t> sums;
    checksums::compute_blocks(s.extent, whole, sums);
    std::string out = whole.substr(s.offset, s.length);
    if (how == 0) out[out.size() / 2] ^= 4;
    if (how == 1) out.pop_back();
    if (how == 2) sums[0] ^= 1;
    if (how == 3)
      out[0] ^= 1, checksums::compute_blocks(s.extent, out, sums);  // damaged, with sums that fit it
    if (how == 4)
      checksums::compute_blocks({s.extent.head, s.extent.serial + 1}, whole, sums);  // another extent's
    if (how == 5) sums.clear();
    c.answer(s.id, s.attempt, out, wire::Outcome::completed, sums);
    return true;
  };
  start();
  Http http(port);
  ASSERT_EQ(status(http.put("/v/roster", std::string(5000, 'r'))), 201);
  for (how = 0; how < 6; ++how) {
    bad = 1;
    const std::string once = http.get("/v/roster");
    EXPECT_TRUE((status(once) == 200 && body(once) == std::string(5000, 'r')) || status(once) == 503 ||
                status(once) == 502)
        << how << ' ' << once.substr(0, 200);
    bad = 1000;
    const std::string always = http.get("/v/roster");
    EXPECT_TRUE(status(always) == 502 || status(always) == 504) << how << ' ' << status(always);
    EXPECT_TRUE(has(always, "damaged where it lies")) << how << ' ' << always;
    bad = 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(700));  // the node is shut for its errors
    for (int tries = 0; tries < 20 && status(http.get("/v/roster")) != 200; ++tries)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(body(http.get("/v/roster", "Range: bytes=10-19\r\n")), std::string(10, 'r')) << how;
  }
  EXPECT_FALSE(has(http.get("/.yewmount/metrics"), "yewmount_damaged_total 0\n"));
}

// What rots at rest is found by the scrub alone, all of it and nothing else; what was written anew since is
// no finding; the report tells which.
TEST_F(Running, TheScrubFindsWhatRotsAndNothingElse) {
  with_scrub = true;
  start();
  Http http(port);
  for (int i = 0; i < 30; ++i) {
    ASSERT_EQ(status(http.put("/v/o" + std::to_string(i), std::string(4000, 'r'))), 201);
  }
  std::promise<void> done;
  int count = 0;
  asio::post(side, [&] {
    // Every tenth extent of all; the nodes' sums stay what they were.
    instead = [&](Peer::Conn& c, const wire::Submit& s) {
      if (s.kind != wire::IoKind::read || s.extent.serial % 10 != 0) return false;
      const std::string& whole = data[{s.extent.head, s.extent.serial}];
      std::vector<std::uint64_t> sums;
      checksums::compute_blocks(s.extent, whole, sums);
      std::string out = whole.substr(s.offset, s.length);
      out[0] ^= 1;
      c.answer(s.id, s.attempt, out, wire::Outcome::completed, sums);
      return true;
    };
    for (const auto& [key, text] : data) count += key.second % 10 == 0;
    done.set_value();
  });
  done.get_future().get();
  ASSERT_EQ(count, 3);
  json report;
  for (int tries = 0; tries < 100; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    report = json::parse(body(http.get("/.yewmount/scrub")));
    if (report.at("round").get<int>() >= 3) break;
  }
  ASSERT_GE(report.at("round").get<int>(), 3) << report;
  std::set<std::string> found;
  for (const json& f : report.at("found")) {
    EXPECT_EQ(f.at("what"), "damaged");
    found.insert(f.at("object"));
  }
  EXPECT_EQ(found.size(), 3u) << report;
  EXPECT_EQ(report.at("objects_last_round"), 30);
}

// A head that starts again goes on where it was; a cursor that is damaged begins the round anew.
TEST_F(Running, TheScrubsCursorOutlivesAStart) {
  with_scrub = true;
  const json cursor = {{"round", 7},   {"volume", "v"},        {"object", "o3"},
                       {"objects", 4}, {"extents", 9},         {"damaged", 1},
                       {"missing", 0}, {"last_objects", 1000}, {"began_wall_us", 5}};
  ASSERT_EQ(write_file(folder + "/scrub.json", cursor.dump()), "");
  start();
  Http http(port);
  const json report = json::parse(body(http.get("/.yewmount/scrub")));
  EXPECT_GE(report.at("round").get<int>(), 7);
}

TEST_F(Running, ADamagedCursorBeginsTheRoundAnew) {
  with_scrub = true;
  ASSERT_EQ(write_file(folder + "/scrub.json", "{\"round\": 7, \"vol"), "");
  start();
  Http http(port);
  const json report = json::parse(body(http.get("/.yewmount/scrub")));
  EXPECT_LT(report.at("round").get<int>(), 7);
}

// Plans as fast as they come while clients write and read: each whole or not at all, every ask answered.
TEST_F(Running, FiftyPlansInARowUnderLoadOneOfThemBroken) {
  with_plan = true;
  start();
  std::atomic<bool> over{false};
  std::atomic<int> asked{0}, ended{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c)
    clients.emplace_back([&, c] {
      Http http(port);
      for (int i = 0; !over; ++i) {
        const std::string path =
            "/v/" + std::to_string(c) + '-' + std::to_string(i / 2 % 20);  // written, then read
        const int code = status(i % 2 == 0 ? http.put(path, std::string(3000, 'd')) : http.get(path));
        ++asked;
        ended += code >= 200 && code < 300;
        if (code != 503) {
          EXPECT_TRUE((code >= 200 && code < 300) || code == 404) << code;
        }
      }
    });
  const auto offer = [&](const std::string& text) {
    EXPECT_EQ(write_file(folder + "/plan.json", text), "");
    std::promise<void> done;
    asio::post(*io, [&] {
      daemon->take_plan();
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
  Http look(port);
  for (int number = 1; number <= 50; ++number) {
    std::string text = plan(number);
    if (number == 25) text.resize(text.size() / 2);
    offer(text);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const json health = json::parse(body(look.get("/.yewmount/health")));
    EXPECT_EQ(health.at("plan"), number == 25 ? 24 : number);
  }
  offer(plan(49));
  over = true;
  for (auto& c : clients) c.join();
  EXPECT_GT(asked, 50);
  EXPECT_GT(ended, asked / 2);
  EXPECT_EQ(json::parse(body(look.get("/.yewmount/health"))).at("plan"), 50) << "never an earlier one";
  EXPECT_TRUE(has(look.get("/.yewmount/metrics"), "yewmount_plans_turned_down_total 2"));
}

TEST_F(Running, ARestartHoldsThePlanThatWasTaken) {
  with_plan = true;
  const auto plan = [](int number) {
    return json{{"number", number},
                {"volumes", {{{"name", "v"}, {"nodes", {"n1"}}, {"reserve", 5}, {"weight", 1}}}}}
        .dump();
  };
  ASSERT_EQ(write_file(folder + "/plan.held.json", plan(7)), "");
  ASSERT_EQ(write_file(folder + "/plan.json", plan(6)), "");
  start();
  Http http(port);
  EXPECT_EQ(json::parse(body(http.get("/.yewmount/health"))).at("plan"), 7);
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(status(http.put("/v/o" + std::to_string(i), "x")), 201);
  }
  EXPECT_EQ(at_node[0], 0) << "new objects go where the plan says";
  EXPECT_EQ(at_node[1], 12);
}

TEST_F(Running, APlanForAVolumeThatIsNotServedIsTurnedDownWhole) {
  with_plan = true;
  const json good = {{"name", "v"}, {"nodes", {"n1"}}, {"reserve", 5}, {"weight", 1}};
  json other = good;
  other["name"] = "w";
  ASSERT_EQ(write_file(folder + "/plan.json", json{{"number", 3}, {"volumes", {good, other}}}.dump()), "");
  start();
  Http http(port);
  EXPECT_EQ(json::parse(body(http.get("/.yewmount/health"))).at("plan"), 0);
  EXPECT_FALSE(std::filesystem::exists(folder + "/plan.held.json"));
}

TEST_F(Running, ADamagedHeldPlanStopsTheStartWithItsName) {
  with_plan = true;
  ASSERT_EQ(write_file(folder + "/plan.held.json", "{\"number\": 1"), "");
  ASSERT_EQ(write_file(folder + "/head.json", settings_json().dump()), "");
  try {
    head::Daemon never(*io, settings::load_head_settings(folder + "/head.json"));
    FAIL() << "it started";
  } catch (const settings::SettingsError& e) {
    EXPECT_TRUE(has(e.what(), "plan.held.json: not JSON")) << e.what();
  }
}

}  // namespace
}  // namespace yewmount::tests
