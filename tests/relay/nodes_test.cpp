// Where descriptors run out submits go behind one another; giving one up leaves the others as they are.
#include "nodes/nodes.h"

#include "base/base.h"
#include "tests/support/platform.h"

namespace yewmount::tests {
namespace {

struct Submitting : ::testing::Test, nodes::Told {
  struct One {
    std::uint64_t id;
    Result result;
    std::string value;
  };
  asio::io_context io;
  std::vector<One> ends;
  std::vector<std::string> seen;
  std::shared_ptr<Conn> last;
  Server server{io, [this](std::shared_ptr<Conn> c) {
                  c->on_bytes = [this](Conn& c) {
                    last = c.shared_from_this();
                    while (const auto words = next_words(c.in)) seen.push_back(words->at(0));
                  };
                  c->read();
                }};
  nodes::Nodes nodes{io, {2, 1, 250'000, 15'000'000, 1000, 2000}, *this};

  DenialReason denial = DenialReason::none;
  DenialReason may_begin(std::uint64_t, int) override { return denial; }
  void submit_ended(const nodes::Ended& e) override {
    ends.push_back({e.id, e.result, std::string(e.value)});
  }
  void SetUp() override { nodes.node_at(0, "n0", server.acceptor.local_endpoint(), 0); }
  void submit(std::uint64_t id, Micros try_for = 2'000'000, int node = 0) {
    const std::string name = std::to_string(id);
    const nodes::Command command{"*2\r\n$" + std::to_string(name.size()) + "\r\n" + name + "\r\n", "d=,x=1",
                                 "", 2};
    nodes.submit(id, 0, node, command, monotonic_now(), try_for);
  }
  void answer(const std::string& value) {
    last->send("*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
  }
  template <class Done>
  bool until(Done done) {
    const auto from = Clock::now();
    while (!done()) {
      if (ms_since(from) > 2000) return false;
      nodes.deliver(monotonic_now());
      nodes.flush();
      io.run_for(std::chrono::milliseconds(2));
      if (io.stopped()) io.restart();
    }
    return true;
  }
};

TEST_F(Submitting, OneBehindAnotherEndsInOrderAndGivingUpLeavesTheOther) {
  submit(1), submit(2), submit(3);  // two on the one connection, and no room for the third
  ASSERT_TRUE(until([&] { return ends.size() == 1 && seen.size() == 2; }));
  EXPECT_EQ(ends[0].id, 3u);
  EXPECT_EQ(ends[0].result, Result::not_sent);
  nodes.cancel(1, 0);
  nodes.cancel(1, 0);  // told once
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].result, Result::called_off);
  answer("first");  // nobody's
  answer("second");
  ASSERT_TRUE(until([&] { return ends.size() == 3; }));
  EXPECT_EQ(ends[2].id, 2u);
  EXPECT_EQ(ends[2].value, "second");
  EXPECT_EQ(nodes.connections(), 1u);
}

TEST_F(Submitting, ALoneOneGivenUpTakesItsConnectionWithIt) {
  submit(1, 50'000);
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].result, Result::no_answer);
  EXPECT_TRUE(until([&] { return last->is_closed; }));
  EXPECT_EQ(nodes.connections(), 0u);
}

// What has not begun to leave is recalled; what has may still be answered, and then its connection goes.
TEST_F(Submitting, ADrainingNodesSubmitsAreRecalledUnlessTheyHaveLeft) {
  submit(1);
  ASSERT_TRUE(until([&] { return seen.size() == 1; }));
  submit(2);  // not flushed yet
  nodes.recall(0);
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].id, 2u);
  EXPECT_EQ(ends[0].result, Result::not_sent);
  EXPECT_TRUE(nodes.busy(0));
  answer("kept");
  ASSERT_TRUE(until([&] { return ends.size() == 2 && nodes.connections() == 0; }));
  EXPECT_EQ(ends[1].value, "kept");
  EXPECT_EQ(seen.size(), 1u);
  EXPECT_FALSE(nodes.busy(0));
}

// A node begins a command once its last byte has come: what it says before that is no answer to it.
TEST_F(Submitting, AValueForACommandThatHasNotLeftWholeIsNobodys) {
  std::shared_ptr<Conn> unread;
  Server quiet(io, [&](std::shared_ptr<Conn> c) { unread = c; });
  nodes.node_at(1, "n1", quiet.acceptor.local_endpoint(), 0);
  const nodes::Command command{"*3\r\n", "d=,x=1", std::string(32 << 20, 'b'), 2};
  nodes.submit(1, 0, 1, command, monotonic_now(), 2'000'000);
  ASSERT_TRUE(until([&] { return unread != nullptr; }));
  unread->send("*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n");
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].result, Result::no_connection);
  EXPECT_EQ(ends[0].value, "");
}

TEST_F(Submitting, AnswersThatCanNotBeKeptAreSpoilt) {
  submit(1);
  ASSERT_TRUE(until([&] { return seen.size() == 1; }));
  last->send("*3\r\n$5\r\nhalf");
  ASSERT_TRUE(until([&] { return ends.size() == 1; }));  // it does not go on
  EXPECT_EQ(ends[0].result, Result::error);
  submit(2, 2'000'000, 7);
  ASSERT_TRUE(until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].result, Result::no_connection);  // no such node
}

}  // namespace
}  // namespace yewmount::tests
