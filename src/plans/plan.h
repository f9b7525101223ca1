// A plan as a file (schema/plan.json): what each volume is due and where its new objects go. Heads read no
// more of it than this.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace yewmount::plans {

struct Planned {
  std::string name;
  std::vector<std::string> nodes;  // sorted
  double reserve = 0, weight = 1;  // units a second; relative
  bool operator==(const Planned&) const = default;
};

struct Plan {
  std::uint64_t number = 0;      // 0: none
  std::vector<Planned> volumes;  // by name
  bool operator==(const Plan&) const = default;
};

// Throws settings::SettingsError, one line with place and reason.
Plan load_plan(const std::string& path);
Plan read_plan(const std::string& text, const std::string& path);
std::string plan_text(const Plan& plan);

// Which plan a head holds: whole or not at all, and never an earlier one than it ever held. It does no I/O:
// what it says was taken is to be kept before it is acted on.
class Holder {
 public:
  enum class Verdict : std::uint8_t { taken, same, turned_down };
  struct Outcome {
    Verdict verdict = Verdict::turned_down;
    std::string why;
  };
  // What an earlier start kept; nothing can be earlier than that.
  void remember(Plan plan) { held_ = std::move(plan); }
  // known: whether the head serves a volume of that name.
  template <class Known>
  Outcome offer(const Plan& plan, Known known) {
    if (plan.number == held_.number && held_.number > 0) {
      if (plan == held_) return {Verdict::same, {}};
      return {Verdict::turned_down, "plan " + std::to_string(plan.number) + " is held with other content"};
    }
    if (plan.number < held_.number)
      return {Verdict::turned_down, "plan " + std::to_string(plan.number) + " is older than plan " +
                                        std::to_string(held_.number) + ", which is held"};
    for (const Planned& v : plan.volumes)
      if (!known(v.name))
        return {Verdict::turned_down, "plan " + std::to_string(plan.number) + " names volume '" + v.name +
                                          "', which this head does not serve"};
    held_ = plan;
    return {Verdict::taken, {}};
  }
  const Plan& held() const { return held_; }

 private:
  Plan held_;
};

}  // namespace yewmount::plans
