// Tests each way in which a submit can end, on real sockets: it ends exactly once, and a submit that may
// have run is never reported as certainly not run.
#include "node_transport/node_transport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "tests/support/peer.h"

namespace yewmount::tests {
namespace {

struct RecordingObserver : node_transport::TransportObserver {
  struct Ended {
    std::uint64_t id;
    int attempt;
    Result result;
    std::string data;
  };
  std::vector<Ended> results;
  int probes = 0;
  DenialReason denial = DenialReason::none;
  DenialReason may_begin(std::uint64_t, int) override { return denial; }
  void on_submit_ended(const node_transport::SubmitResult& e) override {
    results.push_back({e.id, e.attempt, e.result, std::string(e.data)});
  }
  void on_probe_ended(int, Result, Micros, const LoadReport&) override { ++probes; }
};

struct NodeTransportTest : ::testing::Test {
  asio::io_context io;
  RecordingObserver observer;
  node_transport::NodeTransport transport{io, {"head-t", 1, 32, 200'000, 15'000'000}, observer};
  Peer peer{io};
  void SetUp() override { transport.set_endpoint(0, {"n0", "127.0.0.1", peer.port(), 0}); }
  void submit(std::uint64_t id, Micros timeout = 1'000'000, std::string_view data = "x", int attempt = 0) {
    wire::Submit s;
    s.id = id;
    s.attempt = attempt;
    s.kind = wire::IoKind::write;
    s.idempotency = wire::Idempotency::side_effecting;
    s.group = "g";
    s.volume = "v";
    s.object = "o";
    s.length = static_cast<std::uint32_t>(data.size());
    transport.submit(0, s, data, monotonic_now(), timeout);
  }
  void run_iteration() {
    transport.deliver_results(monotonic_now());
    transport.flush();
  }
  bool wait_for_results(std::size_t count, int ms = 3000) {
    return run_until(
        io, [&] { return observer.results.size() >= count; }, [&] { run_iteration(); }, ms);
  }
  void run_for(int ms) {
    run_until(
        io, [] { return false; }, [&] { run_iteration(); }, ms);
  }
};

TEST_F(NodeTransportTest, SubmitEndsWithItsFirstAnswer) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) {
    c.answer(s.id, s.attempt, "data");
    c.answer(s.id, s.attempt, "again");
  };
  submit(7);
  ASSERT_TRUE(wait_for_results(1));
  run_for(50);
  ASSERT_EQ(observer.results.size(), 1u);
  EXPECT_EQ(observer.results[0].result, Result::ended);
  EXPECT_EQ(observer.results[0].data, "data");
  EXPECT_TRUE(transport.in_flight() == 0);
}

TEST_F(NodeTransportTest, ResetAfterLastByteMayHaveRun) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit&) { c.reset(); };
  submit(8);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::lost);
}

TEST_F(NodeTransportTest, ResetBeforeFirstByteHasNotRun) {
  peer.on_connect = [](Peer::Conn& c) { c.reset(); };
  submit(9);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::no_connection);
}

TEST_F(NodeTransportTest, RefusedConnectionHasNotRun) {
  peer.stop();
  submit(10);
  EXPECT_TRUE(observer.results.empty()) << "not reported from within the call";
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::no_connection);
}

TEST_F(NodeTransportTest, MissingHelloIsNoConnection) {
  submit(11);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::no_connection);
  ASSERT_EQ(peer.conns.size(), 1u);
  EXPECT_TRUE(peer.conns[0]->seen.empty()) << "nothing was sent";
}

// A submit that was permitted when it was routed may be denied by the time the node's hello arrives.
TEST_F(NodeTransportTest, DeniedSubmitIsNotSentAfterHello) {
  submit(1);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty(); }, [&] { run_iteration(); }, 1000));
  observer.denial = DenialReason::memory_over;
  peer.conns.front()->hello("n0");
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::not_sent);
  EXPECT_TRUE(peer.conns.front()->seen.empty());
}

TEST_F(NodeTransportTest, UnexpectedNodeReceivesNoSubmit) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("someone-else"); };
  submit(12);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::no_connection);
  EXPECT_TRUE(peer.conns[0]->seen.empty());
}

TEST_F(NodeTransportTest, AnswerAfterTimeoutIsIgnored) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(13, 60'000);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::no_answer);
  peer.conns[0]->answer(13, 0);
  run_for(50);
  EXPECT_EQ(observer.results.size(), 1u);
  // The connection still serves the next submit.
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  submit(14);
  ASSERT_TRUE(wait_for_results(2));
  EXPECT_EQ(observer.results[1].result, Result::ended);
  EXPECT_EQ(peer.conns.size(), 1u);
}

