#include "base/base.h"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
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

std::uint64_t fresh_number() {
  std::random_device device;
  // 63 bits: JSON readers that know only signed numbers must not turn one negative.
  return (static_cast<std::uint64_t>(device()) << 32 | device()) >> 1;
}

namespace logs {
namespace {

// What a pipe takes whole, and takes at once where it is writable at all.
constexpr std::size_t kPipeBuffer = 4096;

// Standard error without ever waiting for its reader: a line that it does not take now is dropped and
// counted, and the next one that gets through tells how many were. A line goes in pieces that a pipe takes at
// once; where one can't go on, its end is cut off and the next line starts afresh.
class StandardError : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    line_.clear();
    if (cut_) line_.push_back('\n');
    if (dropped_ > 0) {
      const std::string lost =
          "{\"event\":\"log lines dropped\",\"lines\":" + std::to_string(dropped_) + "}\n";
      line_.append(lost.data(), lost.data() + lost.size());
    }
    formatter_->format(message, line_);
    const std::size_t written = write_now(line_.data(), line_.size());
    dropped_ = written > 0 ? 0 : dropped_ + 1;
    if (written > 0) cut_ = written < line_.size();
  }
  void flush_() override {}

 private:
  // How many bytes it has taken.
  static std::size_t write_now(const char* bytes, std::size_t size) {
    std::size_t written = 0;
    while (written < size) {
      pollfd of{STDERR_FILENO, POLLOUT, 0};
      const int ready = ::poll(&of, 1, 0);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0 || !(of.revents & POLLOUT)) break;
      const ssize_t n = ::write(STDERR_FILENO, bytes + written, std::min(size - written, kPipeBuffer));
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) break;
      written += static_cast<std::size_t>(n);
    }
    return written;
  }

  spdlog::memory_buf_t line_;
  std::uint64_t dropped_ = 0;
  bool cut_ = false;
};

std::shared_ptr<spdlog::logger> logger;
std::string who;

void say(spdlog::level::level_enum level, std::string_view event, const nlohmann::ordered_json& fields) {
  if (!logger || !logger->should_log(level)) return;
  std::string rest;
  if (fields.is_object() && !fields.empty()) {
    rest = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    rest = ',' + rest.substr(1, rest.size() - 2);
  }
  const nlohmann::json name(event);
  logger->log(level, "{}\"event\":{}{}}}", who, name.dump(), rest);
}

}  // namespace

void start(std::string_view program, std::string_view name) {
  auto sink = std::make_shared<StandardError>();
  logger = std::make_shared<spdlog::logger>("log", sink);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  who = "\"program\":" + nlohmann::json(program).dump() + ",\"name\":" + nlohmann::json(name).dump() + ",";
}

bool level(std::string_view level) {
  static constexpr std::pair<std::string_view, spdlog::level::level_enum> words[] = {
      {"debug", spdlog::level::debug},
      {"info", spdlog::level::info},
      {"warn", spdlog::level::warn},
      {"error", spdlog::level::err}};
  for (const auto& [word, value] : words)
    if (word == level) {
      if (logger) logger->set_level(value);
      return true;
    }
  return false;
}

bool debugging() { return logger && logger->should_log(spdlog::level::debug); }

void debug(std::string_view e, const nlohmann::ordered_json& f) { say(spdlog::level::debug, e, f); }
void info(std::string_view e, const nlohmann::ordered_json& f) { say(spdlog::level::info, e, f); }
void warn(std::string_view e, const nlohmann::ordered_json& f) { say(spdlog::level::warn, e, f); }
void error(std::string_view e, const nlohmann::ordered_json& f) { say(spdlog::level::err, e, f); }

}  // namespace logs

namespace {

struct Descriptor {
  int fd;
  ~Descriptor() {
    if (fd >= 0) ::close(fd);
  }
};

std::string failed(const std::string& what) { return what + ": " + std::strerror(errno); }

}  // namespace

std::string read_file(const std::string& path, std::string& bytes) {
  Descriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
  if (file.fd < 0) return failed("can't open " + path);
  bytes.clear();
  char part[65536];
  for (ssize_t n; (n = ::read(file.fd, part, sizeof part)) != 0;) {
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return failed("can't read " + path);
    bytes.append(part, static_cast<std::size_t>(n));
  }
  return {};
}

std::string write_file(const std::string& path, std::string_view bytes) {
  const std::string beside = path + ".new";
  {
    Descriptor file{::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)};
    if (file.fd < 0) return failed("can't create " + beside);
    while (!bytes.empty()) {
      const ssize_t n = ::write(file.fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return failed("can't write " + beside);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    if (::fsync(file.fd) != 0) return failed("can't sync " + beside);
  }
  if (::rename(beside.c_str(), path.c_str()) != 0) return failed("can't rename to " + path);
  const std::string folder = std::filesystem::path(path).parent_path().string();
  Descriptor dir{::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  if (dir.fd >= 0) ::fsync(dir.fd);
  return {};
}

}  // namespace yewmount
