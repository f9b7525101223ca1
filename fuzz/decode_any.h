// Decodes a frame as the message that its type names; shared by the unit tests and the fuzzer.
#pragma once
#include "wire/wire.h"

namespace yewmount::wire {

// Throws MalformedFrame if the frame is not a valid message of its type.
inline void decode_any(const Frame& frame) {
  const auto decode_as = [&](auto message) { decode(frame, message); };
  switch (frame.type) {
    case FrameType::hello:
      return decode_as(Hello{});
    case FrameType::submit:
      return decode_as(Submit{});
    case FrameType::answer:
      return decode_as(Answer{});
    case FrameType::cancel:
      return decode_as(Cancel{});
    case FrameType::probe:
      return decode_as(Probe{});
    case FrameType::probe_reply:
      return decode_as(ProbeReply{});
    case FrameType::list_request:
      return decode_as(ListRequest{});
    case FrameType::list:
      return decode_as(List{});
    case FrameType::lookup:
      return decode_as(Lookup{});
    case FrameType::lookup_reply:
      return decode_as(LookupReply{});
    case FrameType::change:
      return decode_as(ChangeRequest{});
    case FrameType::change_reply:
      return decode_as(ChangeReply{});
    case FrameType::fault:
      return decode_as(Fault{});
    case FrameType::scan:
      return decode_as(Scan{});
    case FrameType::scan_reply:
      return decode_as(ScanReply{});
  }
}

}  // namespace yewmount::wire
