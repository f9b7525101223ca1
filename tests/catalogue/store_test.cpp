// What the catalogue promises: whole changes, true conditions, nothing told before it is on disk, and nothing
// told lost by a kill at any moment.
#include "catalogue/store.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <set>

#include "base/base.h"
#include "catalogue/client.h"
#include "catalogue/server.h"

namespace yewmount::tests {
namespace {

using namespace catalogue;
using wire::ChangeKind;
using wire::ChangeResult;
using wire::Condition;

struct Folder {
  std::string path =
      std::filesystem::temp_directory_path() / ("yewmount-test-" + std::to_string(random_id()));
  ~Folder() { std::filesystem::remove_all(path); }
};

wire::ChangeRequest put(std::string_view name, std::uint64_t serial, Condition c = Condition::none,
                std::uint64_t stamp = 0) {
  wire::ChangeRequest a;
  a.volume = "v", a.name = name;
  a.condition = c, a.stamp = stamp;
  a.object.length = 5;
  a.object.extents = {{{1, serial}, 5, 2, 3}};
  return a;
}

Outcome one(Store& store, const wire::ChangeRequest& a) {
  store.gather(a);
  std::string why;
  const auto all = store.commit(why);
  EXPECT_EQ(why, "");
  return all.at(0);
}

TEST(Store, ConditionsHoldWithinOneCommitAndOver) {
  Folder folder;
  Store store(folder.path, 4 << 20);
  store.gather(put("a", 1, Condition::absent));
  store.gather(put("a", 2, Condition::absent));
  store.gather(put("b", 3, Condition::present));
  std::string why;
  const auto all = store.commit(why);
  EXPECT_EQ(all[0].changed, ChangeResult::done);
  EXPECT_EQ(all[1].changed, ChangeResult::conflict) << "two heads on one name: the later is told";
  EXPECT_EQ(all[2].changed, ChangeResult::conflict);
  const Outcome next = one(store, put("a", 4, Condition::stamp, all[0].now.stamp));
  EXPECT_EQ(next.changed, ChangeResult::done);
  EXPECT_GT(next.now.stamp, all[0].now.stamp);
  EXPECT_EQ(next.before.extents.at(0).extent.serial, 1u);
  EXPECT_EQ(one(store, put("a", 5, Condition::stamp, all[0].now.stamp)).changed, ChangeResult::conflict);
  wire::ChangeRequest drop;
  drop.kind = ChangeKind::remove, drop.volume = "v", drop.name = "a";
  EXPECT_EQ(one(store, drop).changed, ChangeResult::done);
  EXPECT_EQ(one(store, drop).changed, ChangeResult::absent);
  wire::Object object;
  EXPECT_FALSE(store.look("v", "a", object));
}

TEST(Store, WhatNoNameStandsForIsKeptUntilNodesHaveFreedIt) {
  Folder folder;
  Store store(folder.path, 4 << 20);
  one(store, put("a", 1));
  const Outcome second = one(store, put("a", 2));
  const auto freed = store.freed(10);
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].extent.serial, 1u);
  EXPECT_EQ(freed[0].shard, 2);
  wire::ChangeRequest gone;
  gone.kind = ChangeKind::extents_freed;
  gone.object.extents = second.before.extents;
  one(store, gone);
  EXPECT_TRUE(store.freed(10).empty());
  EXPECT_EQ(store.size().redirects, 1u) << "shard 2, its default 3";
}

// Page after page every object comes once, long names too, whatever the pages' length; what comes and goes in
// between costs none of the others.
TEST(Store, AWalkMeetsEveryObjectOnce) {
  Folder folder;
  Store store(folder.path, 4 << 20);
  std::set<std::string> names;
  for (int i = 0; i < 60; ++i)
    names.insert("o" + std::to_string(i) + (i % 7 == 0 ? std::string(600, 'n') : std::string()));
  std::uint64_t serial = 0;
  for (const std::string& n : names) store.gather(put(n, ++serial));
  std::string why;
  store.commit(why);
  for (const int most : {1, 7, 60, 100}) {
    std::set<std::string> seen;
    std::string volume, name;
    for (bool end = false; !end;) {
      std::vector<wire::ScanReply::Entry> page;
      end = store.walk(volume, name, most, page);
      ASSERT_TRUE(end || static_cast<int>(page.size()) == most);
      for (const auto& e : page) {
        EXPECT_EQ(e.volume, "v");
        EXPECT_EQ(e.object.extents.size(), 1u);
        EXPECT_TRUE(seen.insert(e.name).second) << e.name;
        volume = e.volume, name = e.name;
      }
    }
    EXPECT_EQ(seen, names) << most;
  }
  std::vector<wire::ScanReply::Entry> first, rest;
  store.walk("", "", 5, first);
  wire::ChangeRequest drop = put(first.back().name, 0);
  drop.kind = wire::ChangeKind::remove;
  one(store, drop);
  EXPECT_TRUE(store.walk("v", first.back().name, 100, rest));
  EXPECT_EQ(rest.size(), names.size() - 5);
}

