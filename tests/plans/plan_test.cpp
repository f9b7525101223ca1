// Parsing of plan, problem and membership files, their error messages, and the acceptance of plans by a head.
#include "plans/plan.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "base/base.h"
#include "plans/problem.h"
#include "plans/report.h"
#include "settings/json_schema.h"

namespace yewmount::tests {
namespace {

using nlohmann::json;
using plans::CurrentPlan;

std::string error_of(const std::function<void()>& function) {
  try {
    function();
  } catch (const settings::SettingsError& e) {
    return e.what();
  }
  return "";
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

json problem() {
  return {{"zones", {"a", "b"}},
          {"nodes",
           {{{"name", "n1"}, {"zone", "a"}, {"capacity", 100}},
            {{"name", "n2"}, {"zone", "b"}, {"capacity", 50}}}},
          {"volumes", {{{"name", "v"}, {"demand", 10}, {"reserve", 5}, {"present", {"n2"}}}}}};
}

std::string problem_error(const std::function<void(json&)>& change) {
  json p = problem();
  change(p);
  return error_of([&] { plans::parse_problem(p.dump(), "p.json"); });
}

TEST(Problem, ErrorsNameTheLocation) {
  EXPECT_EQ(problem_error([](json&) {}), "");
  EXPECT_TRUE(
      contains(problem_error([](json& p) { p["nodes"][0]["capacity"] = -1; }), "p.json: /nodes/0/capacity"));
  EXPECT_EQ(problem_error([](json& p) { p["nodes"][1]["zone"] = "c"; }),
            "p.json: /nodes/1/zone: unknown zone 'c'");
  EXPECT_EQ(problem_error([](json& p) { p["nodes"][1]["name"] = "n1"; }),
            "p.json: /nodes/1/name: 'n1' appears more than once");
  EXPECT_EQ(problem_error([](json& p) { p["volumes"].push_back(p["volumes"][0]); }),
            "p.json: /volumes/1/name: 'v' appears more than once");
  EXPECT_TRUE(contains(problem_error([](json& p) { p["volumes"] = json::array(); }), "p.json: /volumes"));
  EXPECT_EQ(problem_error([](json& p) { p["volumes"][0]["present"] = {"n9"}; }),
            "p.json: /volumes/0/present: unknown node 'n9'");
  EXPECT_EQ(problem_error([](json& p) { p["volumes"][0]["demand"] = 1.0001; }),
            "p.json: /volumes/0/demand: has more than three decimal places");
  EXPECT_EQ(problem_error([](json& p) { p["volumes"][0]["zones"] = 2; }),
            "p.json: /volumes/0/zones: more than the volume's nodes");
  EXPECT_EQ(problem_error([](json& p) {
              p["apart"] = json::array({json::array({"v", "w"})});
            }),
            "p.json: /apart/0: unknown volume 'w'");
  EXPECT_TRUE(contains(problem_error([](json& p) { p["volumes"][0]["demand"] = "much"; }),
                       "p.json: /volumes/0/demand"));
  EXPECT_TRUE(
      contains(error_of([] { plans::parse_problem("{\"zones\": [NaN]}", "p.json"); }), "p.json: not JSON"));
  EXPECT_TRUE(contains(error_of([] { plans::parse_problem("", "p.json"); }), "p.json: not JSON"));
}

TEST(Problem, RoundTripsThroughJson) {
  const auto p = plans::parse_problem(problem().dump(), "p");
  const json once = plans::problem_json(p);
  EXPECT_EQ(once, plans::problem_json(plans::parse_problem(once.dump(), "p")));
}

struct Membership : ::testing::Test {
  std::string file = std::filesystem::temp_directory_path() / ("members-" + std::to_string(random_id()));
  solver::Problem p = plans::parse_problem(problem().dump(), "p");
  void TearDown() override { std::filesystem::remove(file); }
  std::string apply(const json& nodes) {
    EXPECT_EQ(write_file(file, json{{"nodes", nodes}}.dump()), "");
    return error_of([&] { plans::apply_membership(p, file); });
  }
};

TEST_F(Membership, RemovedSlowAndNewNodes) {
  EXPECT_EQ(apply({{{"name", "n1"}, {"state", "slow"}, {"part", 0.25}},
                   {{"name", "n0"}, {"zone", "b"}, {"capacity", 70}},
                   {{"name", "n2"}, {"state", "draining"}}}),
            "");
  ASSERT_EQ(p.nodes.size(), 2u);
  EXPECT_EQ(p.nodes[0].name, "n0");
  EXPECT_EQ(p.nodes[1].capacity, 25'000);
  EXPECT_TRUE(p.volumes[0].is_placed);
  EXPECT_TRUE(p.volumes[0].current_nodes.empty()) << "n2 is draining, so the volume has no current node";
}

TEST_F(Membership, CurrentNodesKeepTheirNamesWhenIndicesShift) {
  EXPECT_EQ(apply({{{"name", "n0"}, {"zone", "a"}, {"capacity", 1}}, {{"name", "n2"}}}), "");
  ASSERT_EQ(p.volumes[0].current_nodes.size(), 1u);
  EXPECT_EQ(p.nodes[p.volumes[0].current_nodes[0]].name, "n2");
}

TEST_F(Membership, RejectsInvalidMembership) {
  EXPECT_TRUE(contains(apply({{{"name", "n7"}}}), "/nodes/0: a new node needs its zone and capacity"));
  EXPECT_TRUE(contains(apply({{{"name", "n1"}, {"state", "slow"}}}),
                       "/nodes/0: a slow node needs the part of its capacity that is left"));
  EXPECT_TRUE(contains(apply({{{"name", "n1"}, {"state", "gone"}}}), "no available node is left"));
  EXPECT_TRUE(contains(apply({{{"name", "n1"}, {"zone", "q"}}}), "unknown zone 'q'"));
  EXPECT_TRUE(contains(apply({{{"name", "n1"}}, {{"name", "n1"}}}), "appears more than once"));
}

plans::Plan plan(std::uint64_t number, double reserve = 5, const std::string& volume = "v") {
  return {number, {{volume, {"n1"}, reserve, 1}}};
}

TEST(CurrentPlanTest, RejectsOlderAndInvalidPlans) {
  CurrentPlan current_plan;
  const auto known = [](const std::string& v) { return v == "v"; };
  using V = CurrentPlan::Decision;
  EXPECT_EQ(current_plan.offer(plan(3), known).decision, V::accepted);
  EXPECT_EQ(current_plan.offer(plan(3), known).decision, V::unchanged);
  EXPECT_TRUE(contains(current_plan.offer(plan(3, 6), known).reason,
                       "is the current plan, but with different content"));
  EXPECT_TRUE(contains(current_plan.offer(plan(2), known).reason, "older than plan 3"));
  EXPECT_TRUE(contains(current_plan.offer(plan(4, 5, "w"), known).reason, "refers to volume 'w'"));
  EXPECT_EQ(current_plan.current().number, 3u);
  EXPECT_EQ(current_plan.offer(plan(9), known).decision, V::accepted);
  CurrentPlan restarted;
  restarted.restore(current_plan.current());
  EXPECT_EQ(restarted.offer(plan(8), known).decision, V::rejected) << "the plan persists across a restart";
}

// Offers plans in random order: the current plan's number never decreases, and the current plan always equals
// one that was offered.
TEST(CurrentPlanTest, NumberNeverDecreasesOverRandomOffers) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::ranlux24_base random(seed);
    CurrentPlan current_plan;
    std::uint64_t before = 0;
    for (int i = 0; i < 200; ++i) {
      const plans::Plan p =
          plan(1 + random() % 40, static_cast<double>(random() % 3), random() % 4 == 0 ? "w" : "v");
      const auto outcome = current_plan.offer(p, [](const std::string& v) { return v == "v"; });
      ASSERT_GE(current_plan.current().number, before);
      if (outcome.decision == CurrentPlan::Decision::accepted) {
        ASSERT_TRUE(current_plan.current() == p && p.number > before && p.volumes[0].name == "v");
      } else {
        ASSERT_EQ(current_plan.current().number, before);
      }
      before = current_plan.current().number;
    }
  }
}

TEST(PlanFile, RoundTripsAndRejectsDuplicates) {
  const plans::Plan p{7, {{"a", {"n1", "n2"}, 1.5, 2}, {"b", {"n1"}, 0, 0.001}}};
  EXPECT_EQ(plans::parse_plan(plans::serialize_plan(p), "x"), p);
  EXPECT_TRUE(contains(error_of([] { plans::parse_plan(R"({"number":0,"volumes":[]})", "x"); }), "x: /"));
  EXPECT_TRUE(contains(
      error_of([] {
        plans::parse_plan(R"({"number":1,"volumes":[{"name":"a","nodes":["n","n"],"reserve":0,"weight":1}]})",
                          "x");
      }),
      "/volumes/0/nodes: a node appears more than once"));
}

TEST(Diff, ReportsMovesAndChanges) {
  const plans::Plan before{1, {{"a", {"n1", "n2"}, 1, 1}, {"b", {"n1"}, 0, 1}, {"c", {"n1"}, 0, 1}}};
  const plans::Plan after{2, {{"a", {"n1", "n3"}, 2, 1}, {"c", {"n1"}, 0, 1}, {"d", {"n2"}, 0, 1}}};
  const auto d = plans::difference(before, after);
  EXPECT_EQ(d.moved_volumes, 1);
  EXPECT_EQ(d.added_nodes, 1);
  EXPECT_EQ(d.added_volumes, 1);
  EXPECT_EQ(d.removed_volumes, 1);
  EXPECT_EQ(d.changed_reserves, 1);
  EXPECT_EQ(d.changes.size(), 3u);
}

}  // namespace
}  // namespace yewmount::tests
