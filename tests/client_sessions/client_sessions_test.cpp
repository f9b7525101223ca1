// ClientSessions with clients on loopback, in one process: the handler of the test decides when each command
// is answered.
#include "client_sessions/client_sessions.h"

#include <algorithm>
#include <vector>

#include "tests/support/platform.h"

namespace yewmount::tests {
namespace {

using client_sessions::ClientSessions;
using client_sessions::CommandId;

struct ClientSessionsTest : ::testing::Test, client_sessions::CommandHandler {
  static constexpr std::size_t kAnswerLimitBytes = 1 << 20;

  asio::io_context io;
  std::vector<CommandId> commands;               // in the order of their arrival
  std::vector<CommandId> ended;                  // by on_answers_blocked()
  std::size_t half_closed = 0;                   // calls of on_half_close()
  memory::Budget budget{2 * kAnswerLimitBytes};  // half of it for answers
  ClientSessions sessions{io, {asio::ip::address_v4::loopback(), 0}, 8, budget, *this};

  void on_command(const CommandId& id, const resp::Command&, Micros) override { commands.push_back(id); }
  void on_disconnect(const CommandId&) override {}
  void on_half_close(const CommandId&) override { ++half_closed; }
  void on_answers_blocked(const CommandId& id) override {
    ended.push_back(id);
    sessions.answer(id, "-BUSY\r\n");
  }

  // Connects a client that does not read, and sends `count` commands. Returns the client.
  std::shared_ptr<Conn> connect_and_send(int count) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), sessions.port()});
    auto client = std::make_shared<Conn>(std::move(socket));
    const std::size_t expected = commands.size() + static_cast<std::size_t>(count);
    for (int i = 0; i < count; ++i) client->send(array_of({"X"}));
    for (const auto from = Clock::now(); commands.size() < expected && ms_since(from) < 2000;) {
      io.run_for(std::chrono::milliseconds(2));
      io.restart();
    }
    EXPECT_EQ(commands.size(), expected);
    return client;
  }
  // Runs the event loop as the owner of the sessions does until the condition holds. Returns whether it does
  // within the limit.
  template <class Condition>
  bool run_until(Condition condition, int limit_ms = 2000) {
    for (const auto from = Clock::now(); !condition() && ms_since(from) < limit_ms;) {
      io.run_for(std::chrono::milliseconds(1));
      io.restart();
      sessions.run_deferred();
      sessions.flush();
    }
    return condition();
  }
  // Sends all bytes while the sessions read; fails if they are not taken in time.
  void send_all(Conn& client, std::string_view bytes) {
    client.socket.non_blocking(true);
    ASSERT_TRUE(run_until([&] {
      std::error_code error;
      bytes.remove_prefix(client.socket.write_some(asio::buffer(bytes), error));
      return bytes.empty();
    })) << bytes.size()
        << " bytes are not taken";
  }
};

