// libFuzzer target: bytes off a socket, cut into frames and decoded.
#include <algorithm>

#include "fuzz/wire_any.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace yewmount::wire;
  Inbox inbox;
  try {
    for (std::size_t at = 0; at < size;) {
      const std::size_t n = std::min<std::size_t>(size - at, 1 + data[at] % 64);
      std::copy_n(data + at, n, inbox.room(n).data());
      inbox.came(n);
      at += n;
      Frame f{};
      while (inbox.next(f)) read_any(f);
    }
  } catch (const Malformed&) {
  }
  return 0;
}
