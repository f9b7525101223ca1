// The judge is judged: for each rule a short recording that breaks just it, and one that comes near and keeps
// it.
#include "judge/judge.h"

#include <gtest/gtest.h>

namespace yewmount::tests {
namespace {

using judge::json;
using judge::Verdict;

constexpr long ms = 1000;

json day() {
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

// A recording is written as its events; ids of block I/Os are serial << 12.
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
  Recording& sent(long t, long op, const char* method = "PUT", long patience = 2000 * ms,
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
  Recording& came(long t, long op, const char* answer, int status, long serial = 0) {
    json e = {{"ev", "answer"}, {"client", "c"},    {"op", op},        {"try", 0},
              {"head", "h"},    {"status", status}, {"answer", answer}};
    if (serial) e["bio"] = id(serial) + "+1";
    return add(t, e);
  }
  Recording& submit(long t, long serial, int no, const char* group, const char* repeat,
                    const char* node = "n", const char* volume = "v", int units = 2, const char* object = "o",
                    long conn = 1) {
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
  Recording& ran(long t, long serial, int no, const char* repeat, const char* node = "n",
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
  Recording& outcome(long t, long serial, int no, const char* what, const char* node = "n") {
    return add(t, {{"ev", "answer"},
                   {"node", node},
                   {"conn", 1},
                   {"head", "h"},
                   {"id", id(serial)},
                   {"no", no},
                   {"outcome", what}});
  }
  Verdict judged(json with = day()) const { return judge::judge(with, events); }
  // The numbers of the rules broken.
  std::vector<int> broken(json with = day()) const {
    std::vector<int> all;
    for (const judge::Rule& r : judged(with).rules)
      if (!r.kept) all.push_back(r.number);
    return all;
  }
};

using Rules = std::vector<int>;

TEST(Judge, AnOrdinaryWriteKeepsAll) {
  Recording r;
  r.sent(0, 1).submit(5 * ms, 1, 0, "write", "side-effecting").ran(9 * ms, 1, 0, "side-effecting");
  r.outcome(9 * ms, 1, 0, "ended").came(12 * ms, 1, "ended", 201, 1);
  EXPECT_EQ(r.broken(), Rules{});
  EXPECT_GT(r.judged().rules[0].checked, 0);
}

TEST(Judge, Rule1NoAnswerLateAnswerTwoAnswersAndASubmitAfter) {
  Recording never;
  never.sent(0, 1).add(2300 * ms, {{"ev", "silent"}, {"client", "c"}, {"op", 1}, {"try", 0}, {"head", "h"}});
  EXPECT_EQ(never.broken(), Rules{1});
  Recording killed = never;
  killed.add(1000 * ms, {{"ev", "head_killed"}, {"head", "h"}});
  EXPECT_EQ(killed.broken(), Rules{}) << "what a head held when it was killed stops being its duty";
  Recording no_end;
  no_end.sent(0, 1);
  EXPECT_EQ(no_end.broken(), Rules{1});
  Recording late, near;
  late.sent(0, 1).came(2400 * ms, 1, "failed", 504);
  near.sent(0, 1).came(2040 * ms, 1, "failed", 504);
  EXPECT_EQ(late.broken(), Rules{1});
  EXPECT_EQ(near.broken(), Rules{});
  Recording two = near;
  two.came(2050 * ms, 1, "ended", 201);
  EXPECT_EQ(two.broken(), Rules{1});
  Recording after;
  after.sent(0, 1, "GET").came(50 * ms, 1, "shed", 503, 1).submit(300 * ms, 1, 0, "read", "idempotent");
  EXPECT_EQ(after.broken(), Rules{1});
  Recording word;
  word.sent(0, 1).came(10 * ms, 1, "", 500);
  EXPECT_EQ(word.broken(), Rules{1});
  Recording cut;
  cut.sent(0, 1).add(100 * ms, {{"ev", "broken"}, {"client", "c"}, {"op", 1}, {"try", 0}, {"head", "h"}});
  EXPECT_EQ(cut.broken(), Rules{1});
}

TEST(Judge, Rule2AResendThatMayRunTwice) {
  Recording r;
  r.submit(0, 1, 0, "write", "side-effecting")
      .add(10 * ms, {{"ev", "cut"}, {"node", "n"}, {"conn", 1}, {"head", "h"}});
  r.submit(200 * ms, 1, 1, "write", "side-effecting", "m");
  EXPECT_EQ(r.broken(), Rules{2});
  Recording near;
  near.submit(0, 1, 0, "write", "side-effecting").outcome(10 * ms, 1, 0, "turned_away");
  near.submit(200 * ms, 1, 1, "write", "side-effecting", "m");
  EXPECT_EQ(near.broken(), Rules{});
  Recording twice;
  twice.ran(0, 1, 0, "side-effecting").ran(5 * ms, 1, 0, "side-effecting");
  EXPECT_EQ(twice.broken(), Rules{2});
  Recording by_client;  // two block I/Os with one effect: the shed between them was no harmless one
  by_client.ran(0, 1, 0, "side-effecting").ran(500 * ms, 2, 0, "side-effecting");
  EXPECT_EQ(by_client.broken(), Rules{2});
}

TEST(Judge, Rule2ShedsThatPromiseTooMuchAndTwoAtOnce) {
  Recording shed;
  shed.sent(0, 1).submit(5 * ms, 1, 0, "write", "side-effecting").came(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(shed.broken(), Rules{2});
  Recording near;
  near.sent(0, 1).submit(5 * ms, 1, 0, "write", "side-effecting").outcome(8 * ms, 1, 0, "turned_away");
  near.came(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(near.broken(), Rules{});
  Recording read;
  read.sent(0, 1, "GET").submit(5 * ms, 1, 0, "read", "idempotent").came(300 * ms, 1, "shed", 503, 1);
  EXPECT_EQ(read.broken(), Rules{});
  Recording both;
  both.submit(0, 1, 0, "read", "idempotent").submit(300 * ms, 1, 1, "read", "idempotent");
  EXPECT_EQ(both.broken(), Rules{2});
}

TEST(Judge, Rule2FingerprintsOutsideTheirScopeAndSpan) {
  const auto again = [](long at, const char* node) {
    Recording r;
    r.submit(0, 1, 0, "stamp", "fingerprinted").outcome(10 * ms, 1, 0, "error");
    r.submit(at, 1, 1, "stamp", "fingerprinted", node);
    return r.broken();
  };
  EXPECT_EQ(again(900 * ms, "n"), Rules{});
  EXPECT_EQ(again(1200 * ms, "n"), Rules{2});
  EXPECT_EQ(again(500 * ms, "m"), Rules{2});
}

TEST(Judge, Rule3NewWorkAfterTheGrace) {
  const auto at = [](long t, bool held_up) {
    Recording r;
    r.add(1000 * ms, {{"ev", "told"},
                      {"head", "h"},
                      {"form", "delta"},
                      {"version", 2},
                      {"entries", {{{"node", "n"}, {"state", "draining"}}}}});
    if (held_up) {
      r.add(1500 * ms, {{"ev", "node_stopped"}, {"node", "n"}});
      r.add(t - 10 * ms, {{"ev", "node_went_on"}, {"node", "n"}});
    }
    r.submit(t, 1, 0, "read", "idempotent").outcome(t + 1, 1, 0, "ended");
    return r.broken();
  };
  EXPECT_EQ(at(2050 * ms, false), Rules{});
  EXPECT_EQ(at(2200 * ms, false), Rules{3});
  EXPECT_EQ(at(2200 * ms, true), Rules{}) << "it lay in the socket of a node that stood still";
  Recording back;
  back.add(0, {{"ev", "told"},
               {"head", "h"},
               {"form", "full"},
               {"version", 2},
               {"entries", {{{"node", "m"}, {"state", "ready"}}}}});
  EXPECT_EQ(Recording(back).submit(1500 * ms, 1, 0, "read", "idempotent").broken(), Rules{3})
      << "not in a full list: gone";
  back.add(100 * ms, {{"ev", "told"},
                      {"head", "h"},
                      {"form", "delta"},
                      {"version", 3},
                      {"entries", {{{"node", "n"}, {"state", "ready"}}}}});
  EXPECT_EQ(back.submit(1500 * ms, 1, 0, "read", "idempotent").broken(), Rules{});
}

TEST(Judge, Rule4AColdNodeOverSentOrFallen) {
  const auto with = [](int count) {
    Recording r;
    r.add(1000 * ms, {{"ev", "start"}, {"node", "k"}, {"cold", true}, {"capacity_units_s", 20}});
    for (int i = 0; i < count; ++i) {
      r.submit((1100 + i) * ms, 10 + i, 0, "read", "idempotent", "k", "v", 6);
      r.outcome((1100 + i) * ms, 10 + i, 0, "ended", "k");
    }
    return r.broken();
  };
  EXPECT_EQ(with(5), Rules{});   // 30 units; 28 and one largest are borne
  EXPECT_EQ(with(6), Rules{4});  // 36
  Recording fell;
  fell.add(10, {{"ev", "fell"}, {"node", "n"}});
  EXPECT_EQ(fell.broken(), Rules{4});
}

TEST(Judge, Rule5OrderOfAKey) {
  Recording over;
  over.submit(0, 1, 0, "turn", "side-effecting").submit(50 * ms, 2, 0, "turn", "side-effecting");
  EXPECT_EQ(over.broken(), Rules{5});
  Recording near;
  near.submit(0, 1, 0, "turn", "side-effecting")
      .outcome(40 * ms, 1, 0, "ended")
      .submit(50 * ms, 2, 0, "turn", "side-effecting");
  EXPECT_EQ(near.broken(), Rules{});
  Recording back;
  back.submit(0, 2, 0, "turn", "side-effecting")
      .outcome(40 * ms, 2, 0, "ended")
      .submit(50 * ms, 1, 0, "turn", "side-effecting");
  EXPECT_EQ(back.broken(), Rules{5});
  const auto rested = [](long t) {
    Recording r;
    r.submit(0, 1, 0, "turn", "side-effecting")
        .add(100 * ms, {{"ev", "cut"}, {"node", "n"}, {"conn", 1}, {"head", "h"}});
    return r.submit(t, 2, 0, "turn", "side-effecting", "n", "v", 2, "o", 2).broken();
  };
  EXPECT_EQ(rested(250 * ms), Rules{5}) << "it may still run";
  EXPECT_EQ(rested(390 * ms), Rules{});
}

TEST(Judge, Rule6BudgetOfFurtherSubmits) {
  const auto with = [](int further) {
    Recording r;
    for (int i = 0; i < 10; ++i)
      r.sent((1000 + i) * ms, i, "GET", 2000 * ms).came((1500 + i) * ms, i, "ended", 200);
    for (int i = 0; i < further; ++i) {
      r.submit((1100 + i) * ms, 50 + i, 0, "read", "idempotent").outcome((1100 + i) * ms, 50 + i, 0, "error");
      r.submit((1200 + i) * ms, 50 + i, 1, "read", "idempotent").outcome((1200 + i) * ms, 50 + i, 1, "ended");
    }
    return r.broken();
  };
  EXPECT_EQ(with(3), Rules{});  // two spare and a tenth of ten
  EXPECT_EQ(with(4), Rules{6});
}

TEST(Judge, Rule7PlanLimits) {
  const auto with = [](int count) {
    Recording r;
    for (int i = 0; i < count; ++i) {
      r.submit((100 + i) * ms, 70 + i, 0, "read", "idempotent", "n", "w", 2)
          .outcome((100 + i) * ms, 70 + i, 0, "ended");
    }
    return r.broken();
  };
  EXPECT_EQ(with(7), Rules{});  // 14 of 12 and the slack
  EXPECT_EQ(with(8), Rules{7});
}

TEST(Judge, Rule8WhatWasAcknowledgedIsThere) {
  const auto get = [](int status, bool deleted) {
    Recording r;
    r.add(0, {{"ev", "stands"}, {"client", "c"}, {"volume", "v"}, {"object", "o"}});
    if (deleted) r.sent(10 * ms, 1, "DELETE").came(12 * ms, 1, "ended", 204);
    r.sent(20 * ms, 2, "GET").came(30 * ms, 2, status == 404 ? "not-taken" : "ended", status);
    return r.broken();
  };
  EXPECT_EQ(get(200, false), Rules{});
  EXPECT_EQ(get(404, false), Rules{8});
  EXPECT_EQ(get(404, true), Rules{});
}

TEST(Judge, Rule9AReserveUnderTheLastPlan) {
  const auto with = [](int ended, int asked) {
    Recording r;
    r.add(50 * ms, {{"ev", "planned"},
                    {"number", 2},
                    {"volumes", {{{"name", "v"}, {"reserve", 10}, {"nodes", {"n"}}}}}});
    for (int i = 0; i < asked; ++i) {
      const long t = (2000 + 200 * i) * ms;
      r.sent(t, i, "PUT", 2000 * ms, ("o" + std::to_string(i)).c_str());
      if (i < ended)
        r.submit(t + ms, 100 + i, 0, "write", "side-effecting")
            .outcome(t + 2 * ms, 100 + i, 0, "ended")
            .came(t + 3 * ms, i, "ended", 201, 100 + i);
      else
        r.came(t + 3 * ms, i, "shed", 503);
    }
    json d = day();
    d["length_ms"] = 6000;
    return r.broken(d);
  };
  EXPECT_EQ(with(15, 15), Rules{}) << "less than its reserve, but all that it asked for";
  EXPECT_EQ(with(3, 15), Rules{9});
  EXPECT_EQ(with(1, 5), Rules{}) << "it hardly asked";
}

}  // namespace
}  // namespace yewmount::tests
