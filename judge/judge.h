// Judges a recorded day by the rules alone, from what crossed the sockets: the records of stand-ins and
// scripted clients, and when the runner killed, stopped and started whom. Shares no code with what it judges.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yewmount::judge {

using nlohmann::json;

struct Rule {
  int number;
  std::string name;
  bool kept = true;
  long checked = 0;  // how often there was something to judge
  long breaches = 0;
  std::string first;  // the first breach, quoted
};

struct Verdict {
  std::vector<Rule> rules;
  json figures;
  bool kept() const;
  json to_json() const;
  std::string table() const;
};

// day: the day file. events: all records in any order, each with "t" (microseconds, one clock).
Verdict judge(const json& day, std::vector<json> events);

// Reads DIR/day.json and DIR/record/*.jsonl; throws std::runtime_error with one line.
Verdict judge_folder(const std::string& folder);

}  // namespace yewmount::judge
