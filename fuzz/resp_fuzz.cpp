// libFuzzer target: parsing never reads beyond the input, and parsing a complete message's bytes again gives
// the same result.
#include <cstdint>
#include <cstdlib>

#include "resp/resp.h"

using namespace yewmount::resp;

static ParseStatus parse(std::string_view bytes, Reply& reply) { return parse(bytes, reply, 1 << 10); }

template <class Message>
static void check_parsing(std::string_view bytes) {
  Message message;
  if (parse(bytes, message) != ParseStatus::complete) return;
  if (message.bytes > bytes.size() || message.count > kMaxWords) std::abort();
  Message again;
  if (parse(bytes.substr(0, message.bytes), again) != ParseStatus::complete || again.bytes != message.bytes)
    std::abort();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  check_parsing<Command>(bytes);
  check_parsing<Reply>(bytes);
  return 0;
}
