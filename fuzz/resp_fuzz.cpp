// Whatever bytes come: no read beyond them, and what is whole can be cut again with the same result.
#include <cstdint>
#include <cstdlib>

#include "resp/resp.h"

using namespace yewmount::resp;

static Cut cut(std::string_view bytes, Reply& reply) { return cut(bytes, reply, 1 << 10); }

template <class Thing>
static void once(std::string_view bytes) {
  Thing thing;
  if (cut(bytes, thing) != Cut::whole) return;
  if (thing.bytes > bytes.size() || thing.count > kMostWords) std::abort();
  Thing again;
  if (cut(bytes.substr(0, thing.bytes), again) != Cut::whole || again.bytes != thing.bytes) std::abort();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  once<Command>(bytes);
  once<Reply>(bytes);
  return 0;
}
