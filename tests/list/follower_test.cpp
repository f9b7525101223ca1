// The followed list: one time for one start, never half taken, kept before it is told, and indices that pass
// to another node only once all have let go.
#include "list/follower.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::tests {
namespace {

struct Heard : list::Told {
  struct One {
    ListKind kind;
    std::vector<std::pair<int, std::string>> entries;
    std::vector<Micros> up_since;
    std::vector<NodeState> states;
  };
  std::vector<One> all;
  std::set<int> held;  // indices that somebody still speaks of
  void on_membership(ListKind kind, std::span<const NodeEntry> entries) override {
    One one{kind, {}, {}, {}};
    for (const NodeEntry& e : entries) {
      one.entries.emplace_back(e.node, e.name);
      one.up_since.push_back(e.up_since);
      one.states.push_back(e.state);
    }
    all.push_back(one);
  }
  bool may_reuse(int node) override { return !held.count(node); }
};

// Speaks for a list service, frame by frame.
struct Speaker : net::LinkHandler {
  std::vector<std::shared_ptr<net::Link>> links;
  std::vector<wire::ListRequest> asks;
  net::Listener listener;
  explicit Speaker(asio::io_context& io)
      : listener(io, "127.0.0.1", 0, [this](asio::ip::tcp::socket s) {
          links.push_back(std::make_shared<net::Link>(std::move(s), *this));
          wire::encode(links.back()->out(), wire::Hello{wire::Role::list, "list", -1, 1});
          links.back()->start();
          links.back()->flush();
        }) {}
  ~Speaker() override {
    for (auto& l : links) l->close();
  }
  void on_frame(net::Link&, const wire::Frame& f) override {
    if (f.type != wire::FrameType::list_request) return;
    wire::ListRequest ask;
    wire::decode(f, ask);
    asks.push_back(ask);
  }
  void on_closed(net::Link&, const std::string&) override {}
  void say(const wire::List& list) {
    wire::encode(links.back()->out(), list);
    links.back()->flush();
  }
};

wire::ListEntry node(const std::string& name, wire::NodeState state = wire::NodeState::ready,
                     std::uint64_t start = 5, std::int64_t age = -1) {
  return {name, "127.0.0.1", "z", 80, 1, state, 1, start, age};
}

struct Following : ::testing::Test {
  std::string file =
      std::filesystem::temp_directory_path() / ("yewmount-list-" + std::to_string(random_id()));
  asio::io_context io;
  Speaker speaker{io};
  Heard heard;
  std::unique_ptr<list::Follower> follower = make();
  std::unique_ptr<list::Follower> make() {
    return std::make_unique<list::Follower>(
        io, list::Provision{"127.0.0.1", "head-t", file, speaker.listener.port()}, heard);
  }
  ~Following() override { std::filesystem::remove(file); }
  bool until(std::size_t n) {
    const std::int64_t end = monotonic_now() + 2'000'000;
    while (heard.all.size() < n && monotonic_now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      follower->flush();
    }
    return heard.all.size() >= n;
  }
  void watch() {
    follower->start(monotonic_now());
    follower->watch();
    const std::int64_t end = monotonic_now() + 2'000'000;
    while (speaker.asks.empty() && monotonic_now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      follower->flush();
    }
    ASSERT_FALSE(speaker.asks.empty());
  }
};

TEST_F(Following, AHeadStartsFromItsLastListAlone) {
  watch();
  speaker.say({wire::ListForm::full,
               4,
               {node("a", wire::NodeState::ready, 5, 3'000'000), node("b", wire::NodeState::draining)}});
  ASSERT_TRUE(until(2));
  EXPECT_EQ(heard.all[0].kind, ListKind::cached);
  EXPECT_TRUE(heard.all[0].entries.empty());
  const Micros told = heard.all[1].up_since[0];
  follower = make();
  follower->start(monotonic_now());
  ASSERT_EQ(heard.all.size(), 3u);
  EXPECT_EQ(heard.all[2].kind, ListKind::cached);
  ASSERT_EQ(heard.all[2].entries.size(), 2u);
  EXPECT_EQ(heard.all[2].states[1], NodeState::draining) << "what it was told holds over a restart";
  EXPECT_NEAR(static_cast<double>(heard.all[2].up_since[0]), static_cast<double>(told), 50'000.0);
  EXPECT_EQ(follower->version(), 4u);
}

TEST_F(Following, OneStartHasOneTimeHoweverOftenItIsListed) {
  watch();
  speaker.say({wire::ListForm::full, 1, {node("a", wire::NodeState::ready, 5, 1'000'000)}});
  ASSERT_TRUE(until(2));
  speaker.say({wire::ListForm::delta, 2, {node("a", wire::NodeState::ready, 5, 200'000)}});
  ASSERT_TRUE(until(3));
  EXPECT_EQ(heard.all[2].up_since[0], heard.all[1].up_since[0]) << "a list long on its way must not move it";
  speaker.say({wire::ListForm::delta, 3, {node("a", wire::NodeState::ready, 6, 0)}});
  ASSERT_TRUE(until(4));
  EXPECT_GT(heard.all[3].up_since[0], heard.all[1].up_since[0]) << "a new start is a new time";
}

TEST_F(Following, OlderChangesAreNotTakenAndFailuresAreTold) {
  watch();
  speaker.say({wire::ListForm::full, 9, {node("a")}});
  ASSERT_TRUE(until(2));
  speaker.say({wire::ListForm::delta, 7, {node("a", wire::NodeState::gone)}});
  speaker.say({wire::ListForm::failed, 9, {}});
  ASSERT_TRUE(until(3));
  EXPECT_EQ(heard.all[2].kind, ListKind::failed);
  EXPECT_EQ(follower->node(0).state, NodeState::ready);
  speaker.links.back()->close();
  ASSERT_TRUE(until(4));
  EXPECT_EQ(heard.all[3].kind, ListKind::failed);
}

TEST_F(Following, AnAddressThatIsNotLoopbackIsRefusedWithTheWholeList) {
  watch();
  wire::ListEntry far = node("far");
  far.address = "192.0.2.1";
  speaker.say({wire::ListForm::full, 2, {node("a"), far}});
  ASSERT_TRUE(until(2));
  EXPECT_EQ(heard.all[1].kind, ListKind::failed) << "never half taken";
  EXPECT_EQ(follower->size(), 0);
}

TEST_F(Following, AnIndexPassesOnOnlyOnceAllHaveLetGo) {
  watch();
  speaker.say({wire::ListForm::full, 1, {node("a"), node("b")}});
  ASSERT_TRUE(until(2));
  const int a = heard.all[1].entries[0].first;
  heard.held = {a};
  speaker.say({wire::ListForm::delta, 2, {node("a", wire::NodeState::gone)}});
  ASSERT_TRUE(until(3));
  follower->tidy();
  speaker.say({wire::ListForm::delta, 3, {node("c")}});
  ASSERT_TRUE(until(4));
  EXPECT_NE(heard.all[3].entries[0].first, a);
  heard.held.clear();
  follower->tidy();
  speaker.say({wire::ListForm::delta, 4, {node("d")}});
  ASSERT_TRUE(until(5));
  EXPECT_EQ(heard.all[4].entries[0].first, a);
  EXPECT_EQ(heard.all[4].entries[0].second, "d");
}

TEST_F(Following, ADamagedFileIsOneLineAndNoGuess) {
  for (const char* text : {"", "{\"version\": 1, \"nodes\": [", "{\"version\": -1, \"nodes\": []}"}) {
    ASSERT_EQ(write_file(file, text), "");
    EXPECT_THROW(follower->start(monotonic_now()), settings::SettingsError) << text;
  }
  EXPECT_TRUE(heard.all.empty());
}

}  // namespace
}  // namespace yewmount::tests
