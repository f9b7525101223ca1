// A preload library that counts the calls of malloc, calloc and realloc in each process and prints the count
// to standard error at exit (LD_PRELOAD=libcount_allocations.so head_bench ...). Used to check that the
// regular request path does not allocate.
#include <dlfcn.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace {

std::atomic<unsigned long> call_count{0};

struct ReportAtExit {
  ~ReportAtExit() {
    char line[128];
    const int length =
        std::snprintf(line, sizeof line, "{\"event\":\"allocations\",\"pid\":%d,\"calls\":%lu}\n", getpid(),
                      call_count.load());
    if (write(2, line, static_cast<std::size_t>(length)) < 0) _exit(1);
  }
} report_at_exit;

}  // namespace

extern "C" {
void* __libc_malloc(std::size_t);
void* __libc_calloc(std::size_t, std::size_t);
void* __libc_realloc(void*, std::size_t);
void* malloc(std::size_t size) {
  call_count.fetch_add(1, std::memory_order_relaxed);
  return __libc_malloc(size);
}
void* calloc(std::size_t count, std::size_t size) {
  call_count.fetch_add(1, std::memory_order_relaxed);
  return __libc_calloc(count, size);
}
void* realloc(void* pointer, std::size_t size) {
  call_count.fetch_add(1, std::memory_order_relaxed);
  return __libc_realloc(pointer, size);
}
}