TEST_F(NodeTransportTest, MalformedFrameClosesOnlyItsConnection) {
  Peer other(io);
  transport.set_endpoint(1, {"n1", "127.0.0.1", other.port(), 0});
  other.on_connect = [](Peer::Conn& c) { c.hello("n1"); };
  for (const std::string& malformed :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string("YM\x02\x03\x00\x00\x00\x10\x80\x00\x00\x00", 12),
        std::string("YM\x07", 3), std::string("YM\x02\x63\0\0\0\0\0\0\0\0", 12)}) {
    observer.results.clear();
    peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
    peer.on_submit = [&](Peer::Conn& c, const wire::Submit&) { c.send(malformed); };
    submit(20);
    wire::Submit s;
    s.id = 21;
    s.group = "g";
    s.volume = "v";
    s.object = "o";
    transport.submit(1, s, {}, monotonic_now(), 1'000'000);
    ASSERT_TRUE(wait_for_results(1));
    EXPECT_EQ(observer.results[0].id, 20u);
    EXPECT_EQ(observer.results[0].result, Result::lost);
    ASSERT_TRUE(run_until(
        io, [&] { return !other.conns.empty() && !other.conns.back()->seen.empty(); },
        [&] { run_iteration(); }));
    other.conns.back()->answer(21, 0);
    ASSERT_TRUE(wait_for_results(2));
    EXPECT_EQ(observer.results[1].result, Result::ended);
    other.conns.back()->seen.clear();
  }
  EXPECT_EQ(other.conns.size(), 1u);
}

TEST_F(NodeTransportTest, IncompleteAnswerIsLost) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) {
    std::string frame;
    wire::Answer a;
    a.id = s.id;
    wire::encode(frame, a, "data");
    c.send(frame.substr(0, frame.size() - 2));
    c.socket.shutdown(asio::socket_base::shutdown_send);
  };
  submit(30);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::lost);
}

// At its timeout, a frame that is still buffered whole is withdrawn and certainly never runs; the frames
// after it must stay readable for the node. A frame that has been sent in part may have run.
TEST_F(NodeTransportTest, BufferedSubmitIsWithdrawnAtItsTimeout) {
  peer.reads = false;
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(40, 5'000'000, "first");
  ASSERT_TRUE(run_until(
      io, [&] { return peer.conns.size() == 1; }, [&] { run_iteration(); }));
  run_for(30);
  const std::string big(8 << 20, 'b');
  submit(41, 400'000, big);
  submit(42, 400'000, big);
  run_for(30);  // the socket is full now, and 41 is partly written
  submit(43, 100'000, "taken back");
  submit(44, 5'000'000, "stays");
  ASSERT_TRUE(wait_for_results(3));
  EXPECT_EQ(observer.results[0].id, 43u);
  EXPECT_EQ(observer.results[0].result, Result::not_sent);
  for (const auto& e : observer.results)
    if (e.id == 41) {
      EXPECT_EQ(e.result, Result::no_answer) << "partly sent: the rest may follow";
    } else if (e.id == 42) {
      EXPECT_EQ(e.result, Result::not_sent);
    }
  // Now the node reads.
  std::vector<std::uint64_t> ids;
  wire::FrameDecoder inbox;
  std::vector<char> part(1 << 20);
  std::vector<std::string> payloads;
  peer.conns[0]->socket.non_blocking(true);
  ASSERT_TRUE(run_until(
      io, [&] { return ids.size() >= 3; },
      [&] {
        run_iteration();
        std::error_code error;
        const std::size_t n = peer.conns[0]->socket.read_some(asio::buffer(part), error);
        if (error) return;
        std::copy_n(part.data(), n, inbox.prepare(n).data());
        inbox.commit(n);
        wire::Frame f;
        while (inbox.next(f)) {
          if (f.type != wire::FrameType::submit) continue;
          wire::Submit s;
          wire::decode(f, s);
          ids.push_back(s.id);
        }
      },
      8000));
  EXPECT_EQ(ids, (std::vector<std::uint64_t>{40, 41, 44}));
}

// Submits that wait for a full socket or for a connection to open must not reach a draining node after its
// grace period.
TEST_F(NodeTransportTest, UnsentSubmitsAreWithdrawnFromDrainingNode) {
  peer.reads = false;
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(45);
  transport.withdraw_unsent(0, monotonic_now());
  ASSERT_EQ(observer.results.size(), 1u) << "the connection was not open yet";
  EXPECT_EQ(observer.results[0].result, Result::not_sent);
  submit(46, 5'000'000, "first");
  ASSERT_TRUE(run_until(
      io, [&] { return peer.conns.size() == 1; }, [&] { run_iteration(); }));
  run_for(30);
  submit(47, 5'000'000, std::string(8 << 20, 'b'));
  run_for(30);  // it is partly written
  submit(48, 5'000'000, "waits");
  submit(49, 5'000'000, "waits too");
  run_iteration();
  observer.results.clear();
  transport.withdraw_unsent(0, monotonic_now());
  ASSERT_EQ(observer.results.size(), 2u);
  EXPECT_EQ(observer.results[0].id + observer.results[1].id, 48u + 49u);
  for (const auto& e : observer.results) EXPECT_EQ(e.result, Result::not_sent);
  EXPECT_EQ(transport.in_flight(), 2u) << "submits that may have run stay in flight";
}

// Guards against a timeout heap that grows with the request rate times the longest hard limit.
TEST_F(NodeTransportTest, TimeoutsOfEndedSubmitsAreDropped) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  submit(1, 200'000);
  for (std::uint64_t i = 2; i <= 8000; ++i) {
    submit(i, 3'600'000'000);
    if (i % 20 == 0) {
      ASSERT_TRUE(wait_for_results(i));
    }
  }
  ASSERT_TRUE(wait_for_results(8000));
  EXPECT_LT(transport.pending_timeouts(), 2000u);
  // A submit in flight while the heap is rebuilt keeps its timeout.
  peer.on_submit = nullptr;
  submit(9001, 150'000);
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) {
    if (s.id != 9001) c.answer(s.id, s.attempt);
  };
  for (std::uint64_t i = 10'000; i < 13'000; ++i) {
    submit(i, 3'600'000'000);
    if (i % 30 == 29) {
      run_iteration();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
    }
  }
  ASSERT_TRUE(wait_for_results(8000 + 1 + 3000));
  const auto it = std::find_if(observer.results.begin(), observer.results.end(),
                               [](const auto& e) { return e.id == 9001; });
  ASSERT_NE(it, observer.results.end());
  EXPECT_EQ(it->result, Result::no_answer);
}

TEST_F(NodeTransportTest, CancelledSubmitEndsOnce) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(50);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty() && !peer.conns[0]->seen.empty(); }, [&] { run_iteration(); }));
  transport.cancel(50, 0);
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::called_off);
  peer.conns[0]->answer(50, 0);
  run_for(50);
  EXPECT_EQ(observer.results.size(), 1u);
}

