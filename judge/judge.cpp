#include "judge/judge.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace yewmount::judge {
namespace {

using Micros = std::int64_t;
using std::string;

// Scheduling delay on a loaded machine between one process sending a frame and another recording it.
constexpr Micros kRecordJitterUs = 100'000;
constexpr Micros kAnswerSlackUs = 250'000;
constexpr Micros kPlanSettleUs = 1'500'000;    // from the announcement of a plan until reserves are checked
constexpr Micros kGainDeadlineUs = 1'000'000;  // answers after this earn no gain; only for comparing runs
constexpr int kExtentBits = 12;

// One request of a scripted client. The client may retry an operation; each attempt is one request.
struct ClientRequest {
  string client, head, method, volume, object;
  long operation = 0;
  long attempt = 0;
  Micros sent_at = 0;
  Micros timeout = 0;
  Micros completed_at = -1;
  string completion;  // name of the event that ended it
  string answer;
  string may_have_run;
  int status = 0;
  bool has_wrong_content = false;
  bool has_extra_answer = false;
  std::uint64_t serial = 0;  // common to its block I/Os; 0: not known
};

// One submit as a node received it.
struct Submit {
  Micros received_at = 0;
  Micros answered_at = -1;
  Micros connection_lost_at = -1;
  string head, node, group, repeat, kind, volume, object, outcome;
  std::uint64_t id = 0;
  int attempt = 0;
  int units = 1;
  long connection = 0;
  bool has_run = false;
};

struct Interval {
  Micros from, to;
};

struct IoGroup {
  string repeat, scope;
  Micros latency_goal = 0;
  Micros hard_limit = 0;
  Micros memory_span = 0;
  double gain = 1;
  bool keeps_order = false;
};

Micros micros_from_ms(const json& object, const char* key, double default_ms) {
  return std::llround(object.value(key, default_ms) * 1000);
}

// Collects the events of a run and checks each rule against them.
class RuleChecker {
 public:
  RuleChecker(const json& day, std::vector<json> events) : day_(day), events_(std::move(events)) {
    std::stable_sort(events_.begin(), events_.end(),
                     [](const json& left, const json& right) { return left.at("t") < right.at("t"); });
    const char* names[] = {"one final answer, in time, nothing after",
                           "no effect twice",
                           "drains kept",
                           "no cold node over-sent",
                           "order per key",
                           "budget of further submits",
                           "plan limits",
                           "nothing acknowledged is lost",
                           "reserves served under the last plan"};
    for (int i = 0; i < 9; ++i)
      verdict_.rules.push_back({.number = i + 1, .name = names[i], .first_breach = {}});
    const json& provision = day_.at("provision");
    for (const json& group : provision.at("groups"))
      groups_[group.at("name")] = {group.at("repeat"),
                                   group.value("scope", "all"),
                                   micros_from_ms(group, "latency_goal_ms", 0),
                                   micros_from_ms(group, "hard_limit_ms", 0),
                                   micros_from_ms(group, "memory_span_ms", 0),
                                   group.value("gain", 1.0),
                                   group.value("keeps_order", false)};
    rules_ = provision.value("rules", json::object());
    read_events();
  }

  Verdict run() {
    check_answers();
    check_effects();
    check_drains();
    check_cold_nodes();
    check_key_order();
    check_submit_budget();
    check_plan_limits();
    check_acknowledged_data();
    check_reserves();
    compute_figures();
    return std::move(verdict_);
  }

 private:
  void report_breach(int number, Micros time, const string& what) {
    Rule& rule = verdict_.rules[number - 1];
    rule.is_kept = false;
    if (rule.breach_count++ == 0) {
      char at[32];
      std::snprintf(at, sizeof at, "at %.3f s: ", static_cast<double>(time - began_at_) / 1e6);
      rule.first_breach = at + what;
    }
  }
  void count_check(int rule) { ++verdict_.rules[rule - 1].check_count; }

  static string describe(const Submit& submit) {
    std::ostringstream out;
    out << submit.head << " block I/O " << std::hex << submit.id << std::dec << " submit " << submit.attempt
        << " to " << submit.node;
    return out.str();
  }

