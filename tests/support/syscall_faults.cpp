// A library for LD_PRELOAD that injects transient system call failures, as the manual pages allow, and steps
// the wall clock. For tests only. Failures are drawn from a seeded generator. Kinds of failures:
//
//   eintr    socket and poll calls return EINTR
//   short    send and recv transfer fewer bytes than requested
//   accept, socket, connect    the call fails with a transient error
//   disk     reads and writes of files are interrupted or short
//   full     writes of files fail with ENOSPC or EIO
//
// Environment variables:
//
//   YEWMOUNT_FAULTS=seed=7,eintr=0.02,short=0.02,accept=0.1
//                               failure rate by kind, zero where absent; with errno=103 accept fails with
//                               only this error
//   YEWMOUNT_CLOCK_STEP=FILE    the first eight bytes are the step of the wall clock in microseconds, read at
//                               each call
//   YEWMOUNT_FAULTS_LOG=FILE    gets one line when the process exits: the number of failures of each kind
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

enum Fault { kInterrupted, kShort, kAccept, kSocket, kConnect, kDisk, kFull, kFaultCount };
constexpr const char* kFaultNames[kFaultCount] = {"eintr",   "short", "accept", "socket",
                                                  "connect", "disk",  "full"};
constexpr int kSocketErrors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
constexpr int kConnectErrors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
constexpr int kAcceptErrors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EPROTO, EINTR};

// The configuration from the environment, the generator and the counts.
struct Faults {
  double rates[kFaultCount] = {};
  std::atomic<std::uint64_t> counts[kFaultCount] = {};
  std::atomic<std::uint64_t> generator_state{1};
  const std::int64_t* clock_step_us = nullptr;
  int accept_error = 0;

  Faults() {
    if (const char* spec = std::getenv("YEWMOUNT_FAULTS")) {
      if (const char* at = std::strstr(spec, "seed="))
        generator_state = std::strtoull(at + 5, nullptr, 10) * 2 + 1;
      if (const char* at = std::strstr(spec, "errno=")) accept_error = std::atoi(at + 6);
      for (int i = 0; i < kFaultCount; ++i)
        if (const char* at = std::strstr(spec, kFaultNames[i]))
          rates[i] = std::atof(at + std::strlen(kFaultNames[i]) + 1);
    }
    if (const char* file = std::getenv("YEWMOUNT_CLOCK_STEP")) {
      const int fd = ::open(file, O_RDONLY | O_CLOEXEC);
      void* at = fd < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof *clock_step_us, PROT_READ, MAP_SHARED, fd, 0);
      if (at != MAP_FAILED) clock_step_us = static_cast<const std::int64_t*>(at);
      if (fd >= 0) ::close(fd);
    }
  }
  ~Faults() {
    const char* file = std::getenv("YEWMOUNT_FAULTS_LOG");
    if (!file) return;
    char line[256];
    int size = 0;
    for (int i = 0; i < kFaultCount; ++i)
      size += std::snprintf(line + size, sizeof line - static_cast<std::size_t>(size), "%s=%llu ",
                            kFaultNames[i], static_cast<unsigned long long>(counts[i].load()));
    line[size - 1] = '\n';
    const int fd = ::open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0 && ::write(fd, line, static_cast<std::size_t>(size)) == size) ::close(fd);
  }
  std::uint64_t draw() {  // xorshift64*
    std::uint64_t x = generator_state.load();
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    generator_state = x;
    return x * 2685821657736338717ull;
  }
  // Decides whether this call fails, and counts the failure.
  bool should_fail(Fault fault) {
    if (rates[fault] <= 0 || static_cast<double>(draw() >> 11) / 9007199254740992.0 >= rates[fault])
      return false;
    ++counts[fault];
    return true;
  }
};

Faults& faults() {
  static Faults instance;
  return instance;
}

