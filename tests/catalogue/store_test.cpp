// Tests of the catalogue's store, server and client: atomic commits, conditional changes, and durability of
// every acknowledged change if the process is killed at any time.
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
using wire::ChangeStatus;
using wire::Condition;

struct TemporaryDirectory {
  std::string path =
      std::filesystem::temp_directory_path() / ("yewmount-test-" + std::to_string(random_id()));
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

wire::ChangeRequest put_change(std::string_view name, std::uint64_t serial,
                               Condition condition = Condition::none, std::uint64_t stamp = 0) {
  wire::ChangeRequest change;
  change.volume = "v";
  change.name = name;
  change.condition = condition;
  change.stamp = stamp;
  change.object.length = 5;
  change.object.extents = {{{1, serial}, 5, 2, 3}};
  return change;
}

// Commits one change and returns its result.
ChangeResult commit_one(Store& store, const wire::ChangeRequest& change) {
  store.enqueue(change);
  std::string error;
  const auto results = store.commit(error);
  EXPECT_EQ(error, "");
  return results.at(0);
}

TEST(Store, ConditionsAreCheckedWithinAndAcrossCommits) {
  TemporaryDirectory directory;
  Store store(directory.path, 4 << 20);
  store.enqueue(put_change("a", 1, Condition::absent));
  store.enqueue(put_change("a", 2, Condition::absent));
  store.enqueue(put_change("b", 3, Condition::present));
  std::string error;
  const auto all = store.commit(error);
  EXPECT_EQ(all[0].status, ChangeStatus::done);
  EXPECT_EQ(all[1].status, ChangeStatus::conflict)
      << "of two concurrent creates of one name the second must fail";
  EXPECT_EQ(all[2].status, ChangeStatus::conflict);
  const ChangeResult next = commit_one(store, put_change("a", 4, Condition::stamp, all[0].current.stamp));
  EXPECT_EQ(next.status, ChangeStatus::done);
  EXPECT_GT(next.current.stamp, all[0].current.stamp);
  EXPECT_EQ(next.previous.extents.at(0).extent.serial, 1u);
  EXPECT_EQ(commit_one(store, put_change("a", 5, Condition::stamp, all[0].current.stamp)).status,
            ChangeStatus::conflict);
  wire::ChangeRequest drop;
  drop.kind = ChangeKind::remove;
  drop.volume = "v";
  drop.name = "a";
  EXPECT_EQ(commit_one(store, drop).status, ChangeStatus::done);
  EXPECT_EQ(commit_one(store, drop).status, ChangeStatus::absent);
  wire::Object object;
  EXPECT_FALSE(store.find("v", "a", object));
}

TEST(Store, ReplacedExtentsAreListedUntilTheyAreReportedFreed) {
  TemporaryDirectory directory;
  Store store(directory.path, 4 << 20);
  commit_one(store, put_change("a", 1));
  const ChangeResult second = commit_one(store, put_change("a", 2));
  const auto freed = store.freed_extents(10);
  ASSERT_EQ(freed.size(), 1u);
  EXPECT_EQ(freed[0].extent.serial, 1u);
  EXPECT_EQ(freed[0].shard, 2);
  wire::ChangeRequest confirm_freed;
  confirm_freed.kind = ChangeKind::extents_freed;
  confirm_freed.object.extents = second.previous.extents;
  commit_one(store, confirm_freed);
  EXPECT_TRUE(store.freed_extents(10).empty());
  EXPECT_EQ(store.statistics().redirects, 1u) << "stored on shard 2, the hash selects shard 3";
}

// A paged scan returns every object exactly once for any page size, including objects whose keys are hashed.
// Removing an object between two pages skips no other object.
TEST(Store, ScanReturnsEveryObjectOnce) {
  TemporaryDirectory directory;
  Store store(directory.path, 4 << 20);
  std::set<std::string> names;
  for (int i = 0; i < 60; ++i)
    names.insert("o" + std::to_string(i) + (i % 7 == 0 ? std::string(600, 'n') : std::string()));
  std::uint64_t serial = 0;
  for (const std::string& name : names) store.enqueue(put_change(name, ++serial));
  std::string error;
  store.commit(error);
  for (const int limit : {1, 7, 60, 100}) {
    std::set<std::string> seen;
    std::string volume, name;
    for (bool at_end = false; !at_end;) {
      std::vector<wire::ScanReply::Entry> page;
      at_end = store.scan(volume, name, limit, page);
      ASSERT_TRUE(at_end || static_cast<int>(page.size()) == limit);
      for (const auto& entry : page) {
        EXPECT_EQ(entry.volume, "v");
        EXPECT_EQ(entry.object.extents.size(), 1u);
        EXPECT_TRUE(seen.insert(entry.name).second) << entry.name;
        volume = entry.volume;
        name = entry.name;
      }
    }
    EXPECT_EQ(seen, names) << limit;
  }
  std::vector<wire::ScanReply::Entry> first;
  std::vector<wire::ScanReply::Entry> rest;
  store.scan("", "", 5, first);
  wire::ChangeRequest drop = put_change(first.back().name, 0);
  drop.kind = wire::ChangeKind::remove;
  commit_one(store, drop);
  EXPECT_TRUE(store.scan("v", first.back().name, 100, rest));
  EXPECT_EQ(rest.size(), names.size() - 5);
}

// A page of objects with many extents must fit a frame. Otherwise a scrub scan would make the head close its
// connection to the catalogue.
TEST(Store, ScanPageOfLargeObjectsFitsAFrame) {
  TemporaryDirectory directory;
  Store store(directory.path, 64 << 20);
  std::string error;
  for (int i = 0; i < 12; ++i) {
    wire::ChangeRequest change = put_change("big" + std::to_string(i), 1);
    change.object.extents.clear();
    for (std::uint64_t e = 0; e < 4095; ++e)
      change.object.extents.push_back({{~0ull, ~0ull - e}, 8 << 20, 100000, 100000, ~0ull});
    store.enqueue(change);
    ASSERT_EQ(store.commit(error).at(0).status, ChangeStatus::done) << error;
  }
  std::size_t seen = 0;
  std::string volume, name;
  for (bool at_end = false; !at_end;) {
    wire::ScanReply page;
    at_end = page.at_end = store.scan(volume, name, 200, page.entries);
    std::string frame;
    wire::encode(frame, page);
    ASSERT_LE(frame.size(), wire::kMaxMetaBytes);
    seen += page.entries.size();
    volume = page.entries.back().volume;
    name = page.entries.back().name;
  }
  EXPECT_EQ(seen, 12u);
}

TEST(Store, LongNamesWithACommonPrefixAreDistinct) {
  TemporaryDirectory directory;
  Store store(directory.path, 4 << 20);
  const std::string prefix(900, 'n');
  commit_one(store, put_change(prefix + "a", 1));
  commit_one(store, put_change(prefix + "b", 2));
  wire::Object object;
  ASSERT_TRUE(store.find("v", prefix + "a", object));
  EXPECT_EQ(object.extents.at(0).extent.serial, 1u);
  ASSERT_TRUE(store.find("v", prefix + "b", object));
  EXPECT_EQ(object.extents.at(0).extent.serial, 2u);
  EXPECT_FALSE(store.find("v", prefix, object));
}

TEST(Store, AFullDatabaseRejectsChangesAndKeepsItsContents) {
  TemporaryDirectory directory;
  Store store(directory.path, 1 << 20);
  int done_count = 0;
  std::string error;
  for (int i = 0; i < 10'000 && error.empty(); ++i) {
    const std::string name = "object-" + std::to_string(i) + std::string(200, 'x');
    store.enqueue(put_change(name, static_cast<std::uint64_t>(i)));
    const auto all = store.commit(error);
    if (error.empty())
      ++done_count;
    else
      EXPECT_EQ(all.at(0).status, ChangeStatus::unwritable);
  }
  ASSERT_NE(error, "");
  EXPECT_GT(done_count, 100);
  wire::Object object;
  for (int i = 0; i < done_count; ++i)
    ASSERT_TRUE(store.find("v", "object-" + std::to_string(i) + std::string(200, 'x'), object)) << i;
  EXPECT_FALSE(store.find("v", "object-" + std::to_string(done_count) + std::string(200, 'x'), object));
}

// A child process commits batches of five changes and reports each commit through a pipe until it is killed.
TEST(Store, KillLosesNoAcknowledgedChange) {
  TemporaryDirectory directory;
  std::uint64_t last_stamp = 0;
  int acknowledged = 0;
  for (int round = 0; round < 12; ++round) {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    const pid_t child = ::fork();
    if (child == 0) {
      ::close(pipe[0]);
      Store store(directory.path, 64 << 20);
      for (int i = 0;; ++i) {
        for (int k = 0; k < 5; ++k) {
          const std::string name = std::to_string(round) + '-' + std::to_string(5 * i + k);
          store.enqueue(put_change(name, static_cast<std::uint64_t>(i)));
        }
        std::string error;
        const auto all = store.commit(error);
        const std::uint64_t line[2] = {static_cast<std::uint64_t>(5 * i + 4), all.back().current.stamp};
        if (!error.empty() || ::write(pipe[1], line, sizeof line) != sizeof line) ::_exit(1);
      }
    }
    ::close(pipe[1]);
    ::usleep(20'000 + 7'000 * round);
    ::kill(child, SIGKILL);
    int status = 0;
    ::waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status)) << "the child exited before it was killed";
    std::uint64_t line[2];
    std::uint64_t last = 0;
    std::uint64_t stamp = 0;
    while (::read(pipe[0], line, sizeof line) == sizeof line) {
      last = line[0];
      stamp = line[1];
    }
    ::close(pipe[0]);
    Store store(directory.path, 64 << 20);
    wire::Object object;
    for (std::uint64_t i = 0; stamp > 0 && i <= last; ++i, ++acknowledged) {
      ASSERT_TRUE(store.find("v", std::to_string(round) + '-' + std::to_string(i), object)) << i;
    }
    // Commits are atomic: unacknowledged changes are present in whole batches of five or not at all.
    std::uint64_t present = 0;
    while (store.find("v", std::to_string(round) + '-' + std::to_string(present), object)) ++present;
    EXPECT_EQ(present % 5, 0u);
    const ChangeResult next = commit_one(store, put_change("count", 1));
    EXPECT_GT(next.current.stamp, std::max(stamp, last_stamp)) << "stamps must never go back";
    last_stamp = next.current.stamp;
  }
  EXPECT_GT(acknowledged, 50);
}

