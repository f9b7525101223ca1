// A library to preload: counts calls of malloc and its kin in each process and says so on standard error when
// the process ends (LD_PRELOAD=libcount_allocations.so head_bench ...). For the claim that the ordinary path
// allocates nothing.
#include <dlfcn.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace {

std::atomic<unsigned long> calls{0};

struct AtEnd {
  ~AtEnd() {
    char text[128];
    const int n = std::snprintf(text, sizeof text, "{\"event\":\"allocations\",\"pid\":%d,\"calls\":%lu}\n",
                                getpid(), calls.load());
    if (write(2, text, static_cast<std::size_t>(n)) < 0) _exit(1);
  }
} at_end;

}  // namespace

extern "C" {
void* __libc_malloc(std::size_t);
void* __libc_calloc(std::size_t, std::size_t);
void* __libc_realloc(void*, std::size_t);
void* malloc(std::size_t size) {
  calls.fetch_add(1, std::memory_order_relaxed);
  return __libc_malloc(size);
}
void* calloc(std::size_t count, std::size_t size) {
  calls.fetch_add(1, std::memory_order_relaxed);
  return __libc_calloc(count, size);
}
void* realloc(void* old, std::size_t size) {
  calls.fetch_add(1, std::memory_order_relaxed);
  return __libc_realloc(old, size);
}
}
