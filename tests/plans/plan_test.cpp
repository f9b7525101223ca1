// Plan files, problems and members: what is believed, what is turned down, and with which words.
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
using plans::Holder;

std::string why(const std::function<void()>& what) {
  try {
    what();
  } catch (const settings::SettingsError& e) {
    return e.what();
  }
  return "";
}

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

json problem() {
  return {{"zones", {"a", "b"}},
          {"nodes",
           {{{"name", "n1"}, {"zone", "a"}, {"capacity", 100}},
            {{"name", "n2"}, {"zone", "b"}, {"capacity", 50}}}},
          {"volumes", {{{"name", "v"}, {"demand", 10}, {"reserve", 5}, {"present", {"n2"}}}}}};
}

std::string bad(const std::function<void(json&)>& change) {
  json p = problem();
  change(p);
  return why([&] { plans::read_problem(p.dump(), "p.json"); });
}

TEST(Problem, WhatCannotBeBelievedIsNamedWithItsPlace) {
  EXPECT_EQ(bad([](json&) {}), "");
  EXPECT_TRUE(has(bad([](json& p) { p["nodes"][0]["capacity"] = -1; }), "p.json: /nodes/0/capacity"));
  EXPECT_EQ(bad([](json& p) { p["nodes"][1]["zone"] = "c"; }), "p.json: /nodes/1/zone: unknown zone 'c'");
  EXPECT_EQ(bad([](json& p) { p["nodes"][1]["name"] = "n1"; }),
            "p.json: /nodes/1/name: 'n1' stands here twice");
  EXPECT_EQ(bad([](json& p) { p["volumes"].push_back(p["volumes"][0]); }),
            "p.json: /volumes/1/name: 'v' stands here twice");
  EXPECT_TRUE(has(bad([](json& p) { p["volumes"] = json::array(); }), "p.json: /volumes"));
  EXPECT_EQ(bad([](json& p) { p["volumes"][0]["present"] = {"n9"}; }),
            "p.json: /volumes/0/present: unknown node 'n9'");
  EXPECT_EQ(bad([](json& p) { p["volumes"][0]["demand"] = 1.0001; }),
            "p.json: /volumes/0/demand: finer than a thousandth");
  EXPECT_EQ(bad([](json& p) { p["volumes"][0]["zones"] = 2; }),
            "p.json: /volumes/0/zones: more than the volume's nodes");
  EXPECT_EQ(bad([](json& p) {
              p["apart"] = json::array({json::array({"v", "w"})});
            }),
            "p.json: /apart/0: unknown volume 'w'");
  EXPECT_TRUE(has(bad([](json& p) { p["volumes"][0]["demand"] = "much"; }), "p.json: /volumes/0/demand"));
  EXPECT_TRUE(has(why([] { plans::read_problem("{\"zones\": [NaN]}", "p.json"); }), "p.json: not JSON"));
  EXPECT_TRUE(has(why([] { plans::read_problem("", "p.json"); }), "p.json: not JSON"));
}

TEST(Problem, IsReadAgainAsItWasWritten) {
  const auto p = plans::read_problem(problem().dump(), "p");
  const json once = plans::problem_json(p);
  EXPECT_EQ(once, plans::problem_json(plans::read_problem(once.dump(), "p")));
}

struct Members : ::testing::Test {
  std::string file = std::filesystem::temp_directory_path() / ("members-" + std::to_string(random_id()));
  solver::Problem p = plans::read_problem(problem().dump(), "p");
  void TearDown() override { std::filesystem::remove(file); }
  std::string take(const json& nodes) {
    EXPECT_EQ(write_file(file, json{{"nodes", nodes}}.dump()), "");
    return why([&] { plans::take_members(p, file); });
  }
};

