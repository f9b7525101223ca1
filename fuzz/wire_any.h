// Decodes whatever a frame says it is; for tests and the fuzzer.
#pragma once
#include "wire/wire.h"

namespace yewmount::wire {

inline void read_any(const Frame& f) {
  const auto as = [&](auto message) { get(f, message); };
  switch (f.type) {
    case Type::hello:
      return as(Hello{});
    case Type::submit:
      return as(Submit{});
    case Type::answer:
      return as(Answer{});
    case Type::cancel:
      return as(Cancel{});
    case Type::probe:
      return as(Probe{});
    case Type::probed:
      return as(Probed{});
    case Type::ask_list:
      return as(AskList{});
    case Type::list:
      return as(List{});
    case Type::look:
      return as(Look{});
    case Type::found:
      return as(Found{});
    case Type::change:
      return as(Alter{});
    case Type::changed:
      return as(Altered{});
    case Type::fault:
      return as(Fault{});
    case Type::walk:
      return as(Walk{});
    case Type::walked:
      return as(Walked{});
  }
}

}  // namespace yewmount::wire
