// Every way a submit can end, brought about on real sockets; each ends once and doubt is never settled in the
// better direction.
#include "carrier/carrier.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "tests/support/peer.h"

namespace yewmount::tests {
namespace {

struct Heard : carrier::Told {
  struct One {
    std::uint64_t id;
    int no;
    Result result;
    std::string data;
  };
  std::vector<One> all;
  int probes = 0;
  DenialReason denial = DenialReason::none;
  DenialReason may_begin(std::uint64_t, int) override { return denial; }
  void submit_ended(const carrier::Ended& e) override {
    all.push_back({e.id, e.no, e.result, std::string(e.data)});
  }
  void probe_ended(int, Result, Micros, const LoadReport&) override { ++probes; }
};

struct Carrying : ::testing::Test {
  asio::io_context io;
  Heard heard;
  carrier::Carrier carrier{io, {"head-t", 1, 32, 200'000, 15'000'000}, heard};
  Peer peer{io};
  void SetUp() override { carrier.node_at(0, {"n0", "127.0.0.1", peer.port(), 0}); }
  void submit(std::uint64_t id, Micros try_for = 1'000'000, std::string_view data = "x", int no = 0) {
    wire::Submit s;
    s.id = id, s.attempt = no;
    s.kind = wire::IoKind::write;
    s.idempotency = wire::Idempotency::side_effecting;
    s.group = "g", s.volume = "v", s.object = "o";
    s.length = static_cast<std::uint32_t>(data.size());
    carrier.submit(0, s, data, monotonic_now(), try_for);
  }
  void turn() {
    carrier.deliver(monotonic_now());
    carrier.flush();
  }
  bool until(std::size_t ends, int ms = 3000) {
    return run_until(
        io, [&] { return heard.all.size() >= ends; }, [&] { turn(); }, ms);
  }
  void idle(int ms) {
    run_until(
        io, [] { return false; }, [&] { turn(); }, ms);
  }
};

TEST_F(Carrying, AnAnswerEndsItsSubmitOnceAndLaterOnesAreNobodys) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) {
    c.answer(s.id, s.attempt, "data");
    c.answer(s.id, s.attempt, "again");
  };
  submit(7);
  ASSERT_TRUE(until(1));
  idle(50);
  ASSERT_EQ(heard.all.size(), 1u);
  EXPECT_EQ(heard.all[0].result, Result::ended);
  EXPECT_EQ(heard.all[0].data, "data");
  EXPECT_TRUE(carrier.out() == 0);
}

TEST_F(Carrying, AResetAfterTheLastByteMayHaveRun) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit&) { c.reset(); };
  submit(8);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::lost);
}

TEST_F(Carrying, AResetBeforeTheFirstByteSurelyDidNotRun) {
  peer.on_connect = [](Peer::Conn& c) { c.reset(); };
  submit(9);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::no_connection);
}

TEST_F(Carrying, NobodyListeningSurelyDidNotRun) {
  peer.stop();
  submit(10);
  EXPECT_TRUE(heard.all.empty()) << "never told from within the call";
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::no_connection);
}

TEST_F(Carrying, APeerThatNeverGreetsIsNoConnection) {
  submit(11);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::no_connection);
  ASSERT_EQ(peer.conns.size(), 1u);
  EXPECT_TRUE(peer.conns[0]->seen.empty()) << "nothing was handed over";
}

// What was permitted when it was decided may not be any more once the node has greeted.
TEST_F(Carrying, WhatMayNotBeginAnyMoreDoesNotLeaveOnceTheNodeHasGreeted) {
  submit(1);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty(); }, [&] { turn(); }, 1000));
  heard.denial = DenialReason::memory_over;
  peer.conns.front()->hello("n0");
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::not_sent);
  EXPECT_TRUE(peer.conns.front()->seen.empty());
}

TEST_F(Carrying, AnotherNodeAtTheAddressGetsNothing) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("someone-else"); };
  submit(12);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::no_connection);
  EXPECT_TRUE(peer.conns[0]->seen.empty());
}

TEST_F(Carrying, AnAnswerAfterTheSubmitWasGivenUpChangesNothing) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(13, 60'000);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::no_answer);
  peer.conns[0]->answer(13, 0);
  idle(50);
  EXPECT_EQ(heard.all.size(), 1u);
  // The connection is still good for the next.
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  submit(14);
  ASSERT_TRUE(until(2));
  EXPECT_EQ(heard.all[1].result, Result::ended);
  EXPECT_EQ(peer.conns.size(), 1u);
}

