// libFuzzer target: splits received bytes into frames and decodes them.
#include <algorithm>

#include "fuzz/decode_any.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace yewmount::wire;
  FrameDecoder decoder;
  try {
    for (std::size_t at = 0; at < size;) {
      const std::size_t chunk = std::min<std::size_t>(size - at, 1 + data[at] % 64);
      std::copy_n(data + at, chunk, decoder.prepare(chunk).data());
      decoder.commit(chunk);
      at += chunk;
      Frame frame{};
      while (decoder.next(frame)) decode_any(frame);
    }
  } catch (const MalformedFrame&) {
  }
  return 0;
}
