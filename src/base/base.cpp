#include "base/base.h"

#include <fcntl.h>
#include <malloc.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

namespace yewmount {

std::int64_t monotonic_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t wall_now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

std::uint64_t random_id() {
  std::random_device entropy;
  // 63 bits: JSON readers with signed 64-bit integers only would turn a larger number negative.
  return (static_cast<std::uint64_t>(entropy()) << 32 | entropy()) >> 1;
}

ProcessMemory process_memory() {
  ProcessMemory memory;
  const struct mallinfo2 heap = ::mallinfo2();
  memory.heap_used = heap.uordblks + heap.hblkhd;
  memory.heap_free = heap.fordblks;
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  std::ifstream statm("/proc/self/statm");
  if (statm >> total_pages >> resident_pages)
    memory.resident = resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  return memory;
}

void release_free_memory() { ::malloc_trim(0); }

namespace logs {
namespace {

// PIPE_BUF on Linux: a pipe that polls as writable accepts a write of this size without blocking.
constexpr std::size_t kPipeWriteBytes = 4096;

// Log sink that writes to standard error and never blocks on a slow reader. A line that can't be written now
// is dropped and counted; the next line that gets through is preceded by an event with that count. A line is
// written in chunks that a pipe accepts without blocking; if a chunk can't be written, the rest of the line
// is discarded and the next line starts with a line break.
class NonBlockingStderrSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    line_.clear();
    if (truncated_) line_.push_back('\n');
    if (dropped_ > 0) {
      const std::string notice =
          "{\"event\":\"log lines dropped\",\"lines\":" + std::to_string(dropped_) + "}\n";
      line_.append(notice.data(), notice.data() + notice.size());
    }
    formatter_->format(message, line_);
    const std::size_t written = write_available(line_.data(), line_.size());
    dropped_ = written > 0 ? 0 : dropped_ + 1;
    if (written > 0) truncated_ = written < line_.size();
  }
  void flush_() override {}

 private:
  // Writes what can be written without blocking; returns the number of bytes written.
  static std::size_t write_available(const char* bytes, std::size_t size) {
    std::size_t written = 0;
    while (written < size) {
      pollfd descriptor{STDERR_FILENO, POLLOUT, 0};
      const int ready = ::poll(&descriptor, 1, 0);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0 || !(descriptor.revents & POLLOUT)) break;
      const ssize_t n = ::write(STDERR_FILENO, bytes + written, std::min(size - written, kPipeWriteBytes));
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) break;
      written += static_cast<std::size_t>(n);
    }
    return written;
  }

  spdlog::memory_buf_t line_;
  std::uint64_t dropped_ = 0;
  bool truncated_ = false;
};

std::shared_ptr<spdlog::logger> logger;
std::string process_fields;  // JSON members that identify the process in each line

void write_event(spdlog::level::level_enum level, std::string_view event,
                 const nlohmann::ordered_json& fields) {
  if (!logger || !logger->should_log(level)) return;
  std::string members;
  if (fields.is_object() && !fields.empty()) {
    members = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    members = ',' + members.substr(1, members.size() - 2);
  }
  const nlohmann::json name(event);
  logger->log(level, "{}\"event\":{}{}}}", process_fields, name.dump(), members);
}

}  // namespace

void init(std::string_view program, std::string_view name) {
  auto sink = std::make_shared<NonBlockingStderrSink>();
  logger = std::make_shared<spdlog::logger>("log", sink);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  process_fields =
      "\"program\":" + nlohmann::json(program).dump() + ",\"name\":" + nlohmann::json(name).dump() + ",";
}

bool set_level(std::string_view level) {
  static constexpr std::pair<std::string_view, spdlog::level::level_enum> levels[] = {
      {"debug", spdlog::level::debug},
      {"info", spdlog::level::info},
      {"warn", spdlog::level::warn},
      {"error", spdlog::level::err}};
  for (const auto& [text, value] : levels)
    if (text == level) {
      if (logger) logger->set_level(value);
      return true;
    }
  return false;
}

bool is_debug_enabled() { return logger && logger->should_log(spdlog::level::debug); }

void debug(std::string_view event, const nlohmann::ordered_json& fields) {
  write_event(spdlog::level::debug, event, fields);
}
void info(std::string_view event, const nlohmann::ordered_json& fields) {
  write_event(spdlog::level::info, event, fields);
}
void warn(std::string_view event, const nlohmann::ordered_json& fields) {
  write_event(spdlog::level::warn, event, fields);
}
void error(std::string_view event, const nlohmann::ordered_json& fields) {
  write_event(spdlog::level::err, event, fields);
}

}  // namespace logs

namespace {

// Closes its file descriptor when it goes out of scope.
struct FileDescriptor {
  int fd;
  ~FileDescriptor() {
    if (fd >= 0) ::close(fd);
  }
};

std::string describe_errno(const std::string& action) { return action + ": " + std::strerror(errno); }

}  // namespace

std::string read_file(const std::string& path, std::string& bytes) {
  FileDescriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
  if (file.fd < 0) return describe_errno("can't open " + path);
  bytes.clear();
  char chunk[65536];
  for (ssize_t n; (n = ::read(file.fd, chunk, sizeof chunk)) != 0;) {
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return describe_errno("can't read " + path);
    bytes.append(chunk, static_cast<std::size_t>(n));
  }
  return {};
}

std::string write_file(const std::string& path, std::string_view bytes) {
  const std::string temporary = path + ".new";
  {
    FileDescriptor file{::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)};
    if (file.fd < 0) return describe_errno("can't create " + temporary);
    while (!bytes.empty()) {
      const ssize_t n = ::write(file.fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return describe_errno("can't write " + temporary);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    if (::fsync(file.fd) != 0) return describe_errno("can't sync " + temporary);
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) return describe_errno("can't rename to " + path);
  const std::string parent = std::filesystem::path(path).parent_path().string();
  FileDescriptor directory{::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  if (directory.fd >= 0) ::fsync(directory.fd);
  return {};
}

}  // namespace yewmount