TEST_F(Carrying, GarbageClosesThatConnectionOnly) {
  Peer other(io);
  carrier.node_at(1, {"n1", "127.0.0.1", other.port(), 0});
  other.on_connect = [](Peer::Conn& c) { c.hello("n1"); };
  for (const std::string& garbage :
       {std::string("HTTP/1.1 400 Bad\r\n"), std::string("YM\x02\x03\x00\x00\x00\x10\x80\x00\x00\x00", 12),
        std::string("YM\x07", 3), std::string("YM\x02\x63\0\0\0\0\0\0\0\0", 12)}) {
    heard.all.clear();
    peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
    peer.on_submit = [&](Peer::Conn& c, const wire::Submit&) { c.send(garbage); };
    submit(20);
    wire::Submit s;
    s.id = 21, s.group = "g", s.volume = "v", s.object = "o";
    carrier.submit(1, s, {}, monotonic_now(), 1'000'000);
    ASSERT_TRUE(until(1));
    EXPECT_EQ(heard.all[0].id, 20u);
    EXPECT_EQ(heard.all[0].result, Result::lost);
    ASSERT_TRUE(run_until(
        io, [&] { return !other.conns.empty() && !other.conns.back()->seen.empty(); }, [&] { turn(); }));
    other.conns.back()->answer(21, 0);
    ASSERT_TRUE(until(2));
    EXPECT_EQ(heard.all[1].result, Result::ended);
    other.conns.back()->seen.clear();
  }
  EXPECT_EQ(other.conns.size(), 1u);
}

TEST_F(Carrying, HalfAFrameAndThenNothingIsLost) {
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
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::lost);
}