// Objects of many extents: a page stays within what a frame may hold, or the scrubber would cost heads their
// connection to the catalogue.
TEST(Store, AWalkOverLargeObjectsFitsAFrame) {
  Folder folder;
  Store store(folder.path, 64 << 20);
  std::string why;
  for (int i = 0; i < 12; ++i) {
    wire::ChangeRequest a = put("big" + std::to_string(i), 1);
    a.object.extents.clear();
    for (std::uint64_t e = 0; e < 4095; ++e)
      a.object.extents.push_back({{~0ull, ~0ull - e}, 8 << 20, 100000, 100000, ~0ull});
    store.gather(a);
    ASSERT_EQ(store.commit(why).at(0).changed, ChangeResult::done) << why;
  }
  std::size_t seen = 0;
  std::string volume, name;
  for (bool end = false; !end;) {
    wire::ScanReply page;
    end = page.at_end = store.walk(volume, name, 200, page.entries);
    std::string frame;
    wire::encode(frame, page);
    ASSERT_LE(frame.size(), wire::kMaxMetaBytes);
    seen += page.entries.size();
    volume = page.entries.back().volume, name = page.entries.back().name;
  }
  EXPECT_EQ(seen, 12u);
}

TEST(Store, LongNamesAreToldApart) {
  Folder folder;
  Store store(folder.path, 4 << 20);
  const std::string head(900, 'n');
  one(store, put(head + "a", 1));
  one(store, put(head + "b", 2));
  wire::Object object;
  ASSERT_TRUE(store.look("v", head + "a", object));
  EXPECT_EQ(object.extents.at(0).extent.serial, 1u);
  ASSERT_TRUE(store.look("v", head + "b", object));
  EXPECT_EQ(object.extents.at(0).extent.serial, 2u);
  EXPECT_FALSE(store.look("v", head, object));
}

TEST(Store, AFullDiskTakesNothingAndKeepsWhatItHad) {
  Folder folder;
  Store store(folder.path, 1 << 20);
  int done = 0;
  std::string why;
  for (int i = 0; i < 10'000 && why.empty(); ++i) {
    const std::string name = "object-" + std::to_string(i) + std::string(200, 'x');
    store.gather(put(name, static_cast<std::uint64_t>(i)));
    const auto all = store.commit(why);
    if (why.empty())
      ++done;
    else
      EXPECT_EQ(all.at(0).changed, ChangeResult::unwritable);
  }
  ASSERT_NE(why, "");
  EXPECT_GT(done, 100);
  wire::Object object;
  for (int i = 0; i < done; ++i)
    ASSERT_TRUE(store.look("v", "object-" + std::to_string(i) + std::string(200, 'x'), object)) << i;
  EXPECT_FALSE(store.look("v", "object-" + std::to_string(done) + std::string(200, 'x'), object));
}