template <class Function>
Function next_symbol(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool fails_with_eintr() {
  if (!faults().should_fail(kInterrupted)) return false;
  errno = EINTR;
  return true;
}

// The size of a socket read or write, possibly reduced to simulate a short transfer.
std::size_t transfer_size(std::size_t size) {
  return size > 1 && faults().should_fail(kShort) ? 1 + faults().draw() % (size - 1) : size;
}

bool is_file(int fd) {
  struct stat status;
  return ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

// For a read or write of a file. Returns false with errno set if the call is interrupted; otherwise may
// reduce the size.
bool prepare_file_call(int fd, size_t& size) {
  if (!is_file(fd) || !faults().should_fail(kDisk)) return true;
  if (faults().draw() % 2) {
    errno = EINTR;
    return false;
  }
  if (size > 1) size = 1 + faults().draw() % (size - 1);
  return true;
}

bool fails_accept() {
  if (!faults().should_fail(kAccept)) return false;
  const int error = kAcceptErrors[faults().draw() % (sizeof kAcceptErrors / sizeof *kAcceptErrors)];
  errno = faults().accept_error ? faults().accept_error : error;
  return true;
}

}  // namespace

extern "C" {

ssize_t recv(int fd, void* to, size_t size, int flags) {
  static const auto call = next_symbol<ssize_t (*)(int, void*, size_t, int)>("recv");
  return fails_with_eintr() ? -1 : call(fd, to, transfer_size(size), flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto call = next_symbol<ssize_t (*)(int, const void*, size_t, int)>("send");
  return fails_with_eintr() ? -1 : call(fd, from, transfer_size(size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto call = next_symbol<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  return fails_with_eintr() ? -1 : call(fd, message, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = next_symbol<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  return fails_with_eintr() ? -1 : call(fd, message, flags);
}

int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto call = next_symbol<int (*)(int, sockaddr*, socklen_t*)>("accept");
  return fails_accept() ? -1 : call(fd, from, size);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto call = next_symbol<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return fails_accept() ? -1 : call(fd, from, size, flags);
}

ssize_t read(int fd, void* to, size_t size) {
  static const auto call = next_symbol<ssize_t (*)(int, void*, size_t)>("read");
  return prepare_file_call(fd, size) ? call(fd, to, size) : -1;
}

ssize_t write(int fd, const void* from, size_t size) {
  static const auto call = next_symbol<ssize_t (*)(int, const void*, size_t)>("write");
  if (is_file(fd) && faults().should_fail(kFull)) {
    errno = faults().draw() % 2 ? ENOSPC : EIO;
    return -1;
  }
  return prepare_file_call(fd, size) ? call(fd, from, size) : -1;
}

int socket(int domain, int type, int protocol) {
  static const auto call = next_symbol<int (*)(int, int, int)>("socket");
  if (domain != AF_INET || !faults().should_fail(kSocket)) return call(domain, type, protocol);
  errno = kSocketErrors[faults().draw() % (sizeof kSocketErrors / sizeof *kSocketErrors)];
  return -1;
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static const auto call = next_symbol<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (to->sa_family != AF_INET || !faults().should_fail(kConnect)) return call(fd, to, size);
  errno = kConnectErrors[faults().draw() % (sizeof kConnectErrors / sizeof *kConnectErrors)];
  return -1;
}

int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  static const auto call = next_symbol<int (*)(pollfd*, nfds_t, int)>("poll");
  return fails_with_eintr() ? -1 : call(descriptors, count, timeout_ms);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout_ms) {
  static const auto call = next_symbol<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return fails_with_eintr() ? -1 : call(fd, events, max_events, timeout_ms);
}

int clock_gettime(clockid_t clock, timespec* to) {
  static const auto call = next_symbol<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, to);
  if (result != 0 || clock != CLOCK_REALTIME || !faults().clock_step_us) return result;
  const std::int64_t nanos = (to->tv_sec * 1'000'000LL + *faults().clock_step_us) * 1000 + to->tv_nsec;
  to->tv_sec = nanos / 1'000'000'000;
  to->tv_nsec = nanos % 1'000'000'000;
  return result;
}

}  // extern "C"
