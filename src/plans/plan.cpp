#include "plans/plan.h"

#include <algorithm>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::plans {

using nlohmann::json;
using settings::SettingsError;

Plan read_plan(const std::string& text, const std::string& path) {
  const json given = settings::check(text, path, "plan");
  Plan plan;
  plan.number = given.at("number").get<std::uint64_t>();
  int i = 0;
  for (const json& v : given.at("volumes")) {
    Planned p{v.at("name"), v.at("nodes"), v.at("reserve"), v.at("weight")};
    std::sort(p.nodes.begin(), p.nodes.end());
    if (std::adjacent_find(p.nodes.begin(), p.nodes.end()) != p.nodes.end())
      throw SettingsError(path + ": /volumes/" + std::to_string(i) + "/nodes: a node stands here twice");
    plan.volumes.push_back(std::move(p));
    ++i;
  }
  std::sort(plan.volumes.begin(), plan.volumes.end(),
            [](const Planned& x, const Planned& y) { return x.name < y.name; });
  for (std::size_t at = 1; at < plan.volumes.size(); ++at)
    if (plan.volumes[at].name == plan.volumes[at - 1].name)
      throw SettingsError(path + ": /volumes: '" + plan.volumes[at].name + "' stands here twice");
  return plan;
}

Plan load_plan(const std::string& path) {
  std::string text;
  if (const std::string why = read_file(path, text); !why.empty()) throw SettingsError(why);
  return read_plan(text, path);
}

std::string plan_text(const Plan& plan) {
  json all = {{"number", plan.number}, {"volumes", json::array()}};
  for (const Planned& v : plan.volumes)
    all["volumes"].push_back(
        {{"name", v.name}, {"nodes", v.nodes}, {"reserve", v.reserve}, {"weight", v.weight}});
  return all.dump(1) + "\n";
}

}  // namespace yewmount::plans