  void read_events() {
    // By client, operation and attempt.
    std::map<std::tuple<string, long, long>, std::size_t> request_index;
    // By head, id, attempt and node.
    std::map<std::tuple<string, std::uint64_t, int, string>, std::size_t> submit_index;
    std::map<string, Micros> head_started_at;
    std::map<string, Micros> head_paused_at;
    std::map<string, Micros> node_paused_at;
    began_at_ = events_.empty() ? 0 : events_.front().at("t").get<Micros>();
    for (const json& event : events_) {
      const Micros time = event.at("t");
      const string type = event.at("ev");
      if (type == "day_began") began_at_ = time;
      if (type == "sent") {
        ClientRequest request;
        request.client = event.at("client");
        request.head = event.at("head");
        request.method = event.at("method");
        request.volume = event.at("volume");
        request.object = event.at("object");
        request.operation = event.at("op");
        request.attempt = event.at("try");
        request.sent_at = time;
        request.timeout = event.at("patience");
        request_index[{request.client, request.operation, request.attempt}] = requests_.size();
        requests_.push_back(request);
      } else if (type == "answer" || type == "left" || type == "silent" || type == "broken" ||
                 type == "refused") {
        if (!event.contains("client")) {
          if (type == "answer") record_node_answer(event, time, submit_index);
          continue;
        }
        const auto it = request_index.find({event.at("client"), event.at("op"), event.at("try")});
        if (it == request_index.end()) continue;
        ClientRequest& request = requests_[it->second];
        if (request.completed_at >= 0) request.has_extra_answer = true;
        request.completed_at = time;
        request.completion = type;
        request.status = event.value("status", 0);
        request.answer = event.value("answer", "");
        request.may_have_run = event.value("may_have_run", "");
        request.has_wrong_content = event.value("wrong", false);
        request.has_extra_answer |= event.value("extra", false);
        if (const string bio = event.value("bio", ""); !bio.empty())
          request.serial = std::stoull(bio.substr(0, bio.find('+')), nullptr, 16) >> kExtentBits;
      } else if (type == "submit") {
        Submit submit;
        submit.received_at = time;
        submit.head = event.at("head");
        submit.node = event.at("node");
        submit.group = event.at("group");
        submit.repeat = event.at("repeat");
        submit.kind = event.at("kind");
        submit.volume = event.at("volume");
        submit.object = event.at("object");
        submit.id = std::stoull(event.at("id").get<string>(), nullptr, 16);
        submit.attempt = event.at("no");
        submit.units = event.at("units");
        submit.connection = event.at("conn");
        submit_index[{submit.head, submit.id, submit.attempt, submit.node}] = submits_.size();
        submits_by_connection_[{submit.node, submit.connection}].push_back(submits_.size());
        submits_.push_back(submit);
      } else if (type == "ran") {
        const auto it =
            submit_index.find({event.at("head"), std::stoull(event.at("id").get<string>(), nullptr, 16),
                               event.at("no"), event.at("node")});
        if (it != submit_index.end()) submits_[it->second].has_run = true;
        executions_.push_back(event);
      } else if (type == "cut" || type == "closed") {
        for (std::size_t i : submits_by_connection_[{event.at("node"), event.at("conn")}])
          if (submits_[i].connection_lost_at < 0) submits_[i].connection_lost_at = time;
      } else if (type == "start") {
        node_starts_[event.at("node")].push_back(event);
      } else if (type == "fell") {
        overload_failures_.push_back(event);
      } else if (type == "told" && event.contains("head")) {
        list_updates_.push_back(event);
      } else if (type == "head_started") {
        head_started_at[event.at("head")] = time;
      } else if (type == "head_killed" || type == "head_ended") {
        const string head = event.at("head");
        if (head_started_at.count(head)) head_lifetimes_[head].push_back({head_started_at[head], time});
        head_started_at.erase(head);
        if (type == "head_killed") head_kills_[head].push_back(time);
        if (type == "head_ended" && event.value("code", 0) != 0)
          report_breach(1, time, head + " ended with code " + std::to_string(event.value("code", 0)));
      } else if (type == "head_stopped") {
        head_paused_at[event.at("head")] = time;
      } else if (type == "head_went_on") {
        head_pauses_[event.at("head")].push_back({head_paused_at[event.at("head")], time});
      } else if (type == "node_stopped") {
        node_paused_at[event.at("node")] = time;
      } else if (type == "node_went_on" || type == "node_killed") {
        const string node = event.at("node");
        if (node_paused_at.count(node)) node_pauses_[node].push_back({node_paused_at[node], time});
        node_paused_at.erase(node);
        if (type == "node_killed")
          for (auto& [key, list] : submits_by_connection_)
            if (key.first == node)
              for (std::size_t i : list)
                if (submits_[i].connection_lost_at < 0) submits_[i].connection_lost_at = time;
      } else if (type == "flipped") {
        ++bit_flips_[event.at("where")];
      } else if (type == "caught") {
        ++bit_flips_["caught coming in"];
      } else if (type == "planned") {
        plan_event_ = event;
        planned_at_ = time;
      } else if (type == "stands") {
        acknowledged_at_[event.at("volume").get<string>() + '/' + event.at("object").get<string>()] = time;
      }
    }
    for (const auto& [head, since] : head_started_at) head_lifetimes_[head].push_back({since, INT64_MAX});
    for (std::size_t i = 0; i < submits_.size(); ++i)
      submits_by_serial_[{submits_[i].head, submits_[i].id >> kExtentBits}].push_back(i);
  }

