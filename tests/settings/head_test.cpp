// Settings: what fits is taken as meant, what doesn't is one line with place and reason.
#include "settings/head.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "base/base.h"
#include "settings/checked.h"

namespace yewmount::tests {
namespace {

using nlohmann::json;

json good() {
  return json::parse(R"({
    "name": "head-0", "heads": 3, "own_number": 1,
    "listen": {"address": "127.0.0.1", "port": 0},
    "list": {"address": "127.0.0.1", "port": 9, "file": "/tmp/none"},
    "catalogue": {"address": "::1", "port": 9},
    "unit_bytes": 4096,
    "groups": [{"name": "read", "latency_goal_ms": 300, "hard_limit_ms": 2000, "repeat": "idempotent"},
               {"name": "write", "latency_goal_ms": 600, "hard_limit_ms": 3000, "repeat": "side-effecting"}],
    "choose": [{"volume": "v2", "group": "write"}, {"method": "GET", "at_most_bytes": 100, "group": "read"},
               {"method": "PUT", "group": "write"}],
    "plans": [{"name": "basic", "nominal": 10}],
    "volumes": [{"name": "v1", "plan": "basic", "heads": 2}],
    "nodes": {"usual_units": 2, "most_units": 6, "cold_bears": 28},
    "rules": {"cold_from": 0.2, "fall_multiple": 4, "warm_within_ms": 6000, "overload_for_ms": 1500}
  })");
}

std::string said(const std::string& text) {
  const std::string path =
      std::filesystem::temp_directory_path() / ("yewmount-" + std::to_string(fresh_number()) + ".json");
  EXPECT_EQ(write_file(path, text), "");
  std::string why;
  try {
    settings::load_head(path);
  } catch (const settings::Bad& e) {
    why = e.what();
  }
  std::filesystem::remove(path);
  EXPECT_EQ(why.find('\n'), std::string::npos) << why;
  return why;
}

TEST(HeadSettings, GoodOnesAreTakenAsMeant) {
  const std::string path = std::filesystem::temp_directory_path() / "yewmount-good.json";
  ASSERT_EQ(write_file(path, good().dump()), "");
  const settings::HeadProvision h = settings::load_head(path);
  EXPECT_EQ(h.rules.groups.at(1).repeat, RepeatSafety::side_effecting);
  EXPECT_EQ(h.rules.groups.at(0).latency_goal, 300'000);
  EXPECT_EQ(h.extent_bytes, 6u * 4096);
  EXPECT_EQ(h.group_for("v1", settings::Method::get, 100), 0);
  EXPECT_EQ(h.group_for("v1", settings::Method::get, 101), -1) << "no choice takes it";
  EXPECT_EQ(h.group_for("v2", settings::Method::get, 1), 1);
  EXPECT_EQ(h.units_for(0), 1);
  EXPECT_EQ(h.units_for(4097), 2);
  EXPECT_EQ(h.volumes.at("v1").heads, 2);
  EXPECT_LT(h.rules.retry_budget_window, 0);
}

TEST(HeadSettings, BadOnesSayWhereAndWhy) {
  const auto with = [](auto change) {
    json j = good();
    change(j);
    return said(j.dump());
  };
  const std::pair<std::string, const char*> all[] = {
      {with([](json& j) { j["colour"] = 1; }), "colour"},
      {with([](json& j) { j["heads"] = "three"; }), "/heads"},
      {with([](json& j) { j["groups"][1]["repeat"] = "maybe"; }), "/groups/1/repeat"},
      {with([](json& j) { j["plans"][0]["nominal"] = -4; }), "/plans/0/nominal"},
      {with([](json& j) { j.erase("plans"); }), "plans"},
      {with([](json& j) { j["own_number"] = 3; }), "/own_number: must be below"},
      {with([](json& j) { j["volumes"][0]["plan"] = "gold"; }), "/volumes/0/plan: unknown plan 'gold'"},
      {with([](json& j) { j["volumes"].push_back(j["volumes"][0]); }),
       "/volumes/1/name: 'v1' stands here twice"},
      {with([](json& j) { j["choose"][0]["group"] = "none"; }), "/choose/0/group: unknown I/O group"},
      {with([](json& j) { j["listen"]["address"] = "10.0.0.1"; }), "/listen/address"},
      {with([](json& j) { j["groups"][0]["hard_limit_ms"] = 100; }), "/groups/0/hard_limit_ms: shorter"},
      {with([](json& j) { j["plans"][0]["limit"] = 5; }), "/plans/0: a limit's burst"},
      {said("{\"name\": \"x\", \"name\": \"y\"}"), "'name' stands twice"},
      {said("{\"name\": "), "not JSON"}};
  for (const auto& [why, wanted] : all)
    EXPECT_NE(why.find(wanted), std::string::npos) << "'" << why << "' lacks " << wanted;
  EXPECT_THROW(settings::load_head("/nowhere/none.json"), settings::Bad);
}

}  // namespace
}  // namespace yewmount::tests
