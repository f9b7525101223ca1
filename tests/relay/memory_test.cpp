// Memory of yewmountd in relay mode: peers that hang, do not read or send long messages must not take a head
// above the limit at which the platform kills it, nor may memory stay in use once it is no longer needed.
#include <fstream>
#include <map>

#include "tests/support/platform.h"

namespace yewmount::tests {
namespace {

constexpr std::size_t kValueBytes = 60'000;

struct MemoryTest : ::testing::Test {
  Platform platform;
  std::FILE* log = std::tmpfile();
  std::size_t largest_resident_bytes = 0;

  void SetUp() override {
    platform.padding.assign(kValueBytes, 'z');
    platform.arguments = {"--log-level", "debug"};
    platform.log_fd = ::fileno(log);
  }
  void TearDown() override {
    EXPECT_EQ(platform.record.first_violation(), "");
    std::fclose(log);
  }
  // The latest value of a field of the head's memory reports; -1 if there is none.
  long reported(const std::string& field) {
    platform.run_for(300);  // some reports later
    std::ifstream lines("/proc/self/fd/" + std::to_string(::fileno(log)));
    long value = -1;
    for (std::string line; std::getline(lines, line);) {
      const auto entry = nlohmann::json::parse(line, nullptr, false);
      if (!entry.is_discarded() && entry.value("event", "") == "memory") value = entry.value(field, -1L);
    }
    return value;
  }
  std::size_t resident_bytes() const {
    std::ifstream statm("/proc/" + std::to_string(platform.head) + "/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  // Answers a command after `delay_ms` with its value in two pieces.
  void send_value_in_pieces(Conn& node_connection, const Words& words, int delay_ms) {
    for (auto& run : platform.record.runs) run.was_answered |= run.id == words[2];
    const std::string value = platform.value(words[2]);
    node_connection.send(value.substr(0, value.size() / 2));
    auto timer = std::make_shared<asio::steady_timer>(platform.io, std::chrono::milliseconds(delay_ms));
    timer->async_wait([timer, connection = node_connection.shared_from_this(),
                       rest = value.substr(value.size() / 2)](auto) { connection->send(rest); });
  }
};

// Guards against buffers that keep their memory when they are emptied: each connection that had carried long
// answers held up to 256 KiB, and idle connections alone took a head above its limit.
TEST_F(MemoryTest, EmptyBuffersOfIdleConnectionsHoldNoMemory) {
  platform.on_command = [&](int, Conn& c, const Words& words) { send_value_in_pieces(c, words, 20); };
  platform.start();
  const long before = reported("heap_used");
  std::vector<std::shared_ptr<Platform::Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(platform.client());
    for (int j = 0; j < 3; ++j)
      platform.send_request(*clients.back(), j == 2, j, 2000, std::string(50'000, 'b'));
    if (i % 4 < 3) continue;
    ASSERT_TRUE(platform.until([&] { return platform.all_answered(); }));
  }
  const long after = reported("heap_used");
  ASSERT_GT(before, 0);
  EXPECT_LT(after - before, 2 << 20);
  EXPECT_EQ(reported("client_output_pending"), 0);
}

}  // namespace
}  // namespace yewmount::tests