struct ServerAndClient : ::testing::Test {
  TemporaryDirectory directory;
  asio::io_context io;
  std::unique_ptr<Store> store = std::make_unique<Store>(directory.path, 4 << 20);
  std::unique_ptr<Server> server = std::make_unique<Server>(io, *store, "127.0.0.1", 0);
  std::uint16_t port = server->port();
  Client client{io, {"127.0.0.1", "head-t", port, 1'000'000, 2}};
  std::vector<Result> results;
  Client::Callback collect() {
    return [this](Result&& result) { results.push_back(std::move(result)); };
  }
  // Runs both ends until `count` results have arrived; returns false on timeout.
  bool wait_for_results(std::size_t count, int timeout_ms = 2000) {
    const std::int64_t deadline = monotonic_now() + timeout_ms * 1000;
    while (results.size() < count && monotonic_now() < deadline) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(2));
      if (server) server->commit_and_flush();
      client.expire(monotonic_now());
      client.flush();
    }
    return results.size() >= count;
  }
};

TEST_F(ServerAndClient, CacheEntriesExpireAndAreReplacedByChanges) {
  client.change(put_change("a", 1), monotonic_now() + 1'000'000, collect());
  ASSERT_TRUE(wait_for_results(1));
  EXPECT_EQ(results[0].status, Status::done);
  const std::int64_t now = monotonic_now();
  ASSERT_NE(client.cached("v", "a", now), nullptr);
  EXPECT_EQ(client.cached("v", "a", now + 2'000'000), nullptr);
  wire::ChangeRequest drop;
  drop.kind = ChangeKind::remove;
  drop.volume = "v";
  drop.name = "a";
  client.change(drop, monotonic_now() + 1'000'000, collect());
  ASSERT_TRUE(wait_for_results(2));
  EXPECT_EQ(client.cached("v", "a", monotonic_now()), nullptr);
  client.find("v", "a", monotonic_now() + 1'000'000, collect());
  ASSERT_TRUE(wait_for_results(3));
  EXPECT_EQ(results[2].status, Status::absent);
  for (const char* name : {"k1", "k2", "k3"})
    client.change(put_change(name, 1), monotonic_now() + 1'000'000, collect());
  ASSERT_TRUE(wait_for_results(6));
  EXPECT_EQ(client.cached("v", "k1", monotonic_now()), nullptr) << "no more than two objects are cached";
}

