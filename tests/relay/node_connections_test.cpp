// NodeConnections against scripted nodes: waiting at the limit on connections, timeouts and cancellation,
// draining, and replies that belong to no command or can't be parsed.
#include "node_connections/node_connections.h"

#include <algorithm>

#include "base/base.h"
#include "tests/support/platform.h"

namespace yewmount::tests {
namespace {

struct NodeConnectionsTest : ::testing::Test, node_connections::SubmitHandler {
  struct EndedSubmit {
    std::uint64_t id;
    Result result;
    std::string value;
  };
  asio::io_context io;
  std::vector<EndedSubmit> ended;
  std::vector<std::string> received;      // first words of the commands that the node received
  std::shared_ptr<Conn> last_connection;  // on which the node last received bytes
  Server server{io, [this](std::shared_ptr<Conn> c) {
                  c->on_bytes = [this](Conn& c) {
                    last_connection = c.shared_from_this();
                    while (const auto words = next_words(c.in)) received.push_back(words->at(0));
                  };
                  c->read();
                }};
  memory::Budget budget{4000};  // half of it for incomplete replies
  node_connections::NodeConnections nodes{io, {1, 250'000, 15'000'000, 1000}, budget, *this};

  DenialReason denial = DenialReason::none;
  DenialReason may_begin(std::uint64_t, int) override { return denial; }
  void on_submit_ended(const node_connections::EndedSubmit& e) override {
    ended.push_back({e.id, e.result, std::string(e.value)});
  }
  void SetUp() override { nodes.set_node(0, "n0", server.acceptor.local_endpoint(), 0); }
  static node_connections::CommandPtr command(const std::string& prefix, const std::string& suffix) {
    auto command = std::make_shared<node_connections::Command>();
    command->prefix = prefix;
    command->fields = "d=,x=1";
    command->suffix = suffix;
    command->time_left_offset = 2;
    return command;
  }
  void submit(std::uint64_t id, Micros timeout = 2'000'000, int node = 0) {
    const std::string name = std::to_string(id);
    nodes.submit(id, 0, node, command("*2\r\n$" + std::to_string(name.size()) + "\r\n" + name + "\r\n", ""),
                 monotonic_now(), timeout);
  }
  static std::string value_reply(const std::string& value) {
    return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
  }
  void send_value(const std::string& value) { last_connection->send(value_reply(value)); }
  // Runs the event loop until the condition holds. Returns false if it does not within 2 seconds.
  template <class Condition>
  bool run_until(Condition condition) {
    const auto started = Clock::now();
    while (!condition()) {
      if (ms_since(started) > 2000) return false;
      nodes.deliver_results(monotonic_now());
      nodes.flush();
      io.run_for(std::chrono::milliseconds(2));
      if (io.stopped()) io.restart();
    }
    return true;
  }
};

// Guards against values that go to other requests than those they were made for: replies carry no id, so that
// after a command which a node drops without a word, the next reply on its connection would be taken for its
// own.
TEST_F(NodeConnectionsTest, TheReplyBehindADroppedSubmitIsNotTakenForItsOwn) {
  submit(1, 100'000);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  submit(2);
  submit(3);
  // The node drops the first command and answers the others as they come.
  std::size_t answered = 1;
  ASSERT_TRUE(run_until([&] {
    for (; answered < received.size(); ++answered) send_value("value-" + received[answered]);
    return ended.size() == 3;
  }));
  EXPECT_EQ(received, (std::vector<std::string>{"1", "2", "3"})) << "each runs once";
  EXPECT_EQ(ended[0].id, 1u);
  EXPECT_EQ(ended[0].result, Result::no_answer);
  for (const std::size_t i : {1u, 2u}) {
    EXPECT_EQ(ended[i].id, i + 1);
    EXPECT_EQ(ended[i].result, Result::ended);
    EXPECT_EQ(ended[i].value, "value-" + std::to_string(ended[i].id));
  }
  EXPECT_EQ(nodes.connection_count(), 1u);
}

// The same for a command that is cancelled: its reply may still come.
TEST_F(NodeConnectionsTest, TheReplyToACancelledSubmitIsNotGivenToTheNext) {
  submit(1);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  const std::shared_ptr<Conn> first_connection = last_connection;
  submit(2);
  nodes.cancel(1, 0);
  nodes.cancel(1, 0);  // reported only once
  ASSERT_TRUE(run_until([&] { return ended.size() == 1; }));
  EXPECT_EQ(ended[0].id, 1u);
  EXPECT_EQ(ended[0].result, Result::called_off);
  first_connection->send(value_reply("first"));  // for the cancelled submit: ignored
  ASSERT_TRUE(run_until([&] { return received.size() == 2; }));
  send_value("second");
  ASSERT_TRUE(run_until([&] { return ended.size() == 2; }));
  EXPECT_EQ(ended[1].id, 2u);
  EXPECT_EQ(ended[1].value, "second");
  EXPECT_EQ(nodes.connection_count(), 1u);
}

// A submit that waits for a connection has surely not run, however its wait ends, and it ends once.
TEST_F(NodeConnectionsTest, SubmitsThatWaitForAConnectionEndOnceAsNotSent) {
  submit(1);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  submit(2, 20'000);  // times out
  submit(3);          // cancelled
  submit(4);          // withdrawn
  submit(5);          // no connection becomes free within the connect timeout
  nodes.cancel(3, 0);
  EXPECT_EQ(nodes.withdraw_unsent(4), 1);
  EXPECT_EQ(nodes.withdraw_unsent(4), 0);
  ASSERT_TRUE(run_until([&] { return ended.size() == 4; }));
  std::vector<std::uint64_t> ids;
  for (const EndedSubmit& e : ended) {
    EXPECT_EQ(e.result, Result::not_sent) << e.id;
    ids.push_back(e.id);
  }
  std::ranges::sort(ids);
  EXPECT_EQ(ids, (std::vector<std::uint64_t>{2, 3, 4, 5}));
  EXPECT_EQ(nodes.counts().no_connection_free, 1u);
  send_value("kept");
  ASSERT_TRUE(run_until([&] { return ended.size() == 5; }));
  EXPECT_EQ(ended[4].value, "kept");
  EXPECT_EQ(received.size(), 1u);
}

// At the limit an idle connection to one node gives way to a submit that waits for another.
TEST_F(NodeConnectionsTest, AFreedConnectionGoesToTheSubmitThatWaitsForAnotherNode) {
  std::vector<std::string> received_by_other;
  Server other(io, [&](std::shared_ptr<Conn> c) {
    c->on_bytes = [&](Conn& c) {
      while (const auto words = next_words(c.in)) {
        received_by_other.push_back(words->at(0));
        c.send(value_reply("other"));
      }
    };
    c->read();
  });
  nodes.set_node(1, "n1", other.acceptor.local_endpoint(), 0);
  submit(1);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  submit(2, 2'000'000, 1);
  submit(3);
  send_value("first");
  ASSERT_TRUE(run_until([&] {
    EXPECT_LE(nodes.connection_count(), 1u);
    if (received.size() == 2 && ended.size() == 2) send_value("third");
    return ended.size() == 3;
  }));
  EXPECT_EQ(received_by_other, std::vector<std::string>{"2"});
  EXPECT_EQ(ended[1].value, "other");
  EXPECT_EQ(ended[2].value, "third");
}

TEST_F(NodeConnectionsTest, TimeoutOfTheOnlySubmitClosesItsConnection) {
  submit(1, 50'000);
  ASSERT_TRUE(run_until([&] { return ended.size() == 1; }));
  EXPECT_EQ(ended[0].result, Result::no_answer);
  EXPECT_TRUE(run_until([&] { return last_connection->is_closed; }));
  EXPECT_EQ(nodes.connection_count(), 0u);
}

// Unsent submits to a draining node are withdrawn. Those that have been sent may still be answered; then the
// connection is closed.
TEST_F(NodeConnectionsTest, DrainingWithdrawsUnsentSubmitsOnly) {
  submit(1);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  submit(2);  // waits for the connection
  nodes.drain_node(0);
  ASSERT_TRUE(run_until([&] { return ended.size() == 1; }));
  EXPECT_EQ(ended[0].id, 2u);
  EXPECT_EQ(ended[0].result, Result::not_sent);
  EXPECT_TRUE(nodes.has_submits(0));
  send_value("kept");
  ASSERT_TRUE(run_until([&] { return ended.size() == 2 && nodes.connection_count() == 0; }));
  EXPECT_EQ(ended[1].value, "kept");
  EXPECT_EQ(received.size(), 1u);
  EXPECT_FALSE(nodes.has_submits(0));
}

// A node runs a command only after its last byte has arrived, so that a value received before that is not the
// reply to it.
TEST_F(NodeConnectionsTest, ValueBeforeTheCommandIsFullySentIsRejected) {
  std::shared_ptr<Conn> stalled_connection;
  Server stalled_server(io, [&](std::shared_ptr<Conn> c) { stalled_connection = c; });
  nodes.set_node(1, "n1", stalled_server.acceptor.local_endpoint(), 0);
  nodes.submit(1, 0, 1, command("*3\r\n", std::string(32 << 20, 'b')), monotonic_now(), 2'000'000);
  ASSERT_TRUE(run_until([&] { return stalled_connection != nullptr; }));
  stalled_connection->send("*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n");
  ASSERT_TRUE(run_until([&] { return !ended.empty(); }));
  EXPECT_EQ(ended[0].result, Result::no_connection);
  EXPECT_EQ(ended[0].value, "");
}

TEST_F(NodeConnectionsTest, IncompleteReplyAndUnknownNodeEndSubmits) {
  submit(1);
  ASSERT_TRUE(run_until([&] { return received.size() == 1; }));
  last_connection->send("*3\r\n$5\r\nhalf");
  ASSERT_TRUE(run_until([&] { return ended.size() == 1; }));  // the rest of the reply never arrives
  EXPECT_EQ(ended[0].result, Result::error);
  submit(2, 2'000'000, 7);
  ASSERT_TRUE(run_until([&] { return ended.size() == 2; }));
  EXPECT_EQ(ended[1].result, Result::no_connection);  // unknown node
}

}  // namespace
}  // namespace yewmount::tests
