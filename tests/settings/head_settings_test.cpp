// Head settings: valid files are read correctly; invalid ones are refused with one line that names place and
// reason.
#include "settings/head_settings.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::tests {
namespace {

using nlohmann::json;

json valid_settings() {
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

// Returns the message with which the settings are refused, or an empty string.
std::string refusal(const std::string& text) {
  const std::string path =
      std::filesystem::temp_directory_path() / ("yewmount-" + std::to_string(random_id()) + ".json");
  EXPECT_EQ(write_file(path, text), "");
  std::string why;
  try {
    settings::load_head_settings(path);
  } catch (const settings::SettingsError& error) {
    why = error.what();
  }
  std::filesystem::remove(path);
  EXPECT_EQ(why.find('\n'), std::string::npos) << why;
  return why;
}

TEST(HeadSettings, ReadsValidSettings) {
  const std::string path = std::filesystem::temp_directory_path() / "yewmount-good.json";
  ASSERT_EQ(write_file(path, valid_settings().dump()), "");
  const settings::HeadSettings head = settings::load_head_settings(path);
  EXPECT_EQ(head.rules.groups.at(1).repeat, RepeatSafety::side_effecting);
  EXPECT_EQ(head.rules.groups.at(0).latency_goal, 300'000);
  EXPECT_EQ(head.extent_bytes, 6u * 4096);
  EXPECT_EQ(head.group_for("v1", settings::Method::get, 100), 0);
  EXPECT_EQ(head.group_for("v1", settings::Method::get, 101), -1) << "no selector matches";
  EXPECT_EQ(head.group_for("v2", settings::Method::get, 1), 1);
  EXPECT_EQ(head.units_for(0), 1);
  EXPECT_EQ(head.units_for(4097), 2);
  EXPECT_EQ(head.volumes.at("v1").heads, 2);
  EXPECT_LT(head.rules.retry_budget_window, 0);
}

TEST(HeadSettings, RefusesInvalidSettingsWithPlaceAndReason) {
  const auto refusal_after = [](auto change) {
    json j = valid_settings();
    change(j);
    return refusal(j.dump());
  };
  const std::pair<std::string, const char*> refusals[] = {
      {refusal_after([](json& j) { j["colour"] = 1; }), "colour"},
      {refusal_after([](json& j) { j["heads"] = "three"; }), "/heads"},
      {refusal_after([](json& j) { j["groups"][1]["repeat"] = "maybe"; }), "/groups/1/repeat"},
      {refusal_after([](json& j) { j["plans"][0]["nominal"] = -4; }), "/plans/0/nominal"},
      {refusal_after([](json& j) { j.erase("plans"); }), "plans"},
      {refusal_after([](json& j) { j["own_number"] = 3; }), "/own_number: must be below"},
      {refusal_after([](json& j) { j["volumes"][0]["plan"] = "gold"; }),
       "/volumes/0/plan: unknown plan 'gold'"},
      {refusal_after([](json& j) { j["volumes"].push_back(j["volumes"][0]); }),
       "/volumes/1/name: duplicate name 'v1'"},
      {refusal_after([](json& j) { j["choose"][0]["group"] = "none"; }),
       "/choose/0/group: unknown I/O group"},
      {refusal_after([](json& j) { j["listen"]["address"] = "10.0.0.1"; }), "/listen/address"},
      {refusal_after([](json& j) { j["groups"][0]["hard_limit_ms"] = 100; }),
       "/groups/0/hard_limit_ms: shorter"},
      {refusal_after([](json& j) { j["plans"][0]["limit"] = 5; }), "/plans/0: a limit's burst"},
      {refusal("{\"name\": \"x\", \"name\": \"y\"}"), "duplicate key 'name'"},
      {refusal("{\"name\": "), "not JSON"}};
  for (const auto& [why, expected] : refusals)
    EXPECT_NE(why.find(expected), std::string::npos) << "'" << why << "' lacks " << expected;
  EXPECT_THROW(settings::load_head_settings("/nowhere/none.json"), settings::SettingsError);
}

}  // namespace
}  // namespace yewmount::tests