TEST_F(ServerAndClient, AChangeMadeWhileTheCatalogueIsDownIsNeverReportedDone) {
  client.change(put_change("a", 1), monotonic_now() + 1'000'000, collect());
  ASSERT_TRUE(wait_for_results(1));
  server.reset();
  client.change(put_change("b", 1), monotonic_now() + 300'000, collect());
  ASSERT_TRUE(wait_for_results(2));
  EXPECT_NE(results[1].status, Status::done);
  EXPECT_NE(results[1].status, Status::absent);
  // The catalogue is down, so these calls are never sent.
  client.change(put_change("c", 1), monotonic_now() + 200'000, collect());
  client.find("v", "a", monotonic_now() + 200'000, collect());
  ASSERT_TRUE(wait_for_results(4));
  EXPECT_EQ(results[2].status, Status::unreachable);
  EXPECT_EQ(results[3].status, Status::unreachable);
  // The catalogue returns on the same port: the client reconnects and sends its pending lookups.
  client.find("v", "a", monotonic_now() + 3'000'000, collect());
  server = std::make_unique<Server>(io, *store, "127.0.0.1", port);
  ASSERT_TRUE(wait_for_results(5, 3000));
  EXPECT_EQ(results[4].status, Status::done);
}

}  // namespace
}  // namespace yewmount::tests
