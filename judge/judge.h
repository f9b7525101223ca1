// Checks a recorded scenario ("day") against the rules. The input is what crossed the sockets, as recorded by
// the stand-in nodes and scripted clients, and the times at which the runner killed, stopped and started each
// process. Shares no code with the programs that it checks.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yewmount::judge {

using nlohmann::json;

// The result for one rule.
struct Rule {
  int number;
  std::string name;
  bool is_kept = true;
  long check_count = 0;  // number of cases to which the rule applied
  long breach_count = 0;
  std::string first_breach;  // time and description of the first breach
};

// The results for all rules, and the figures of the run.
struct Verdict {
  std::vector<Rule> rules;
  json figures;
  // Whether no rule was broken.
  bool all_kept() const;
  json to_json() const;
  // The verdict as a text table, one line for each rule and figure.
  std::string table() const;
};

// Checks all rules. day: the parsed scenario file. events: all records in any order, each with "t" in
// microseconds of one common clock.
Verdict judge(const json& day, std::vector<json> events);

// Checks the run recorded in FOLDER/day.json and FOLDER/record/*.jsonl. Throws std::runtime_error with a
// one-line message where a file is missing or malformed.
Verdict judge_folder(const std::string& folder);

}  // namespace yewmount::judge