// What still waits here in whole when its time is over is taken back: it surely never runs, and what comes
// after it on the connection still makes sense to the node. What is half out may have run.
TEST_F(Carrying, WhatWaitsBehindAStuckConnectionIsTakenBack) {
  peer.reads = false;
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(40, 5'000'000, "first");
  ASSERT_TRUE(run_until(
      io, [&] { return peer.conns.size() == 1; }, [&] { turn(); }));
  idle(30);
  const std::string big(8 << 20, 'b');
  submit(41, 400'000, big);
  submit(42, 400'000, big);
  idle(30);  // the socket is full now, the write of 41 under way
  submit(43, 100'000, "taken back");
  submit(44, 5'000'000, "stays");
  ASSERT_TRUE(until(3));
  EXPECT_EQ(heard.all[0].id, 43u);
  EXPECT_EQ(heard.all[0].result, Result::not_sent);
  for (const auto& e : heard.all)
    if (e.id == 41) {
      EXPECT_EQ(e.result, Result::no_answer) << "half out: it may come whole yet";
    } else if (e.id == 42) {
      EXPECT_EQ(e.result, Result::not_sent);
    }
  // Now the node reads on.
  std::vector<std::uint64_t> ids;
  wire::FrameDecoder inbox;
  std::vector<char> part(1 << 20);
  std::vector<std::string> datas;
  peer.conns[0]->socket.non_blocking(true);
  ASSERT_TRUE(run_until(
      io, [&] { return ids.size() >= 3; },
      [&] {
        turn();
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

// Guards a drain: told in time, what waits behind a stuck socket or a connection in the making must not leave
// after the grace.
TEST_F(Carrying, WhatHasNotBegunToLeaveIsRecalledFromADrainingNode) {
  peer.reads = false;
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(45);
  carrier.recall(0, monotonic_now());
  ASSERT_EQ(heard.all.size(), 1u) << "the connection was still being made";
  EXPECT_EQ(heard.all[0].result, Result::not_sent);
  submit(46, 5'000'000, "first");
  ASSERT_TRUE(run_until(
      io, [&] { return peer.conns.size() == 1; }, [&] { turn(); }));
  idle(30);
  submit(47, 5'000'000, std::string(8 << 20, 'b'));
  idle(30);  // half of it is in the socket
  submit(48, 5'000'000, "waits");
  submit(49, 5'000'000, "waits too");
  turn();
  heard.all.clear();
  carrier.recall(0, monotonic_now());
  ASSERT_EQ(heard.all.size(), 2u);
  EXPECT_EQ(heard.all[0].id + heard.all[1].id, 48u + 49u);
  for (const auto& e : heard.all) EXPECT_EQ(e.result, Result::not_sent);
  EXPECT_EQ(carrier.out(), 2u) << "what may have run is still waited for";
}

// Guards against memory that grows with the rate times the longest hard limit.
TEST_F(Carrying, TimeOutsOfWhatHasEndedAreNotKept) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  submit(1, 200'000);
  for (std::uint64_t i = 2; i <= 8000; ++i) {
    submit(i, 3'600'000'000);
    if (i % 20 == 0) {
      ASSERT_TRUE(until(i));
    }
  }
  ASSERT_TRUE(until(8000));
  EXPECT_LT(carrier.kept(), 2000u);
  // One that was out while the heap was made anew still has its time.
  peer.on_submit = nullptr;
  submit(9001, 150'000);
  peer.on_submit = [](Peer::Conn& c, const wire::Submit& s) {
    if (s.id != 9001) c.answer(s.id, s.attempt);
  };
  for (std::uint64_t i = 10'000; i < 13'000; ++i) {
    submit(i, 3'600'000'000);
    if (i % 30 == 29) turn(), io.restart(), io.run_one_for(std::chrono::milliseconds(1));
  }
  ASSERT_TRUE(until(8000 + 1 + 3000));
  const auto it =
      std::find_if(heard.all.begin(), heard.all.end(), [](const auto& e) { return e.id == 9001; });
  ASSERT_NE(it, heard.all.end());
  EXPECT_EQ(it->result, Result::no_answer);
}

TEST_F(Carrying, ACancelledOneIsCalledOffOnce) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(50);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty() && !peer.conns[0]->seen.empty(); }, [&] { turn(); }));
  carrier.cancel(50, 0);
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::called_off);
  peer.conns[0]->answer(50, 0);
  idle(50);
  EXPECT_EQ(heard.all.size(), 1u);
}

TEST_F(Carrying, ANodeThatMovedLosesWhatWasOutAndItsIndexIsFreeThen) {
  peer.on_connect = [](Peer::Conn& c) { c.hello("n0"); };
  submit(60);
  ASSERT_TRUE(run_until(
      io, [&] { return !peer.conns.empty() && !peer.conns[0]->seen.empty(); }, [&] { turn(); }));
  EXPECT_FALSE(carrier.forget(0)) << "a submit is out";
  Peer next(io);
  next.on_connect = [](Peer::Conn& c) { c.hello("n0", 2); };
  next.on_submit = [](Peer::Conn& c, const wire::Submit& s) { c.answer(s.id, s.attempt); };
  carrier.node_at(0, {"n0", "127.0.0.1", next.port(), 2});
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard.all[0].result, Result::lost);
  submit(61);
  ASSERT_TRUE(until(2));
  EXPECT_EQ(heard.all[1].result, Result::ended);
  EXPECT_TRUE(carrier.forget(0));
  EXPECT_EQ(carrier.connections(), 0u);
}

// Random ends over many connections: each submit ends exactly once, and what the peer read whole before the
// connection broke is never told as surely not run.
TEST_F(Carrying, RandomEndsAreToldOnceAndHonestly) {
  std::mt19937 chance(5);
  std::map<std::uint64_t, int> read;
  peer.on_connect = [&](Peer::Conn& c) {
    if (chance() % 6 == 0) return c.reset();
    c.hello("n0");
  };
  peer.on_submit = [&](Peer::Conn& c, const wire::Submit& s) {
    ++read[s.id];
    const unsigned what = chance() % 10;
    if (what < 6)
      c.answer(s.id, s.attempt, {}, what == 0 ? wire::Outcome::rejected : wire::Outcome::completed);
    if (what == 6) c.reset();
    if (what == 7) c.send("noise");
  };
  const int many = 600;
  for (int i = 1; i <= many; ++i) {
    submit(static_cast<std::uint64_t>(i), 150'000, std::string(1 + chance() % 3000, 'd'));
    if (i % 5 == 0) idle(1);
  }
  ASSERT_TRUE(until(many, 10'000));
  idle(50);
  std::map<std::uint64_t, int> ends;
  for (const auto& e : heard.all) {
    EXPECT_EQ(++ends[e.id], 1) << e.id;
    EXPECT_LE(read[e.id], 1) << e.id;
    const bool surely_not = e.result == Result::no_connection || e.result == Result::not_sent;
    EXPECT_FALSE(surely_not && read[e.id] > 0) << e.id << " was read by the node and told as surely not run";
  }
  EXPECT_EQ(ends.size(), static_cast<std::size_t>(many));
}

}  // namespace
}  // namespace yewmount::tests
