#include "plans/plan.h"

#include <algorithm>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::plans {

using nlohmann::json;
using settings::SettingsError;

Plan parse_plan(const std::string& text, const std::string& path) {
  const json document = settings::check(text, path, "plan");
  Plan plan;
  plan.number = document.at("number").get<std::uint64_t>();
  int i = 0;
  for (const json& v : document.at("volumes")) {
    VolumeAssignment assignment{v.at("name"), v.at("nodes"), v.at("reserve"), v.at("weight")};
    std::sort(assignment.nodes.begin(), assignment.nodes.end());
    if (std::adjacent_find(assignment.nodes.begin(), assignment.nodes.end()) != assignment.nodes.end())
      throw SettingsError(path + ": /volumes/" + std::to_string(i) + "/nodes: a node appears more than once");
    plan.volumes.push_back(std::move(assignment));
    ++i;
  }
  std::sort(plan.volumes.begin(), plan.volumes.end(),
            [](const VolumeAssignment& x, const VolumeAssignment& y) { return x.name < y.name; });
  for (std::size_t at = 1; at < plan.volumes.size(); ++at)
    if (plan.volumes[at].name == plan.volumes[at - 1].name)
      throw SettingsError(path + ": /volumes: '" + plan.volumes[at].name + "' appears more than once");
  return plan;
}

Plan load_plan(const std::string& path) {
  std::string text;
  if (const std::string error = read_file(path, text); !error.empty()) throw SettingsError(error);
  return parse_plan(text, path);
}

std::string serialize_plan(const Plan& plan) {
  json all = {{"number", plan.number}, {"volumes", json::array()}};
  for (const VolumeAssignment& v : plan.volumes)
    all["volumes"].push_back(
        {{"name", v.name}, {"nodes", v.nodes}, {"reserve", v.reserve}, {"weight", v.weight}});
  return all.dump(1) + "\n";
}

}  // namespace yewmount::plans