  void record_node_answer(
      const json& event, Micros time,
      const std::map<std::tuple<string, std::uint64_t, int, string>, std::size_t>& submit_index) {
    const auto it =
        submit_index.find({event.at("head"), std::stoull(event.at("id").get<string>(), nullptr, 16),
                           event.at("no"), event.at("node")});
    if (it == submit_index.end()) return;
    submits_[it->second].answered_at = time;
    submits_[it->second].outcome = event.at("outcome");
  }

  bool overlaps(const std::map<string, std::vector<Interval>>& intervals, const string& process, Micros from,
                Micros to) const {
    const auto it = intervals.find(process);
    if (it == intervals.end()) return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const Interval& interval) {
      return interval.from <= to && interval.to + 2 * kRecordJitterUs >= from;
    });
  }
  bool was_killed(const string& head, Micros from, Micros to) const {
    const auto it = head_kills_.find(head);
    return it != head_kills_.end() && std::any_of(it->second.begin(), it->second.end(), [&](Micros time) {
             return time >= from - kRecordJitterUs && time <= to + kRecordJitterUs;
           });
  }
  bool is_alive(const string& head, Micros at) const {
    const auto it = head_lifetimes_.find(head);
    return it != head_lifetimes_.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const Interval& interval) { return interval.from <= at && at < interval.to; });
  }
  // The node reads a frame late if it was paused while the frame lay in its socket buffer; the head had sent
  // it earlier.
  bool may_be_read_late(const Submit& submit) const {
    return overlaps(node_pauses_, submit.node, submit.received_at - 2 * kRecordJitterUs, submit.received_at);
  }

  void check_answers() {
    for (const ClientRequest& request : requests_) {
      const Micros due = request.sent_at + request.timeout + kAnswerSlackUs;
      const string request_name = request.client + " op " + std::to_string(request.operation) + " try " +
                                  std::to_string(request.attempt) + " at " + request.head;
      const bool is_excused = was_killed(request.head, request.sent_at, due) ||
                              !is_alive(request.head, request.sent_at) ||
                              overlaps(head_pauses_, request.head, request.sent_at, due);
      if (request.completion == "left") continue;
      count_check(1);
      if (request.has_extra_answer)
        report_breach(1, request.completed_at, request_name + " was answered twice");
      if (request.completion == "answer") {
        if (request.answer.empty())
          report_breach(1, request.completed_at,
                        request_name + " got status " + std::to_string(request.status) +
                            " that is none of ended, shed, failed");
        if (request.completed_at > due && !is_excused)
          report_breach(1, request.completed_at,
                        request_name + " was answered " +
                            std::to_string((request.completed_at - request.sent_at) / 1000) +
                            " ms after it was sent, patience " + std::to_string(request.timeout / 1000));
        continue;
      }
      if (is_excused || request.completion == "refused") continue;
      report_breach(
          1, request.completed_at,
          request_name + (request.completed_at < 0         ? " has no recorded outcome"
                          : request.completion == "silent" ? " was never answered"
                                                           : " lost its connection without an answer"));
    }
    std::map<std::pair<string, std::uint64_t>, const ClientRequest*> request_by_bio;
    for (const ClientRequest& request : requests_)
      if (request.serial > 0) request_by_bio[{request.head, request.serial}] = &request;
    for (const Submit& submit : submits_) {
      const auto it = request_by_bio.find({submit.head, submit.id >> kExtentBits});
      if (it == request_by_bio.end()) continue;
      count_check(1);
      const ClientRequest& request = *it->second;
      if (request.completed_at >= 0 && submit.received_at > request.completed_at + kRecordJitterUs &&
          !may_be_read_late(submit))
        report_breach(1, submit.received_at, describe(submit) + " came after the final answer");
    }
  }

  // Whether the node itself answered, by the given time, that it did not run the submit.
  static bool is_known_not_run(const Submit& submit, Micros by) {
    return (submit.outcome == "turned_away" || submit.outcome == "damaged") && submit.answered_at >= 0 &&
           submit.answered_at <= by;
  }

  void check_effects() {
    std::map<std::pair<string, std::uint64_t>, std::vector<const Submit*>> submits_by_bio;
    for (const Submit& submit : submits_) submits_by_bio[{submit.head, submit.id}].push_back(&submit);
    for (const auto& [key, list] : submits_by_bio) {
      count_check(2);
      std::set<int> attempts;
      for (std::size_t i = 0; i < list.size(); ++i) {
        const Submit& submit = *list[i];
        if (!attempts.insert(submit.attempt).second)
          report_breach(2, submit.received_at, describe(submit) + " was sent twice");
        const IoGroup& group = groups_.at(submit.group);
        for (std::size_t j = 0; j < i; ++j) {
          const Submit& before = *list[j];
          if (is_known_not_run(before, submit.received_at + kRecordJitterUs)) continue;
          const bool has_ended =
              (before.answered_at >= 0 && before.answered_at <= submit.received_at + kRecordJitterUs) ||
              (before.connection_lost_at >= 0 &&
               before.connection_lost_at <= submit.received_at + kRecordJitterUs);
          if (!has_ended)
            report_breach(2, submit.received_at,
                          describe(submit) + " while submit " + std::to_string(before.attempt) + " was out");
          if (submit.repeat == "side-effecting")
            report_breach(
                2, submit.received_at,
                describe(submit) + " though submit " + std::to_string(before.attempt) + " may have run");
          if (submit.repeat != "fingerprinted") continue;
          if (submit.received_at > before.received_at + group.memory_span + kRecordJitterUs)
            report_breach(2, submit.received_at, describe(submit) + " beyond the memory span");
          if (group.scope == "cell" && submit.node != before.node)
            report_breach(2, submit.received_at,
                          describe(submit) + " outside the cell of submit " + std::to_string(before.attempt));
        }
      }
    }
    std::map<std::pair<string, string>, std::set<string>> effects;  // volume and object: block I/Os that ran
    std::map<std::tuple<string, string, string>, int> runs;
    const bool has_reused_keys = std::any_of(day_.at("volumes").begin(), day_.at("volumes").end(),
                                             [](const json& volume) { return volume.value("keys", 0) > 0; });
    for (const json& event : executions_) {
      if (event.at("repeat") != "side-effecting") continue;
      const string id = event.at("id");
      if (++runs[{event.at("head"), id, event.at("kind")}] > 1)
        report_breach(
            2, event.at("t"),
            "the effect of block I/O " + id + " of " + event.at("head").get<string>() + " ran twice");
      if (has_reused_keys || event.at("kind") != "write" ||
          (std::stoull(id, nullptr, 16) & ((1u << kExtentBits) - 1)) != 0)
        continue;
      auto& block_ios = effects[{event.at("volume"), event.at("object")}];
      block_ios.insert(event.at("head").get<string>() + id);
      if (block_ios.size() > 1)
        report_breach(2, event.at("t"),
                      "the effect on " + event.at("volume").get<string>() + '/' +
                          event.at("object").get<string>() + " happened twice");
    }
    // The answer "shed" guarantees that the client may retry safely.
    for (const ClientRequest& request : requests_) {
      if (request.answer != "shed" || request.serial == 0) continue;
      count_check(2);
      const auto it = submits_by_serial_.find({request.head, request.serial});
      if (it == submits_by_serial_.end()) continue;
      for (std::size_t i : it->second) {
        const Submit& submit = submits_[i];
        const IoGroup& group = groups_.at(submit.group);
        const bool must_not_repeat =
            submit.repeat == "side-effecting" || (submit.repeat == "fingerprinted" && group.scope != "all");
        if (must_not_repeat && submit.received_at <= request.completed_at &&
            !is_known_not_run(submit, request.completed_at + kRecordJitterUs))
          report_breach(2, request.completed_at, describe(submit) + " may have run and was shed");
      }
    }
  }

  void check_drains() {
    const Micros grace = micros_from_ms(day_, "drain_grace_ms", 1000);
    std::map<std::pair<string, string>, Micros> draining_since;  // head, node: when the head was told
    std::size_t at = 0;
    for (const Submit& submit : submits_) {
      for (; at < list_updates_.size() && list_updates_[at].at("t").get<Micros>() <= submit.received_at;
           ++at) {
        const json& update = list_updates_[at];
        std::set<string> listed;
        for (const json& entry : update.at("entries")) {
          const std::pair key(update.at("head").get<string>(), entry.at("node").get<string>());
          listed.insert(key.second);
          if (entry.at("state") == "ready")
            draining_since.erase(key);
          else
            draining_since.try_emplace(key, update.at("t").get<Micros>());
        }
        if (update.at("form") == "full")
          for (const auto& [node, starts] : node_starts_)
            if (!listed.count(node))
              draining_since.try_emplace({update.at("head").get<string>(), node},
                                         update.at("t").get<Micros>());
      }
      count_check(3);
      const auto it = draining_since.find({submit.head, submit.node});
      if (it != draining_since.end() && submit.received_at > it->second + grace + kRecordJitterUs &&
          !may_be_read_late(submit))
        report_breach(3, submit.received_at,
                      describe(submit) + " " + std::to_string((submit.received_at - it->second) / 1000) +
                          " ms after the head was told that it drains or is gone");
    }
  }

  void check_cold_nodes() {
    for (const json& event : overload_failures_)
      report_breach(4, event.at("t"), event.at("node").get<string>() + " collapsed under overload");
    const double initial_share = rules_.value("cold_from", 1.0);
    const double overload_multiple = rules_.value("fall_multiple", 1.0);
    const Micros warm_up = micros_from_ms(rules_, "warm_within_ms", 0);
    const Micros window = micros_from_ms(rules_, "overload_for_ms", 0);
    const double cold_units = day_.at("provision").at("nodes").value("cold_bears", 0.0);
    const double largest_units = day_.at("provision").at("nodes").value("most_units", 1.0);
    for (const auto& [node, starts] : node_starts_)
      for (std::size_t i = 0; i < starts.size(); ++i) {
        if (!starts[i].value("cold", false)) continue;
        const Micros started_at = starts[i].at("t");
        const Micros until = i + 1 < starts.size() ? starts[i + 1].at("t").get<Micros>() : INT64_MAX;
        const double capacity = starts[i].at("capacity_units_s");
        std::deque<std::pair<Micros, double>> recent;
        double window_units = 0;
        for (const Submit& submit : submits_) {
          if (submit.node != node || submit.received_at < started_at || submit.received_at >= until ||
              submit.received_at > started_at + warm_up)
            continue;
          count_check(4);
          recent.emplace_back(submit.received_at, submit.units);
          window_units += submit.units;
          while (recent.front().first <= submit.received_at - window) {
            window_units -= recent.front().second;
            recent.pop_front();
          }
          const double warm_share = initial_share + (1 - initial_share) *
                                                        static_cast<double>(submit.received_at - started_at) /
                                                        static_cast<double>(warm_up);
          const double allowed_units = std::max(cold_units, overload_multiple * capacity * warm_share *
                                                                static_cast<double>(window) / 1e6) +
                                       largest_units;
          if (window_units > allowed_units)
            report_breach(4, submit.received_at,
                          node + " was sent " + std::to_string(window_units) + " units within the window, " +
                              std::to_string(allowed_units) + " are allowed");
        }
      }
  }

  void check_key_order() {
    const Micros quarantine = micros_from_ms(rules_, "turn_rest_ms", 0);
    std::map<std::pair<string, string>, std::vector<const Submit*>> submits_by_key;
    for (const Submit& submit : submits_)
      if (groups_.at(submit.group).keeps_order)
        submits_by_key[{submit.head, submit.volume + '/' + submit.object}].push_back(&submit);
    std::map<std::pair<string, std::uint64_t>, Micros> answered;
    for (const ClientRequest& request : requests_)
      if (request.serial > 0 && request.completed_at >= 0)
        answered[{request.head, request.serial}] = request.completed_at;
    for (const auto& [key, list] : submits_by_key)
      for (std::size_t i = 1; i < list.size(); ++i) {
        const Submit& earlier = *list[i - 1];
        const Submit& later = *list[i];
        if (earlier.id == later.id || was_killed(earlier.head, earlier.received_at, later.received_at))
          continue;
        count_check(5);
        if (later.id < earlier.id)
          report_breach(5, later.received_at, describe(later) + " after a later one of " + key.second);
        if (earlier.answered_at >= 0 && earlier.answered_at <= later.received_at + kRecordJitterUs / 10)
          continue;
        // No answer came: the key is blocked from the moment at which the head noticed, by the broken
        // connection or by its own timeout.
        Micros noticed_at = earlier.connection_lost_at;
        if (const auto it = answered.find({earlier.head, earlier.id >> kExtentBits}); it != answered.end())
          noticed_at = noticed_at < 0 ? it->second : std::min(noticed_at, it->second);
        if (noticed_at < 0 || later.received_at < noticed_at + quarantine - kRecordJitterUs)
          report_breach(
              5, later.received_at,
              describe(later) + " while " + describe(earlier) + " of " + key.second + " may still run");
      }
  }

  void check_submit_budget() {
    if (!rules_.contains("budget")) return;
    const json& budget = rules_["budget"];
    const Micros span = micros_from_ms(budget, "span_ms", 0);
    const double spare = budget.at("spare");
    const double share = budget.at("share");
    std::map<string, std::vector<Micros>> accepted;
    std::map<string, std::vector<Micros>> further;
    for (const ClientRequest& request : requests_) accepted[request.head].push_back(request.sent_at);
    std::set<std::pair<string, std::uint64_t>> seen;
    for (const Submit& submit : submits_) {
      if (submit.attempt > 0) further[submit.head].push_back(submit.received_at);
      if (submit.kind == "discard" && seen.insert({submit.head, submit.id}).second)
        accepted[submit.head].push_back(submit.received_at);
    }
    for (auto& [head, list] : further) {
      std::sort(accepted[head].begin(), accepted[head].end());
      for (std::size_t i = 0; i < list.size(); ++i) {
        count_check(6);
        long further_count = 0;
        long accepted_count = 0;
        for (std::size_t j = 0; j <= i; ++j) further_count += list[j] > list[i] - span;
        for (Micros time : accepted[head])
          accepted_count += time > list[i] - span - kRecordJitterUs && time <= list[i];
        if (static_cast<double>(further_count) > spare + share * static_cast<double>(accepted_count) + 1e-9)
          report_breach(6, list[i],
                        head + " made " + std::to_string(further_count) + " further submits where " +
                            std::to_string(accepted_count) + " were taken");
      }
    }
  }

  void check_plan_limits() {
    std::map<string, const json*> plans;
    for (const json& plan : day_.at("provision").at("plans")) plans[plan.at("name")] = &plan;
    for (const json& volume : day_.at("volumes")) {
      const json& plan = *plans.at(volume.at("plan"));
      const double limit = plan.value("limit", 0.0);
      if (limit <= 0) continue;
      const double burst = plan.value("burst", 0.0);
      const double slack = plan.value("slack", 0.0) + limit * kRecordJitterUs / 1e6;
      double level = burst;
      Micros last = -1;
      std::set<std::pair<string, std::uint64_t>> seen;
      for (const Submit& submit : submits_) {
        if (submit.volume != volume.at("name") || !seen.insert({submit.head, submit.id}).second) continue;
        count_check(7);
        if (last >= 0)
          level = std::min(burst, level + limit * static_cast<double>(submit.received_at - last) / 1e6);
        last = submit.received_at;
        level -= submit.units;
        if (level < -slack)
          report_breach(
              7, submit.received_at,
              submit.volume + " is at " + std::to_string(level) + " units, slack " + std::to_string(slack));
      }
    }
  }

  void check_acknowledged_data() {
    std::map<string, Micros> deleted;
    for (const ClientRequest& request : requests_)
      if (request.method == "DELETE")
        deleted.try_emplace(request.volume + '/' + request.object, request.sent_at);
    for (const ClientRequest& request : requests_) {
      if (request.method != "GET" || request.completion != "answer") continue;
      const string key = request.volume + '/' + request.object;
      const auto acknowledged = acknowledged_at_.find(key);
      const bool is_deleted = deleted.count(key) && deleted[key] <= request.completed_at;
      if (acknowledged == acknowledged_at_.end() || is_deleted) continue;
      count_check(8);
      if (request.status == 404)
        report_breach(8, request.completed_at, key + " was acknowledged and is not there");
      if (request.has_wrong_content)
        report_breach(8, request.completed_at, key + " has other content than was acknowledged");
    }
  }

  // Once a plan has settled, each volume gets its reserve or nearly all that it requests. Only half of the
  // reserve is required, since this check does not measure performance.
  void check_reserves() {
    if (planned_at_ < 0) return;
    const Micros from = std::max(planned_at_, began_at_) + kPlanSettleUs;
    const Micros to = began_at_ + micros_from_ms(day_, "length_ms", 0) - kPlanSettleUs / 2;
    const double seconds = static_cast<double>(to - from) / 1e6;
    if (seconds < 1) return;
    std::map<string, double> units;
    std::map<string, std::pair<long, long>> request_counts;  // sent, served
    std::map<string, std::pair<long, long>> placements;      // new objects on planned nodes, elsewhere
    std::map<string, std::set<string>> nodes;
    for (const json& volume : plan_event_.at("volumes"))
      nodes[volume.at("name")] = volume.at("nodes").get<std::set<string>>();
    for (const Submit& submit : submits_) {
      if (submit.received_at < from || submit.received_at > to) continue;
      if (submit.outcome == "ended") units[submit.volume] += submit.units;
      if (submit.kind == "write" && submit.attempt == 0 && nodes.count(submit.volume))
        ++(nodes[submit.volume].count(submit.node) ? placements[submit.volume].first
                                                   : placements[submit.volume].second);
    }
    for (const ClientRequest& request : requests_) {
      if (request.sent_at < from || request.sent_at > to) continue;
      ++request_counts[request.volume].first;
      request_counts[request.volume].second +=
          request.answer == "ended" || request.status == 404 || request.status == 412;
    }
    long on_planned_nodes = 0;
    long elsewhere = 0;
    for (const json& planned : plan_event_.at("volumes")) {
      const string volume = planned.at("name");
      const double reserve = planned.value("reserve", 0.0);
      const double received = units[volume] / seconds;
      const auto [asked, ended] = request_counts[volume];
      on_planned_nodes += placements[volume].first;
      elsewhere += placements[volume].second;
      verdict_.figures["by_volume"][volume] = {
          {"reserve", reserve}, {"units_a_second", received}, {"asked", asked}, {"ended", ended}};
      if (reserve <= 0 || asked < 10) continue;
      count_check(9);
      if (received < 0.5 * reserve && static_cast<double>(ended) < 0.8 * static_cast<double>(asked))
        report_breach(9, from,
                      volume + " had " + std::to_string(received) + " units a second of a reserve of " +
                          std::to_string(reserve) + ", " + std::to_string(ended) + " of " +
                          std::to_string(asked) + " ended");
    }
    verdict_.figures["new_objects"] = {{"where_planned", on_planned_nodes}, {"elsewhere", elsewhere}};
  }

  void compute_figures() {
    std::map<string, std::pair<double, double>> by_plan;  // gained, and the maximum possible
    std::map<string, string> plan_of;
    std::map<string, double> factor;
    for (const json& plan : day_.at("provision").value("plans", json::array()))
      factor[plan.at("name")] = plan.value("gain_factor", 1.0);
    for (const json& volume : day_.value("volumes", json::array()))
      plan_of[volume.at("name")] = volume.value("plan", "");
    for (const ClientRequest& request : requests_) {
      auto& [gained, maximum] = by_plan[plan_of[request.volume]];
      const double gain_factor = factor.count(plan_of[request.volume]) ? factor[plan_of[request.volume]] : 1;
      maximum += gain_factor;
      if (request.completion == "answer" && request.answer == "ended" &&
          request.completed_at - request.sent_at <= kGainDeadlineUs)
        gained += gain_factor;
    }
    for (const auto& [plan, gain] : by_plan)
      if (gain.second > 0) verdict_.figures["gain_part_by_plan"][plan] = gain.first / gain.second;
    std::map<string, std::map<string, long>> counts;
    std::map<string, std::vector<double>> latencies;
    for (const ClientRequest& request : requests_) {
      auto& count = counts[request.method];
      ++count["sent"];
      ++count[request.completion == "answer" ? (request.answer.empty() ? "odd" : request.answer)
                                             : request.completion];
      if (request.answer == "ended" && request.status < 400)
        latencies[request.method].push_back(static_cast<double>(request.completed_at - request.sent_at) /
                                            1000);
    }
    for (auto& [method, count] : counts) {
      json figure = count;
      auto& sorted = latencies[method];
      std::sort(sorted.begin(), sorted.end());
      if (!sorted.empty()) {
        figure["p50_ms"] = sorted[sorted.size() / 2];
        figure["p99_ms"] = sorted[std::min(sorted.size() - 1, sorted.size() * 99 / 100)];
      }
      verdict_.figures["by_method"][method] = figure;
    }
    std::map<string, std::map<string, double>> groups;
    std::set<std::pair<string, std::uint64_t>> seen;
    for (const Submit& submit : submits_) {
      auto& group = groups[submit.group];
      ++group["submits"];
      if (submit.attempt > 0) ++group["further"];
      if (submit.outcome.empty())
        ++group["unanswered"];
      else
        ++group[submit.outcome];
      if (seen.insert({submit.head, submit.id}).second) group["units"] += submit.units;
    }
    verdict_.figures["by_group"] = groups;
    if (!bit_flips_.empty()) verdict_.figures["flips"] = bit_flips_;
    // A node must detect every incoming write whose data was corrupted; otherwise corrupt data is stored.
    if (bit_flips_["in"] > bit_flips_["caught coming in"])
      report_breach(8, began_at_,
                    std::to_string(bit_flips_["in"]) + " writes came in damaged, " +
                        std::to_string(bit_flips_["caught coming in"]) + " were caught");
    verdict_.figures["submits"] = submits_.size();
    verdict_.figures["tries"] = requests_.size();
  }

  const json& day_;  // the scenario
  std::vector<json> events_;
  Verdict verdict_;
  std::map<string, IoGroup> groups_;
  json rules_;
  Micros began_at_ = 0;
  std::vector<ClientRequest> requests_;
  std::vector<Submit> submits_;
  std::map<std::pair<string, long>, std::vector<std::size_t>> submits_by_connection_;
  std::map<std::pair<string, std::uint64_t>, std::vector<std::size_t>> submits_by_serial_;
  std::vector<json> executions_;
  std::vector<json> overload_failures_;
  std::vector<json> list_updates_;
  std::map<string, std::vector<json>> node_starts_;
  std::map<string, std::vector<Interval>> head_lifetimes_;
  std::map<string, std::vector<Interval>> head_pauses_;  // between SIGSTOP and SIGCONT
  std::map<string, std::vector<Interval>> node_pauses_;
  std::map<string, std::vector<Micros>> head_kills_;
  std::map<string, Micros> acknowledged_at_;  // volume/object: last acknowledged write
  json plan_event_;
  std::map<string, long> bit_flips_;  // injected data corruption by place, and what was detected
  Micros planned_at_ = -1;
};

}  // namespace