// Guards against a value that is dropped although another connection's command could be ended: the command
// that the value answers is itself the one that blocks the most bytes, and its client is slow to read.
TEST_F(ClientSessionsTest, RoomForAnAnswerIsMadeAtAnotherConnectionIfItsOwnCommandBlocksTheMost) {
  const auto slow = connect_and_send(3);
  const auto other = connect_and_send(2);
  ASSERT_EQ(commands.size(), 5u);
  sessions.answer(commands[0], std::string(64 << 20, 'x'));  // more than a socket takes
  sessions.answer(commands[2], std::string(200'000, 'x'));
  sessions.answer(commands[4], std::string(100'000, 'x'));
  sessions.flush();
  ASSERT_GT(sessions.totals().pending_output, kAnswerLimitBytes);
  sessions.make_room(commands[1], 60'000);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].connection_id, commands[3].connection_id);
  EXPECT_EQ(ended[0].sequence, commands[3].sequence);
}

// A value that still finds no room is not kept, and a short answer always is.
TEST_F(ClientSessionsTest, AValueFindsNoRoomWhereNothingCanBeFreedAndAShortAnswerAlwaysDoes) {
  const auto slow = connect_and_send(2);
  ASSERT_EQ(commands.size(), 2u);
  sessions.answer(commands[0], std::string(64 << 20, 'x'));
  sessions.flush();
  EXPECT_FALSE(sessions.make_room(commands[1], 60'000));
  EXPECT_TRUE(sessions.make_room(commands[1], resp::kMaxLineBytes));
  EXPECT_TRUE(ended.empty());
}

// Guards against a refusal that costs a client the commands behind: a command that finds no room is refused,
// the rest of it dropped, and the connection goes on.
TEST_F(ClientSessionsTest, ACommandThatFindsNoRoomIsRefusedAndThoseBehindItAreServed) {
  memory::Budget small_budget{16 << 10};
  ClientSessions crowded{io, {asio::ip::address_v4::loopback(), 0}, 8, small_budget, *this};
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), crowded.port()});
  auto client = std::make_shared<Conn>(std::move(socket));
  client->read();
  const auto run_until = [&](auto condition) {
    for (const auto from = Clock::now(); !condition() && ms_since(from) < 2000;) {
      io.run_for(std::chrono::milliseconds(2));
      io.restart();
      crowded.run_deferred();
      crowded.flush();
    }
    return condition();
  };
  const std::string large = array_of({"W", std::string(60'000, 'b')});
  client->send(large + array_of({"X"}));
  EXPECT_TRUE(run_until([&] { return client->in == "-BUSY\r\n"; })) << client->in;
  ASSERT_TRUE(run_until([&] { return commands.size() == 1; }));
  crowded.answer(commands[0], "+OK\r\n");
  EXPECT_TRUE(run_until([&] { return client->in == "-BUSY\r\n+OK\r\n"; })) << client->in;
  EXPECT_LT(small_budget.peak(), 16u << 10);
}

constexpr std::size_t kMaxOpenCommands = 32;  // of a connection
constexpr std::size_t kMaxLastCommands = 32;  // further ones that are taken at its end
constexpr int kMaxGoneMs = 100;               // from a client's close until nothing begins for it any more

// Guards against attempts for a client that has closed behind more than its session keeps: the session has to
// read on to see the end, within the budget.
TEST_F(ClientSessionsTest, TheEndIsSeenHoweverMuchWasSentBeforeIt) {
  const auto client = connect_and_send(kMaxOpenCommands);
  const std::string write = array_of({"W", std::string(60'000, 'b')});
  std::string bytes;
  for (int i = 0; i < 400; ++i) bytes += i % 2 ? write : array_of({"X"});
  ASSERT_GT(bytes.size(), 10u << 20);
  send_all(*client, bytes);
  EXPECT_EQ(commands.size(), kMaxOpenCommands);
  client->socket.close();
  EXPECT_TRUE(run_until([&] { return half_closed >= kMaxOpenCommands; }, kMaxGoneMs));
  EXPECT_LE(commands.size(), kMaxOpenCommands + kMaxLastCommands);
  EXPECT_LT(budget.peak(), budget.limit() / 2);
}

// Commands behind a full queue are refused in their turn, and the connection goes on: large ones, small ones,
// and one of which only a part has come.
TEST_F(ClientSessionsTest, CommandsBehindAFullQueueAreRefusedInTheirTurn) {
  const auto client = connect_and_send(kMaxOpenCommands);
  client->read();
  const std::string write = array_of({"W", std::string(60'000, 'b')});
  std::string bytes;
  for (int i = 0; i < 20; ++i) bytes += write + array_of({"X"});
  send_all(*client, bytes + write.substr(0, 30'000));
  run_until([] { return false; }, 20);
  EXPECT_EQ(commands.size(), kMaxOpenCommands);
  EXPECT_EQ(client->in, "");
  std::size_t answered = 0;
  const auto answer_all = [&] {
    for (; answered < commands.size(); ++answered) sessions.answer(commands[answered], "+OK\r\n");
    return client->in.ends_with("-BUSY\r\n");
  };
  ASSERT_TRUE(run_until(answer_all));
  send_all(*client, write.substr(30'000) + array_of({"X"}));
  ASSERT_TRUE(run_until([&] {
    answer_all();
    return client->in.ends_with("-BUSY\r\n+OK\r\n");
  }));
  const std::size_t refused = sessions.counts().refused_queued;
  EXPECT_GT(refused, 20u);
  EXPECT_EQ(commands.size() + refused, kMaxOpenCommands + 42);
  std::string expected;
  for (std::size_t i = 0; i + 1 < commands.size(); ++i) expected += "+OK\r\n";
  for (std::size_t i = 0; i < refused; ++i) expected += "-BUSY\r\n";
  EXPECT_EQ(client->in, expected + "+OK\r\n");
}

// Input that can't be read gets its error in its turn also behind a full queue.
TEST_F(ClientSessionsTest, MalformedInputBehindAFullQueueGetsAnErrorInItsTurn) {
  const auto client = connect_and_send(kMaxOpenCommands);
  client->read();
  std::string bytes;
  for (int i = 0; i < 10; ++i) bytes += array_of({"W", std::string(60'000, 'b')});
  send_all(*client, bytes + "*1\r\n$-5\r\n" + bytes);
  std::size_t answered = 0;
  ASSERT_TRUE(run_until([&] {
    for (; answered < commands.size(); ++answered) sessions.answer(commands[answered], "+OK\r\n");
    return client->is_closed;
  }));
  const std::size_t error_at = client->in.find("-ERR ");
  ASSERT_NE(error_at, std::string::npos);
  const std::string before = client->in.substr(0, error_at);
  EXPECT_EQ(std::ranges::count(before, '\n'), static_cast<long>(kMaxOpenCommands + 10))
      << "each has its answer";
  EXPECT_EQ(client->in.find('\n', error_at), client->in.size() - 1) << "nothing follows";
}

// A client that ends only its sending gets a chance for commands that wait behind the limit when the end is
// seen.
TEST_F(ClientSessionsTest, CommandsThatWaitAtTheEndAreTaken) {
  const auto client = connect_and_send(kMaxOpenCommands);
  client->read();
  std::string bytes;
  for (std::size_t i = 0; i < kMaxLastCommands + 5; ++i) bytes += array_of({"X"});
  send_all(*client, bytes);
  client->socket.shutdown(asio::socket_base::shutdown_send);
  ASSERT_TRUE(run_until([&] { return half_closed >= kMaxOpenCommands; }));
  ASSERT_EQ(commands.size(), kMaxOpenCommands + kMaxLastCommands);
  for (const CommandId& id : commands) sessions.answer(id, "+OK\r\n");
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  std::string expected;
  for (std::size_t i = 0; i < commands.size(); ++i) expected += "+OK\r\n";
  for (int i = 0; i < 5; ++i) expected += "-BUSY\r\n";
  EXPECT_EQ(client->in, expected);
}

}  // namespace
}  // namespace yewmount::tests
