// The plan file (schema/plan.json): each volume's reserve and weight, and the nodes for its new objects.
// Heads use only the fields that are declared here.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace yewmount::plans {

struct VolumeAssignment {
  std::string name;
  std::vector<std::string> nodes;  // sorted
  double reserve = 0;              // units a second
  double weight = 1;               // relative to other volumes
  bool operator==(const VolumeAssignment&) const = default;
};

struct Plan {
  std::uint64_t number = 0;               // 0: no plan
  std::vector<VolumeAssignment> volumes;  // sorted by name
  bool operator==(const Plan&) const = default;
};

// These functions throw settings::Bad with one line that names the location and the reason.
Plan load_plan(const std::string& path);
Plan parse_plan(const std::string& text, const std::string& path);
std::string serialize_plan(const Plan& plan);

// The plan that a head currently applies. Plans are accepted as a whole or not at all, and plan numbers never
// decrease. It does no I/O: the caller must persist an accepted plan before applying it.
class CurrentPlan {
 public:
  enum class Decision : std::uint8_t { accepted, unchanged, rejected };
  struct Outcome {
    Decision decision = Decision::rejected;
    std::string reason;
  };
  // Restores the plan that was persisted before a restart; older plans are rejected from then on.
  void restore(Plan plan) { current_ = std::move(plan); }
  // Decides whether to accept a plan. `is_known_volume` tells whether the head serves a volume of that name.
  template <class Predicate>
  Outcome offer(const Plan& plan, Predicate is_known_volume) {
    if (plan.number == current_.number && current_.number > 0) {
      if (plan == current_) return {Decision::unchanged, {}};
      return {Decision::rejected,
              "plan " + std::to_string(plan.number) + " is the current plan, but with different content"};
    }
    if (plan.number < current_.number)
      return {Decision::rejected, "plan " + std::to_string(plan.number) + " is older than plan " +
                                      std::to_string(current_.number) + ", the current one"};
    for (const VolumeAssignment& v : plan.volumes)
      if (!is_known_volume(v.name))
        return {Decision::rejected, "plan " + std::to_string(plan.number) + " refers to volume '" + v.name +
                                        "', which this head does not serve"};
    current_ = plan;
    return {Decision::accepted, {}};
  }
  const Plan& current() const { return current_; }

 private:
  Plan current_;
};

}  // namespace yewmount::plans