TEST_F(NodeTransportTest, NewEndpointEndsSubmitsInFlightAndFreesIndex) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(60);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty() && !peer.conns[0]->seen.empty(); }, [&] { run_iteration(); }));
  EXPECT_FALSE(transport.forget_node(0)) << "a submit is in flight";
  Peer next(io);
  next.on_connect = [](Peer::Conn& c) { c.hello("n0", 2); };
  next.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  transport.set_endpoint(0, {"n0", "127.0.0.1", next.port(), 2});
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(observer.results[0].result, Result::lost);
  submit(61);
  ASSERT_TRUE(wait_for_results(2));
  EXPECT_EQ(observer.results[1].result, Result::ended);
  EXPECT_TRUE(transport.forget_node(0));
  EXPECT_EQ(transport.connections(), 0u);
}

// Random results over many connections: each submit ends exactly once, and a submit that the peer has read
// whole is never reported as certainly not run.
TEST_F(NodeTransportTest, RandomResultsAreReportedOnceAndCorrectly) {
  std::mt19937 random(5);
  std::map<std::uint64_t, int> reads;
  peer.on_connect = [&](Peer::Conn& c) {
    if (random() % 6 == 0) return c.reset();
    c.hello("n0");
  };
  peer.on_submit = [&](Peer::Conn& c, const wire::Submit& s) {
    ++reads[s.id];
    const unsigned action = random() % 10;
    if (action < 6)
      c.answer(s.id, s.attempt, {}, action == 0 ? wire::Outcome::rejected : wire::Outcome::completed);
    if (action == 6) c.reset();
    if (action == 7) c.send("noise");
  };
  constexpr int kSubmits = 600;
  for (int i = 1; i <= kSubmits; ++i) {
    submit(static_cast<std::uint64_t>(i), 150'000, std::string(1 + random() % 3000, 'd'));
    if (i % 5 == 0) run_for(1);
  }
  ASSERT_TRUE(wait_for_results(kSubmits, 10'000));
  run_for(50);
  std::map<std::uint64_t, int> ended;
  for (const auto& e : observer.results) {
    EXPECT_EQ(++ended[e.id], 1) << e.id;
    EXPECT_LE(reads[e.id], 1) << e.id;
    const bool certainly_not_run = e.result == Result::no_connection || e.result == Result::not_sent;
    EXPECT_FALSE(certainly_not_run && reads[e.id] > 0)
        << e.id << " was read by the node and reported as certainly not run";
  }
  EXPECT_EQ(ended.size(), static_cast<std::size_t>(kSubmits));
}

}  // namespace
}  // namespace yewmount::tests
