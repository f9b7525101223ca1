// Watches the memory of this process against the platform's limit: logs it when it comes close, so that the
// log shows who held it if the process is killed, and gives back what is free.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>

#include "rules/rules.h"

namespace yewmount::relay {

// Notices when the resident memory enters another eighth of the limit, from half of it on.
class MemoryWatch {
 public:
  explicit MemoryWatch(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  // Logs `report`, which has the fields "resident" and "heap_free", if the memory has risen to another eighth
  // of the limit, or fallen to a lower one. Gives free memory back where much is free and the limit not far.
  void check(const nlohmann::ordered_json& report, Micros now);

 private:
  std::size_t limit_bytes_;
  std::size_t logged_eighths_ = 0;
  Micros released_at_ = 0;
};

}  // namespace yewmount::relay