TEST(Store, KillsAtAnyMomentLoseNothingThatWasTold) {
  Folder folder;
  std::uint64_t last_stamp = 0;
  int told = 0;
  for (int round = 0; round < 12; ++round) {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    const pid_t child = ::fork();
    if (child == 0) {
      ::close(pipe[0]);
      Store store(folder.path, 64 << 20);
      for (int i = 0;; ++i) {
        for (int k = 0; k < 5; ++k) {
          const std::string name = std::to_string(round) + '-' + std::to_string(5 * i + k);
          store.gather(put(name, static_cast<std::uint64_t>(i)));
        }
        std::string why;
        const auto all = store.commit(why);
        const std::uint64_t line[2] = {static_cast<std::uint64_t>(5 * i + 4), all.back().now.stamp};
        if (!why.empty() || ::write(pipe[1], line, sizeof line) != sizeof line) ::_exit(1);
      }
    }
    ::close(pipe[1]);
    ::usleep(20'000 + 7'000 * round);
    ::kill(child, SIGKILL);
    int status = 0;
    ::waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status)) << "it ended by itself";
    std::uint64_t line[2], last = 0, stamp = 0;
    while (::read(pipe[0], line, sizeof line) == sizeof line) last = line[0], stamp = line[1];
    ::close(pipe[0]);
    Store store(folder.path, 64 << 20);
    wire::Object object;
    for (std::uint64_t i = 0; stamp > 0 && i <= last; ++i, ++told) {
      ASSERT_TRUE(store.look("v", std::to_string(round) + '-' + std::to_string(i), object)) << i;
    }
    // Five changes are one commit: what was not told is there in fives or not at all.
    std::uint64_t beyond = 0;
    while (store.look("v", std::to_string(round) + '-' + std::to_string(beyond), object)) ++beyond;
    EXPECT_EQ(beyond % 5, 0u);
    const Outcome next = one(store, put("count", 1));
    EXPECT_GT(next.now.stamp, std::max(stamp, last_stamp)) << "stamps never go back";
    last_stamp = next.now.stamp;
  }
  EXPECT_GT(told, 50);
}

struct Served : ::testing::Test {
  Folder folder;
  asio::io_context io;
  std::unique_ptr<Store> store = std::make_unique<Store>(folder.path, 4 << 20);
  std::unique_ptr<Server> server = std::make_unique<Server>(io, *store, "127.0.0.1", 0);
  std::uint16_t port = server->port();
  Client client{io, {"127.0.0.1", "head-t", port, 1'000'000, 2}};
  std::vector<Result> heard;
  Client::Then then() {
    return [this](Result&& r) { heard.push_back(std::move(r)); };
  }
  bool until(std::size_t n, int ms = 2000) {
    const std::int64_t end = monotonic_now() + ms * 1000;
    while (heard.size() < n && monotonic_now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      if (server) server->turn_over();
      client.expire(monotonic_now());
      client.flush();
    }
    return heard.size() >= n;
  }
};

TEST_F(Served, LooksAreKeptForAsLongAsToldAndChangesReplaceThem) {
  client.alter(put("a", 1), monotonic_now() + 1'000'000, then());
  ASSERT_TRUE(until(1));
  EXPECT_EQ(heard[0].fate, Fate::done);
  const std::int64_t now = monotonic_now();
  ASSERT_NE(client.kept("v", "a", now), nullptr);
  EXPECT_EQ(client.kept("v", "a", now + 2'000'000), nullptr);
  wire::ChangeRequest drop;
  drop.kind = ChangeKind::remove, drop.volume = "v", drop.name = "a";
  client.alter(drop, monotonic_now() + 1'000'000, then());
  ASSERT_TRUE(until(2));
  EXPECT_EQ(client.kept("v", "a", monotonic_now()), nullptr);
  client.look("v", "a", monotonic_now() + 1'000'000, then());
  ASSERT_TRUE(until(3));
  EXPECT_EQ(heard[2].fate, Fate::absent);
  for (const char* name : {"k1", "k2", "k3"}) client.alter(put(name, 1), monotonic_now() + 1'000'000, then());
  ASSERT_TRUE(until(6));
  EXPECT_EQ(client.kept("v", "k1", monotonic_now()), nullptr) << "no more than two are kept";
}

TEST_F(Served, AChangeHandedOverAndUnansweredMayHaveBeenMade) {
  client.alter(put("a", 1), monotonic_now() + 1'000'000, then());
  ASSERT_TRUE(until(1));
  server.reset();
  client.alter(put("b", 1), monotonic_now() + 300'000, then());
  ASSERT_TRUE(until(2));
  EXPECT_NE(heard[1].fate, Fate::done);
  EXPECT_NE(heard[1].fate, Fate::absent);
  // It is away: what is asked now surely has not been made.
  client.alter(put("c", 1), monotonic_now() + 200'000, then());
  client.look("v", "a", monotonic_now() + 200'000, then());
  ASSERT_TRUE(until(4));
  EXPECT_EQ(heard[2].fate, Fate::unreachable);
  EXPECT_EQ(heard[3].fate, Fate::unreachable);
  // Back on the same port: the client finds it by itself and asks its looks again.
  client.look("v", "a", monotonic_now() + 3'000'000, then());
  server = std::make_unique<Server>(io, *store, "127.0.0.1", port);
  ASSERT_TRUE(until(5, 3000));
  EXPECT_EQ(heard[4].fate, Fate::done);
}

}  // namespace
}  // namespace yewmount::tests
