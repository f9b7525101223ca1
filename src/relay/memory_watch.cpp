#include "relay/memory_watch.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::relay {
namespace {

constexpr std::size_t kParts = 8;  // that the limit is divided into
constexpr std::size_t kFirstLoggedPart = kParts / 2;
constexpr Micros kReleaseIntervalUs = 1'000'000;

}  // namespace

void MemoryWatch::check(const nlohmann::ordered_json& report, Micros now) {
  const std::size_t eighths = report.value("resident", std::size_t{0}) * kParts / limit_bytes_;
  const std::size_t free_eighths = report.value("heap_free", std::size_t{0}) * kParts / limit_bytes_;
  if (eighths >= kFirstLoggedPart && free_eighths > 0 && now - released_at_ >= kReleaseIntervalUs) {
    released_at_ = now;
    release_free_memory();
  }
  const std::size_t level = eighths < kFirstLoggedPart ? 0 : eighths;
  if (level == logged_eighths_) return;
  nlohmann::ordered_json fields = {
      {"from_eighths", logged_eighths_}, {"eighths", level}, {"limit", limit_bytes_}};
  fields.update(report);
  logs::warn(level > logged_eighths_ ? "memory rises" : "memory falls", fields);
  logged_eighths_ = level;
}

}  // namespace yewmount::relay