TEST_F(Members, GoneSlowAndNewOnes) {
  EXPECT_EQ(take({{{"name", "n1"}, {"state", "slow"}, {"part", 0.25}},
                  {{"name", "n0"}, {"zone", "b"}, {"capacity", 70}},
                  {{"name", "n2"}, {"state", "draining"}}}),
            "");
  ASSERT_EQ(p.nodes.size(), 2u);
  EXPECT_EQ(p.nodes[0].name, "n0");
  EXPECT_EQ(p.nodes[1].capacity, 25'000);
  EXPECT_TRUE(p.volumes[0].placed);
  EXPECT_TRUE(p.volumes[0].present.empty()) << "what lay at n2 is lost to it";
}

TEST_F(Members, PresentNodesKeepTheirNamesWhenIndicesShift) {
  EXPECT_EQ(take({{{"name", "n0"}, {"zone", "a"}, {"capacity", 1}}, {{"name", "n2"}}}), "");
  ASSERT_EQ(p.volumes[0].present.size(), 1u);
  EXPECT_EQ(p.nodes[p.volumes[0].present[0]].name, "n2");
}

TEST_F(Members, WhatCannotBeBelieved) {
  EXPECT_TRUE(has(take({{{"name", "n7"}}}), "/nodes/0: a new node needs its zone and capacity"));
  EXPECT_TRUE(has(take({{{"name", "n1"}, {"state", "slow"}}}), "/nodes/0: a slow node needs the part"));
  EXPECT_TRUE(has(take({{{"name", "n1"}, {"state", "gone"}}}), "no node is left"));
  EXPECT_TRUE(has(take({{{"name", "n1"}, {"zone", "q"}}}), "unknown zone 'q'"));
  EXPECT_TRUE(has(take({{{"name", "n1"}}, {{"name", "n1"}}}), "stands here twice"));
}

plans::Plan plan(std::uint64_t number, double reserve = 5, const std::string& volume = "v") {
  return {number, {{volume, {"n1"}, reserve, 1}}};
}

TEST(Held, NeverBackwardsAndWhole) {
  Holder h;
  const auto known = [](const std::string& v) { return v == "v"; };
  using V = Holder::Verdict;
  EXPECT_EQ(h.offer(plan(3), known).verdict, V::taken);
  EXPECT_EQ(h.offer(plan(3), known).verdict, V::same);
  EXPECT_TRUE(has(h.offer(plan(3, 6), known).why, "with other content"));
  EXPECT_TRUE(has(h.offer(plan(2), known).why, "older than plan 3"));
  EXPECT_TRUE(has(h.offer(plan(4, 5, "w"), known).why, "names volume 'w'"));
  EXPECT_EQ(h.held().number, 3u);
  EXPECT_EQ(h.offer(plan(9), known).verdict, V::taken);
  Holder again;
  again.remember(h.held());
  EXPECT_EQ(again.offer(plan(8), known).verdict, V::turned_down) << "a restart does not forget";
}

// Offers in any order and any state: what is held only grows, and is always one that was offered whole.
TEST(Held, RandomOffers) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::ranlux24_base chance(seed);
    Holder h;
    std::uint64_t before = 0;
    for (int i = 0; i < 200; ++i) {
      const plans::Plan p =
          plan(1 + chance() % 40, static_cast<double>(chance() % 3), chance() % 4 == 0 ? "w" : "v");
      const auto outcome = h.offer(p, [](const std::string& v) { return v == "v"; });
      ASSERT_GE(h.held().number, before);
      if (outcome.verdict == Holder::Verdict::taken) {
        ASSERT_TRUE(h.held() == p && p.number > before && p.volumes[0].name == "v");
      } else {
        ASSERT_EQ(h.held().number, before);
      }
      before = h.held().number;
    }
  }
}

TEST(PlanFile, IsReadAgainAsItWasWrittenAndTwinsAreRefused) {
  const plans::Plan p{7, {{"a", {"n1", "n2"}, 1.5, 2}, {"b", {"n1"}, 0, 0.001}}};
  EXPECT_EQ(plans::read_plan(plans::plan_text(p), "x"), p);
  EXPECT_TRUE(has(why([] { plans::read_plan(R"({"number":0,"volumes":[]})", "x"); }), "x: /"));
  EXPECT_TRUE(has(why([] {
                    plans::read_plan(
                        R"({"number":1,"volumes":[{"name":"a","nodes":["n","n"],"reserve":0,"weight":1}]})",
                        "x");
                  }),
                  "/volumes/0/nodes: a node stands here twice"));
}

TEST(Diff, TellsMovesAndChanges) {
  const plans::Plan before{1, {{"a", {"n1", "n2"}, 1, 1}, {"b", {"n1"}, 0, 1}, {"c", {"n1"}, 0, 1}}};
  const plans::Plan after{2, {{"a", {"n1", "n3"}, 2, 1}, {"c", {"n1"}, 0, 1}, {"d", {"n2"}, 0, 1}}};
  const auto d = plans::difference(before, after);
  EXPECT_EQ(d.moved, 1);
  EXPECT_EQ(d.nodes_anew, 1);
  EXPECT_EQ(d.appeared, 1);
  EXPECT_EQ(d.gone, 1);
  EXPECT_EQ(d.reserves, 1);
  EXPECT_EQ(d.lines.size(), 3u);
}

}  // namespace
}  // namespace yewmount::tests
