// Tests the client of the list service: one start time for each incarnation of a node, lists applied whole or
// not at all, the cached list, and indices that are reused only once all users have released them.
#include "node_list/list_client.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::tests {
namespace {

struct RecordingObserver : node_list::MembershipObserver {
  struct ReceivedList {
    ListKind kind;
    std::vector<std::pair<int, std::string>> entries;
    std::vector<Micros> up_since;
    std::vector<NodeState> states;
  };
  std::vector<ReceivedList> lists;
  std::set<int> indices_in_use;
  void on_membership(ListKind kind, std::span<const NodeEntry> entries) override {
    ReceivedList received{kind, {}, {}, {}};
    for (const NodeEntry& e : entries) {
      received.entries.emplace_back(e.node, e.name);
      received.up_since.push_back(e.up_since);
      received.states.push_back(e.state);
    }
    lists.push_back(received);
  }
  bool may_reuse(int node) override { return !indices_in_use.count(node); }
};

// A list service whose frames are scripted by the test.
struct ScriptedListService : net::LinkHandler {
  std::vector<std::shared_ptr<net::Link>> links;
  std::vector<wire::ListRequest> requests;
  net::Listener listener;
  explicit ScriptedListService(asio::io_context& io)
      : listener(io, "127.0.0.1", 0, [this](asio::ip::tcp::socket s) {
          links.push_back(std::make_shared<net::Link>(std::move(s), *this));
          wire::encode(links.back()->out(), wire::Hello{wire::Role::list, "list", -1, 1});
          links.back()->start();
          links.back()->flush();
        }) {}
  ~ScriptedListService() override {
    for (auto& l : links) l->close();
  }
  void on_frame(net::Link&, const wire::Frame& frame) override {
    if (frame.type != wire::FrameType::list_request) return;
    wire::ListRequest request;
    wire::decode(frame, request);
    requests.push_back(request);
  }
  void on_closed(net::Link&, const std::string&) override {}
  void send(const wire::List& list) {
    wire::encode(links.back()->out(), list);
    links.back()->flush();
  }
};

wire::ListEntry node(const std::string& name, wire::NodeState state = wire::NodeState::ready,
                     std::uint64_t incarnation = 5, std::int64_t uptime = -1) {
  return {name, "127.0.0.1", "z", 80, 1, state, 1, incarnation, uptime};
}

struct ListClientTest : ::testing::Test {
  std::string file =
      std::filesystem::temp_directory_path() / ("yewmount-list-" + std::to_string(random_id()));
  asio::io_context io;
  ScriptedListService service{io};
  RecordingObserver observer;
  std::unique_ptr<node_list::ListClient> client = make_client();
  std::unique_ptr<node_list::ListClient> make_client() {
    return std::make_unique<node_list::ListClient>(
        io, node_list::ListClientSettings{"127.0.0.1", "head-t", file, service.listener.port()}, observer);
  }
  ~ListClientTest() override { std::filesystem::remove(file); }
  bool wait_for_lists(std::size_t count) {
    const std::int64_t end = monotonic_now() + 2'000'000;
    while (observer.lists.size() < count && monotonic_now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      client->flush();
    }
    return observer.lists.size() >= count;
  }
  void watch() {
    client->start(monotonic_now());
    client->watch();
    const std::int64_t end = monotonic_now() + 2'000'000;
    while (service.requests.empty() && monotonic_now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      client->flush();
    }
    ASSERT_FALSE(service.requests.empty());
  }
};

TEST_F(ListClientTest, HeadStartsFromCachedList) {
  watch();
  service.send({wire::ListForm::full,
                4,
                {node("a", wire::NodeState::ready, 5, 3'000'000), node("b", wire::NodeState::draining)}});
  ASSERT_TRUE(wait_for_lists(2));
  EXPECT_EQ(observer.lists[0].kind, ListKind::cached);
  EXPECT_TRUE(observer.lists[0].entries.empty());
  const Micros reported = observer.lists[1].up_since[0];
  client = make_client();
  client->start(monotonic_now());
  ASSERT_EQ(observer.lists.size(), 3u);
  EXPECT_EQ(observer.lists[2].kind, ListKind::cached);
  ASSERT_EQ(observer.lists[2].entries.size(), 2u);
  EXPECT_EQ(observer.lists[2].states[1], NodeState::draining) << "the state must survive a restart";
  EXPECT_NEAR(static_cast<double>(observer.lists[2].up_since[0]), static_cast<double>(reported), 50'000.0);
  EXPECT_EQ(client->version(), 4u);
}

TEST_F(ListClientTest, IncarnationKeepsItsStartTime) {
  watch();
  service.send({wire::ListForm::full, 1, {node("a", wire::NodeState::ready, 5, 1'000'000)}});
  ASSERT_TRUE(wait_for_lists(2));
  service.send({wire::ListForm::delta, 2, {node("a", wire::NodeState::ready, 5, 200'000)}});
  ASSERT_TRUE(wait_for_lists(3));
  EXPECT_EQ(observer.lists[2].up_since[0], observer.lists[1].up_since[0])
      << "a delayed list must not shift it";
  service.send({wire::ListForm::delta, 3, {node("a", wire::NodeState::ready, 6, 0)}});
  ASSERT_TRUE(wait_for_lists(4));
  EXPECT_GT(observer.lists[3].up_since[0], observer.lists[1].up_since[0])
      << "a new incarnation has a new start time";
}

TEST_F(ListClientTest, OlderDeltaIsIgnoredAndFailuresAreReported) {
  watch();
  service.send({wire::ListForm::full, 9, {node("a")}});
  ASSERT_TRUE(wait_for_lists(2));
  service.send({wire::ListForm::delta, 7, {node("a", wire::NodeState::gone)}});
  service.send({wire::ListForm::failed, 9, {}});
  ASSERT_TRUE(wait_for_lists(3));
  EXPECT_EQ(observer.lists[2].kind, ListKind::failed);
  EXPECT_EQ(client->node(0).state, NodeState::ready);
  service.links.back()->close();
  ASSERT_TRUE(wait_for_lists(4));
  EXPECT_EQ(observer.lists[3].kind, ListKind::failed);
}

TEST_F(ListClientTest, ListWithNonLoopbackAddressIsRejected) {
  watch();
  wire::ListEntry far = node("far");
  far.address = "192.0.2.1";
  service.send({wire::ListForm::full, 2, {node("a"), far}});
  ASSERT_TRUE(wait_for_lists(2));
  EXPECT_EQ(observer.lists[1].kind, ListKind::failed) << "a list is applied whole or not at all";
  EXPECT_EQ(client->size(), 0);
}

TEST_F(ListClientTest, IndexIsReusedOnlyOnceReleased) {
  watch();
  service.send({wire::ListForm::full, 1, {node("a"), node("b")}});
  ASSERT_TRUE(wait_for_lists(2));
  const int a = observer.lists[1].entries[0].first;
  observer.indices_in_use = {a};
  service.send({wire::ListForm::delta, 2, {node("a", wire::NodeState::gone)}});
  ASSERT_TRUE(wait_for_lists(3));
  client->release_indices();
  service.send({wire::ListForm::delta, 3, {node("c")}});
  ASSERT_TRUE(wait_for_lists(4));
  EXPECT_NE(observer.lists[3].entries[0].first, a);
  observer.indices_in_use.clear();
  client->release_indices();
  service.send({wire::ListForm::delta, 4, {node("d")}});
  ASSERT_TRUE(wait_for_lists(5));
  EXPECT_EQ(observer.lists[4].entries[0].first, a);
  EXPECT_EQ(observer.lists[4].entries[0].second, "d");
}

TEST_F(ListClientTest, InvalidCacheFileIsAnError) {
  for (const char* text : {"", "{\"version\": 1, \"nodes\": [", "{\"version\": -1, \"nodes\": []}"}) {
    ASSERT_EQ(write_file(file, text), "");
    EXPECT_THROW(client->start(monotonic_now()), settings::SettingsError) << text;
  }
  EXPECT_TRUE(observer.lists.empty());
}

}  // namespace
}  // namespace yewmount::tests