bool Verdict::all_kept() const {
  return std::all_of(rules.begin(), rules.end(), [](const Rule& rule) { return rule.is_kept; });
}

json Verdict::to_json() const {
  json all = {{"kept", all_kept()}, {"rules", json::array()}, {"figures", figures}};
  for (const Rule& rule : rules)
    all["rules"].push_back({{"rule", rule.number},
                            {"name", rule.name},
                            {"kept", rule.is_kept},
                            {"checked", rule.check_count},
                            {"breaches", rule.breach_count},
                            {"first", rule.first_breach}});
  return all;
}

string Verdict::table() const {
  std::ostringstream out;
  char line[256];
  for (const Rule& rule : rules) {
    std::snprintf(line, sizeof line, "%d  %-42s %-7s %9ld looked at", rule.number, rule.name.c_str(),
                  !rule.is_kept          ? "BROKEN"
                  : rule.check_count > 0 ? "kept"
                                         : "unasked",
                  rule.check_count);
    out << line;
    if (!rule.is_kept) out << ", " << rule.breach_count << " breaches\n   first " << rule.first_breach;
    out << '\n';
  }
  if (figures.contains("by_method"))
    for (const auto& [method, figure] : figures["by_method"].items())
      out << "   " << method << ' ' << figure.dump() << '\n';
  for (const char* key : {"by_volume", "gain_part_by_plan", "new_objects", "flips"})
    if (figures.contains(key)) out << "   " << key << ' ' << figures[key].dump() << '\n';
  if (figures.contains("by_group"))
    for (const auto& [group, figure] : figures["by_group"].items())
      out << "   " << group << ' ' << figure.dump() << '\n';
  return out.str();
}

Verdict judge(const json& day, std::vector<json> events) { return RuleChecker(day, std::move(events)).run(); }

Verdict judge_folder(const string& folder) {
  namespace fs = std::filesystem;
  std::ifstream file(folder + "/day.json");
  if (!file) throw std::runtime_error("can't open " + folder + "/day.json");
  const json day = json::parse(file);
  std::vector<json> events;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder + "/record", error)) {
    if (entry.path().extension() != ".jsonl") continue;
    std::ifstream record(entry.path());
    long number = 0;
    for (string line; std::getline(record, line);) {
      ++number;
      try {
        events.push_back(json::parse(line));
      } catch (const json::exception&) {
        // A killed process may leave its last line incomplete; the event did not reach a socket.
        if (record.peek() != EOF)
          throw std::runtime_error(entry.path().string() + ": line " + std::to_string(number) +
                                   " is not JSON");
      }
    }
  }
  if (error) throw std::runtime_error("can't read " + folder + "/record: " + error.message());
  if (events.empty()) throw std::runtime_error(folder + " holds no records");
  return judge(day, std::move(events));
}

}  // namespace yewmount::judge
