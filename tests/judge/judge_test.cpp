// Tests of the rule checker: for each rule, a short recording that breaks only this rule, and one just within
// its limits.
#include "judge/judge.h"

#include <gtest/gtest.h>

namespace yewmount::tests {
namespace {

using judge::json;
using judge::Verdict;

constexpr long ms = 1000;  // in microseconds

json scenario() {
  return json::parse(R"({
    "name": "t", "drain_grace_ms": 1000,
    "provision": {
      "groups": [{"name": "read", "latency_goal_ms": 300, "hard_limit_ms": 2000, "repeat": "idempotent"},
                 {"name": "write", "latency_goal_ms": 600, "hard_limit_ms": 3000, "repeat": "side-effecting"},
                 {"name": "stamp", "latency_goal_ms": 600, "hard_limit_ms": 3000, "repeat": "fingerprinted",
                  "scope": "cell", "memory_span_ms": 1000},
                 {"name": "turn", "latency_goal_ms": 600, "hard_limit_ms": 3000, "repeat": "side-effecting",
                  "keeps_order": true}],
      "plans": [{"name": "basic", "nominal": 10}, {"name": "capped", "nominal": 10, "limit": 10, "burst": 12, "slack": 1}],
      "nodes": {"usual_units": 2, "most_units": 6, "cold_bears": 28},
      "rules": {"cold_from": 0.2, "fall_multiple": 4, "warm_within_ms": 10000, "overload_for_ms": 1000, "turn_rest_ms": 300,
                "budget": {"spare": 2, "share": 0.1, "span_ms": 2000}}},
    "volumes": [{"name": "v", "plan": "basic"}, {"name": "w", "plan": "capped"}]
  })");
}

// Builds the events of a run. Ids of block I/Os are serial << 12. Times are in microseconds.
struct Recording {
  std::vector<json> events;
  Recording() {
    add(0, {{"ev", "head_started"}, {"head", "h"}});
    add(0, {{"ev", "day_began"}});
    add(0, {{"ev", "start"}, {"node", "n"}, {"cold", false}, {"capacity_units_s", 100}});
    add(0, {{"ev", "start"}, {"node", "m"}, {"cold", false}, {"capacity_units_s", 100}});
  }
  Recording& add(long t, json e) {
    e["t"] = t;
    events.push_back(e);
    return *this;
  }
  static std::string id(long serial) {
    char text[32];
    std::snprintf(text, sizeof text, "%lx", serial << 12);
    return text;
  }
  Recording& client_request(long t, long op, const char* method = "PUT", long patience = 2000 * ms,
                            const char* object = "o") {
    return add(t, {{"ev", "sent"},
                   {"client", "c"},
                   {"op", op},
                   {"try", 0},
                   {"head", "h"},
                   {"method", method},
                   {"volume", "v"},
                   {"object", object},
                   {"patience", patience}});
  }
  Recording& client_answer(long t, long op, const char* answer, int status, long serial = 0) {
    json e = {{"ev", "answer"}, {"client", "c"},    {"op", op},        {"try", 0},
              {"head", "h"},    {"status", status}, {"answer", answer}};
    if (serial) e["bio"] = id(serial) + "+1";
    return add(t, e);
  }
  Recording& node_submit(long t, long serial, int no, const char* group, const char* repeat,
                         const char* node = "n", const char* volume = "v", int units = 2,
                         const char* object = "o", long conn = 1) {
    return add(t, {{"ev", "submit"},
                   {"node", node},
                   {"conn", conn},
                   {"head", "h"},
                   {"id", id(serial)},
                   {"no", no},
                   {"kind", "write"},
                   {"repeat", repeat},
                   {"group", group},
                   {"volume", volume},
                   {"object", object},
                   {"units", units}});
  }
  Recording& node_execution(long t, long serial, int no, const char* repeat, const char* node = "n",
                            const char* object = "o") {
    return add(t, {{"ev", "ran"},
                   {"node", node},
                   {"head", "h"},
                   {"id", id(serial)},
                   {"no", no},
                   {"kind", "write"},
                   {"repeat", repeat},
                   {"volume", "v"},
                   {"object", object}});
  }
  Recording& node_answer(long t, long serial, int no, const char* result, const char* node = "n") {
    return add(t, {{"ev", "answer"},
                   {"node", node},
                   {"conn", 1},
                   {"head", "h"},
                   {"id", id(serial)},
                   {"no", no},
                   {"outcome", result}});
  }
  Verdict check(json checked_scenario = scenario()) const { return judge::judge(checked_scenario, events); }
  // The numbers of the rules that are broken.
  std::vector<int> broken_rules(json checked_scenario = scenario()) const {
    std::vector<int> numbers;
    for (const judge::Rule& r : check(checked_scenario).rules)
      if (!r.is_kept) numbers.push_back(r.number);
    return numbers;
  }
};

using RuleNumbers = std::vector<int>;

TEST(Judge, OrdinaryWriteKeepsAllRules) {
  Recording r;
  r.client_request(0, 1)
      .node_submit(5 * ms, 1, 0, "write", "side-effecting")
      .node_execution(9 * ms, 1, 0, "side-effecting");
  r.node_answer(9 * ms, 1, 0, "ended").client_answer(12 * ms, 1, "ended", 201, 1);
  EXPECT_EQ(r.broken_rules(), RuleNumbers{});
  EXPECT_GT(r.check().rules[0].check_count, 0);
}

TEST(Judge, Rule1MissingLateAndDuplicateAnswersAndSubmitAfterAnswer) {
  Recording unanswered;
  unanswered.client_request(0, 1).add(
      2300 * ms, {{"ev", "silent"}, {"client", "c"}, {"op", 1}, {"try", 0}, {"head", "h"}});
  EXPECT_EQ(unanswered.broken_rules(), RuleNumbers{1});
  Recording killed = unanswered;
  killed.add(1000 * ms, {{"ev", "head_killed"}, {"head", "h"}});
  EXPECT_EQ(killed.broken_rules(), RuleNumbers{})
      << "requests that were pending when the head was killed are exempt";
  Recording without_outcome;
  without_outcome.client_request(0, 1);
  EXPECT_EQ(without_outcome.broken_rules(), RuleNumbers{1});
  Recording late;
  Recording within_limits;
  late.client_request(0, 1).client_answer(2400 * ms, 1, "failed", 504);
  within_limits.client_request(0, 1).client_answer(2040 * ms, 1, "failed", 504);
  EXPECT_EQ(late.broken_rules(), RuleNumbers{1});
  EXPECT_EQ(within_limits.broken_rules(), RuleNumbers{});
  Recording answered_twice = within_limits;
  answered_twice.client_answer(2050 * ms, 1, "ended", 201);
  EXPECT_EQ(answered_twice.broken_rules(), RuleNumbers{1});
  Recording submit_after_answer;
  submit_after_answer.client_request(0, 1, "GET")
      .client_answer(50 * ms, 1, "shed", 503, 1)
      .node_submit(300 * ms, 1, 0, "read", "idempotent");
  EXPECT_EQ(submit_after_answer.broken_rules(), RuleNumbers{1});
  Recording unknown_answer;
  unknown_answer.client_request(0, 1).client_answer(10 * ms, 1, "", 500);
  EXPECT_EQ(unknown_answer.broken_rules(), RuleNumbers{1});
  Recording disconnected;
  disconnected.client_request(0, 1).add(
      100 * ms, {{"ev", "broken"}, {"client", "c"}, {"op", 1}, {"try", 0}, {"head", "h"}});
  EXPECT_EQ(disconnected.broken_rules(), RuleNumbers{1});
}

TEST(Judge, Rule2ResendOfASubmitThatMayHaveRun) {
  Recording r;
  r.node_submit(0, 1, 0, "write", "side-effecting")
      .add(10 * ms, {{"ev", "cut"}, {"node", "n"}, {"conn", 1}, {"head", "h"}});
  r.node_submit(200 * ms, 1, 1, "write", "side-effecting", "m");
  EXPECT_EQ(r.broken_rules(), RuleNumbers{2});
  Recording within_limits;
  within_limits.node_submit(0, 1, 0, "write", "side-effecting").node_answer(10 * ms, 1, 0, "turned_away");
  within_limits.node_submit(200 * ms, 1, 1, "write", "side-effecting", "m");
  EXPECT_EQ(within_limits.broken_rules(), RuleNumbers{});
  Recording twice;
  twice.node_execution(0, 1, 0, "side-effecting").node_execution(5 * ms, 1, 0, "side-effecting");
  EXPECT_EQ(twice.broken_rules(), RuleNumbers{2});
  // Two block I/Os with the same effect: the client retried after a shed answer, though the first had run.
  Recording by_client;
  by_client.node_execution(0, 1, 0, "side-effecting").node_execution(500 * ms, 2, 0, "side-effecting");
  EXPECT_EQ(by_client.broken_rules(), RuleNumbers{2});
}

TEST(Judge, Rule2ShedAfterAPossibleRunAndOverlappingSubmits) {
  Recording shed;
  shed.client_request(0, 1)
      .node_submit(5 * ms, 1, 0, "write", "side-effecting")
      .client_answer(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(shed.broken_rules(), RuleNumbers{2});
  Recording within_limits;
  within_limits.client_request(0, 1)
      .node_submit(5 * ms, 1, 0, "write", "side-effecting")
      .node_answer(8 * ms, 1, 0, "turned_away");
  within_limits.client_answer(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(within_limits.broken_rules(), RuleNumbers{});
  Recording read;
  read.client_request(0, 1, "GET")
      .node_submit(5 * ms, 1, 0, "read", "idempotent")
      .client_answer(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(read.broken_rules(), RuleNumbers{});
  Recording concurrent;
  concurrent.node_submit(0, 1, 0, "read", "idempotent").node_submit(300 * ms, 1, 1, "read", "idempotent");
  EXPECT_EQ(concurrent.broken_rules(), RuleNumbers{2});
}

TEST(Judge, Rule2FingerprintedResendOutsideScopeOrMemorySpan) {
  const auto resend = [](long submit_at, const char* node) {
    Recording r;
    r.node_submit(0, 1, 0, "stamp", "fingerprinted").node_answer(10 * ms, 1, 0, "error");
    r.node_submit(submit_at, 1, 1, "stamp", "fingerprinted", node);
    return r.broken_rules();
  };
  EXPECT_EQ(resend(900 * ms, "n"), RuleNumbers{});
  EXPECT_EQ(resend(1200 * ms, "n"), RuleNumbers{2});
  EXPECT_EQ(resend(500 * ms, "m"), RuleNumbers{2});
}

TEST(Judge, Rule3SubmitToDrainingNodeAfterGracePeriod) {
  const auto submit_at = [](long t, bool is_node_paused) {
    Recording r;
    r.add(1000 * ms, {{"ev", "told"},
                      {"head", "h"},
                      {"form", "delta"},
                      {"version", 2},
                      {"entries", {{{"node", "n"}, {"state", "draining"}}}}});
    if (is_node_paused) {
      r.add(1500 * ms, {{"ev", "node_stopped"}, {"node", "n"}});
      r.add(t - 10 * ms, {{"ev", "node_went_on"}, {"node", "n"}});
    }
    r.node_submit(t, 1, 0, "read", "idempotent").node_answer(t + 1, 1, 0, "ended");
    return r.broken_rules();
  };
  EXPECT_EQ(submit_at(2050 * ms, false), RuleNumbers{});
  EXPECT_EQ(submit_at(2200 * ms, false), RuleNumbers{3});
  EXPECT_EQ(submit_at(2200 * ms, true), RuleNumbers{})
      << "the submit lay in the socket buffer of a paused node";
  Recording back;
  back.add(0, {{"ev", "told"},
               {"head", "h"},
               {"form", "full"},
               {"version", 2},
               {"entries", {{{"node", "m"}, {"state", "ready"}}}}});
  EXPECT_EQ(Recording(back).node_submit(1500 * ms, 1, 0, "read", "idempotent").broken_rules(), RuleNumbers{3})
      << "a node missing from a full list is gone";
  back.add(100 * ms, {{"ev", "told"},
                      {"head", "h"},
                      {"form", "delta"},
                      {"version", 3},
                      {"entries", {{{"node", "n"}, {"state", "ready"}}}}});
  EXPECT_EQ(back.node_submit(1500 * ms, 1, 0, "read", "idempotent").broken_rules(), RuleNumbers{});
}

TEST(Judge, Rule4OverloadOfAColdNode) {
  const auto run_with = [](int count) {
    Recording r;
    r.add(1000 * ms, {{"ev", "start"}, {"node", "k"}, {"cold", true}, {"capacity_units_s", 20}});
    for (int i = 0; i < count; ++i) {
      r.node_submit((1100 + i) * ms, 10 + i, 0, "read", "idempotent", "k", "v", 6);
      r.node_answer((1100 + i) * ms, 10 + i, 0, "ended", "k");
    }
    return r.broken_rules();
  };
  EXPECT_EQ(run_with(5), RuleNumbers{});   // 30 units; 28 and one submit of the largest size are allowed
  EXPECT_EQ(run_with(6), RuleNumbers{4});  // 36
  Recording collapsed;
  collapsed.add(10, {{"ev", "fell"}, {"node", "n"}});
  EXPECT_EQ(collapsed.broken_rules(), RuleNumbers{4});
}

TEST(Judge, Rule5OrderWithinAKey) {
  Recording overlapping;
  overlapping.node_submit(0, 1, 0, "turn", "side-effecting")
      .node_submit(50 * ms, 2, 0, "turn", "side-effecting");
  EXPECT_EQ(overlapping.broken_rules(), RuleNumbers{5});
  Recording within_limits;
  within_limits.node_submit(0, 1, 0, "turn", "side-effecting")
      .node_answer(40 * ms, 1, 0, "ended")
      .node_submit(50 * ms, 2, 0, "turn", "side-effecting");
  EXPECT_EQ(within_limits.broken_rules(), RuleNumbers{});
  Recording back;
  back.node_submit(0, 2, 0, "turn", "side-effecting")
      .node_answer(40 * ms, 2, 0, "ended")
      .node_submit(50 * ms, 1, 0, "turn", "side-effecting");
  EXPECT_EQ(back.broken_rules(), RuleNumbers{5});
  const auto resumed_at = [](long t) {
    Recording r;
    r.node_submit(0, 1, 0, "turn", "side-effecting")
        .add(100 * ms, {{"ev", "cut"}, {"node", "n"}, {"conn", 1}, {"head", "h"}});
    return r.node_submit(t, 2, 0, "turn", "side-effecting", "n", "v", 2, "o", 2).broken_rules();
  };
  EXPECT_EQ(resumed_at(250 * ms), RuleNumbers{5}) << "the first submit may still run";
  EXPECT_EQ(resumed_at(390 * ms), RuleNumbers{});
}

TEST(Judge, Rule6BudgetOfFurtherSubmits) {
  const auto run_with = [](int further) {
    Recording r;
    for (int i = 0; i < 10; ++i)
      r.client_request((1000 + i) * ms, i, "GET", 2000 * ms).client_answer((1500 + i) * ms, i, "ended", 200);
    for (int i = 0; i < further; ++i) {
      r.node_submit((1100 + i) * ms, 50 + i, 0, "read", "idempotent")
          .node_answer((1100 + i) * ms, 50 + i, 0, "error");
      r.node_submit((1200 + i) * ms, 50 + i, 1, "read", "idempotent")
          .node_answer((1200 + i) * ms, 50 + i, 1, "ended");
    }
    return r.broken_rules();
  };
  EXPECT_EQ(run_with(3), RuleNumbers{});  // two spare plus a tenth of ten requests
  EXPECT_EQ(run_with(4), RuleNumbers{6});
}

TEST(Judge, Rule7PlanLimits) {
  const auto run_with = [](int count) {
    Recording r;
    for (int i = 0; i < count; ++i) {
      r.node_submit((100 + i) * ms, 70 + i, 0, "read", "idempotent", "n", "w", 2)
          .node_answer((100 + i) * ms, 70 + i, 0, "ended");
    }
    return r.broken_rules();
  };
  EXPECT_EQ(run_with(7), RuleNumbers{});  // 14 units; a burst of 12 plus the slack are allowed
  EXPECT_EQ(run_with(8), RuleNumbers{7});
}

TEST(Judge, Rule8AcknowledgedObjectsAreReadable) {
  const auto read_result = [](int status, bool deleted) {
    Recording r;
    r.add(0, {{"ev", "stands"}, {"client", "c"}, {"volume", "v"}, {"object", "o"}});
    if (deleted) r.client_request(10 * ms, 1, "DELETE").client_answer(12 * ms, 1, "ended", 204);
    r.client_request(20 * ms, 2, "GET")
        .client_answer(30 * ms, 2, status == 404 ? "not-taken" : "ended", status);
    return r.broken_rules();
  };
  EXPECT_EQ(read_result(200, false), RuleNumbers{});
  EXPECT_EQ(read_result(404, false), RuleNumbers{8});
  EXPECT_EQ(read_result(404, true), RuleNumbers{});
}

TEST(Judge, Rule9ReserveUnderTheLastPlan) {
  const auto run_with = [](int ended, int asked) {
    Recording r;
    r.add(50 * ms, {{"ev", "planned"},
                    {"number", 2},
                    {"volumes", {{{"name", "v"}, {"reserve", 10}, {"nodes", {"n"}}}}}});
    for (int i = 0; i < asked; ++i) {
      const long t = (2000 + 200 * i) * ms;
      r.client_request(t, i, "PUT", 2000 * ms, ("o" + std::to_string(i)).c_str());
      if (i < ended)
        r.node_submit(t + ms, 100 + i, 0, "write", "side-effecting")
            .node_answer(t + 2 * ms, 100 + i, 0, "ended")
            .client_answer(t + 3 * ms, i, "ended", 201, 100 + i);
      else
        r.client_answer(t + 3 * ms, i, "shed", 503);
    }
    json d = scenario();
    d["length_ms"] = 6000;
    return r.broken_rules(d);
  };
  EXPECT_EQ(run_with(15, 15), RuleNumbers{}) << "less than its reserve, but all that it requested";
  EXPECT_EQ(run_with(3, 15), RuleNumbers{9});
  EXPECT_EQ(run_with(1, 5), RuleNumbers{}) << "too few requests to check";
}

}  // namespace
}  // namespace yewmount::tests
