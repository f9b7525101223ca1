// A library for LD_PRELOAD that makes system calls fail for a moment, as their manual pages allow, and steps
// the wall clock. For tests only. What it does is drawn from a seed:
//
// disk: reads and writes of files are interrupted or short; full: writes of files fail with ENOSPC or EIO.
//
//   YEWMOUNT_FAULTS=seed=7,eintr=0.02,short=0.02,accept=0.1    rates by call; absent ones are zero;
//                               with errno=103 accept fails with just that one
//   YEWMOUNT_CLOCK_STEP=FILE    the first eight bytes are the step of the wall clock in microseconds, as they
//                               stand at each call
//   YEWMOUNT_FAULTS_LOG=FILE    one line at the process's end: how often each failure was made
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

enum Fault { kInterrupted, kShort, kAccept, kSocket, kConnect, kDisk, kFull, kFaults };
constexpr const char* kNames[kFaults] = {"eintr", "short", "accept", "socket", "connect", "disk", "full"};
constexpr int kSocketErrors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
constexpr int kConnectErrors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
constexpr int kAcceptErrors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, EPROTO, EINTR};

struct Faults {
  double rates[kFaults] = {};
  std::atomic<std::uint64_t> made[kFaults] = {};
  std::atomic<std::uint64_t> state{1};
  const std::int64_t* step = nullptr;
  int accept_error = 0;

  Faults() {
    if (const char* all = std::getenv("YEWMOUNT_FAULTS")) {
      if (const char* at = std::strstr(all, "seed=")) state = std::strtoull(at + 5, nullptr, 10) * 2 + 1;
      if (const char* at = std::strstr(all, "errno=")) accept_error = std::atoi(at + 6);
      for (int i = 0; i < kFaults; ++i)
        if (const char* at = std::strstr(all, kNames[i]))
          rates[i] = std::atof(at + std::strlen(kNames[i]) + 1);
    }
    if (const char* file = std::getenv("YEWMOUNT_CLOCK_STEP")) {
      const int fd = ::open(file, O_RDONLY | O_CLOEXEC);
      void* at = fd < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof *step, PROT_READ, MAP_SHARED, fd, 0);
      if (at != MAP_FAILED) step = static_cast<const std::int64_t*>(at);
      if (fd >= 0) ::close(fd);
    }
  }
  ~Faults() {
    const char* file = std::getenv("YEWMOUNT_FAULTS_LOG");
    if (!file) return;
    char line[256];
    int size = 0;
    for (int i = 0; i < kFaults; ++i)
      size += std::snprintf(line + size, sizeof line - static_cast<std::size_t>(size), "%s=%llu ", kNames[i],
                            static_cast<unsigned long long>(made[i].load()));
    line[size - 1] = '\n';
    const int fd = ::open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0 && ::write(fd, line, static_cast<std::size_t>(size)) == size) ::close(fd);
  }
  std::uint64_t draw() {  // xorshift64*
    std::uint64_t x = state.load();
    x ^= x >> 12, x ^= x << 25, x ^= x >> 27;
    state = x;
    return x * 2685821657736338717ull;
  }
  bool make(Fault fault) {
    if (rates[fault] <= 0 || static_cast<double>(draw() >> 11) / 9007199254740992.0 >= rates[fault])
      return false;
    ++made[fault];
    return true;
  }
};

Faults& faults() {
  static Faults all;
  return all;
}

template <class Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool interrupted() {
  if (!faults().make(kInterrupted)) return false;
  errno = EINTR;
  return true;
}

// A read or write of a socket moves fewer bytes than asked for.
std::size_t shorter(std::size_t size) {
  return size > 1 && faults().make(kShort) ? 1 + faults().draw() % (size - 1) : size;
}

bool is_file(int fd) {
  struct stat about;
  return ::fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

// Of a file's read or write: false where it is interrupted; size is what it moves at most.
bool file_call(int fd, size_t& size) {
  if (!is_file(fd) || !faults().make(kDisk)) return true;
  if (faults().draw() % 2) {
    errno = EINTR;
    return false;
  }
  if (size > 1) size = 1 + faults().draw() % (size - 1);
  return true;
}

bool accept_fails() {
  if (!faults().make(kAccept)) return false;
  const int error = kAcceptErrors[faults().draw() % (sizeof kAcceptErrors / sizeof *kAcceptErrors)];
  errno = faults().accept_error ? faults().accept_error : error;
  return true;
}

}  // namespace

extern "C" {

ssize_t recv(int fd, void* to, size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  return interrupted() ? -1 : call(fd, to, shorter(size), flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, const void*, size_t, int)>("send");
  return interrupted() ? -1 : call(fd, from, shorter(size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  return interrupted() ? -1 : call(fd, message, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  return interrupted() ? -1 : call(fd, message, flags);
}

int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
  return accept_fails() ? -1 : call(fd, from, size);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return accept_fails() ? -1 : call(fd, from, size, flags);
}

ssize_t read(int fd, void* to, size_t size) {
  static const auto call = real<ssize_t (*)(int, void*, size_t)>("read");
  return file_call(fd, size) ? call(fd, to, size) : -1;
}

ssize_t write(int fd, const void* from, size_t size) {
  static const auto call = real<ssize_t (*)(int, const void*, size_t)>("write");
  if (is_file(fd) && faults().make(kFull)) {
    errno = faults().draw() % 2 ? ENOSPC : EIO;
    return -1;
  }
  return file_call(fd, size) ? call(fd, from, size) : -1;
}

int socket(int domain, int type, int protocol) {
  static const auto call = real<int (*)(int, int, int)>("socket");
  if (domain != AF_INET || !faults().make(kSocket)) return call(domain, type, protocol);
  errno = kSocketErrors[faults().draw() % (sizeof kSocketErrors / sizeof *kSocketErrors)];
  return -1;
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (to->sa_family != AF_INET || !faults().make(kConnect)) return call(fd, to, size);
  errno = kConnectErrors[faults().draw() % (sizeof kConnectErrors / sizeof *kConnectErrors)];
  return -1;
}

int poll(pollfd* all, nfds_t count, int wait) {
  static const auto call = real<int (*)(pollfd*, nfds_t, int)>("poll");
  return interrupted() ? -1 : call(all, count, wait);
}

int epoll_wait(int fd, epoll_event* events, int most, int wait) {
  static const auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return interrupted() ? -1 : call(fd, events, most, wait);
}

int clock_gettime(clockid_t clock, timespec* to) {
  static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, to);
  if (result != 0 || clock != CLOCK_REALTIME || !faults().step) return result;
  const std::int64_t nanos = (to->tv_sec * 1'000'000LL + *faults().step) * 1000 + to->tv_nsec;
  to->tv_sec = nanos / 1'000'000'000;
  to->tv_nsec = nanos % 1'000'000'000;
  return result;
}

}  // extern "C"
