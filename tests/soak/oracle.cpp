#include "tests/soak/oracle.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <optional>
#include <set>
#include <span>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"

namespace yewmount::soak {
namespace {

// What the terms allow, and what the recording itself may be late by on a busy machine.
constexpr Micros kRecordSlack = 80 * kMillisecond;
constexpr Micros kAnswerSlack = 500 * kMillisecond;
constexpr Micros kToldSlack = 150 * kMillisecond;
constexpr Micros kGoneSlack = 100 * kMillisecond;
constexpr Micros kDrainGrace = kSecond, kHoldUp = 150 * kMillisecond;
constexpr Micros kToldAtLatest = 6 * kSecond;
constexpr Micros kRudeOwed = 3 * kSecond;
constexpr Micros kReadyWithin = 10 * kSecond;
constexpr Micros kEndsWithin = 3700 * kMillisecond;  // after SIGTERM
constexpr double kLeastServed = 0.3;
// As main.cpp puts them into the settings.
constexpr double kColdBears = 60, kUsualUnits = 2, kColdFrom = 0.2;
constexpr Micros kWarmWithin = 3 * kSecond, kOverloadFor = kSecond;

struct Run {
  Micros at;
  int node;
  Micros told;
  bool turned_away = false;  // told so at once: it has had no effect
};

struct Request {
  Micros asked = 0, wait = 0;
  int head = 0;
  std::string kind, ahead;
  std::vector<std::pair<Micros, std::string>> answers;
  std::optional<Micros> left, closed;
  std::vector<Run> runs;
  std::vector<Micros> made;
};

// One process of a head.
struct Life {
  Micros started = 0;
  std::optional<Micros> ready, term, kill, exit;
  int code = 0;
};

class Judge {
 public:
  Judge(const Plan& plan, const std::string& folder) : plan_(plan), folder_(folder) {
    lives_.resize(static_cast<std::size_t>(plan.heads));
    told_.resize(static_cast<std::size_t>(plan.heads));
  }

  Verdict verdict() {
    read();
    for (const auto& [id, request] : requests_) {
      answered(id, request);
      ran(id, request);
    }
    drains();
    cold_nodes();
    rude();
    processes();
    const double served = static_cast<double>(counts("served"));
    if (served < kLeastServed * static_cast<double>(counts("asked")))
      say("served too little of what was asked");
    return verdict_;
  }

 private:
  long counts(const char* name) { return verdict_.counts[name]; }

  void say(const std::string& what) { verdict_.violations.push_back(what); }

  std::string at(Micros moment) const {
    return std::to_string((moment - plan_.start) / kMillisecond) + " ms";
  }

  void read() {
    std::vector<Line> lines;
    for (const auto& file : std::filesystem::directory_iterator(folder_)) {
      const std::string path = file.path().string();
      if (path.ends_with(".rec"))
        for (Line& line : read_lines(path)) lines.push_back(std::move(line));
      if (path.ends_with(".log")) read_log(path);
    }
    std::ranges::stable_sort(lines, {}, &Line::at);
    for (const Line& line : lines) take(line);
  }

  void take(const Line& l) {
    const auto& f = l.fields;
    if (l.event == "ask") {
      Request& r = requests_[f[0]];
      r.asked = l.at, r.head = std::stoi(f[1]), r.kind = f[2], r.wait = std::stol(f[3]) * kMillisecond;
      r.ahead = f[4];
    } else if (l.event == "answer") {
      requests_[f[0]].answers.emplace_back(l.at, f[1]);
    } else if (l.event == "left") {
      requests_[f[0]].left = l.at;
    } else if (l.event == "closed") {
      requests_[f[0]].closed = l.at;
    } else if (l.event == "run") {
      requests_[f[0]].runs.push_back({l.at, std::stoi(f[1]), std::stol(f[2]) * kMillisecond});
      ++verdict_.counts["runs"];
    } else if (l.event == "turned") {
      turned_away(requests_[f[0]], std::stoi(f[1]));
    } else if (l.event == "made") {
      requests_[f[0]].made.push_back(l.at);
    } else if (l.event == "unasked") {
      say("head " + f[0] + " answered what nobody asked, at " + at(l.at));
    } else if (l.event == "told") {
      told_[static_cast<std::size_t>(std::stoi(f[0]))].emplace_back(l.at, std::stol(f[1]));
    } else if (l.event == "rude") {
      rude_[f[2]] = l, rude_done_.try_emplace(f[2]);
    } else if (l.event == "rude_done") {
      rude_done_[f[0]] = l.at;
    } else {
      take_life(l);
    }
  }

  static void turned_away(Request& r, int node) {
    for (Run& run : r.runs)
      if (run.node == node && !run.turned_away) {
        run.turned_away = true;
        return;
      }
  }

  // Those that may have had an effect.
  static std::vector<Run> effects(const Request& r) {
    std::vector<Run> all;
    std::ranges::copy_if(r.runs, std::back_inserter(all), [](const Run& run) { return !run.turned_away; });
    return all;
  }

  void take_life(const Line& l) {
    if (l.event == "change") return;
    auto& lives = lives_[static_cast<std::size_t>(std::stoi(l.fields[0]))];
    if (l.event == "started")
      lives.push_back({.started = l.at, .ready = {}, .term = {}, .kill = {}, .exit = {}});
    Life& life = lives.back();
    if (l.event == "ready") life.ready = l.at;
    if (l.event == "term") life.term = l.at;
    if (l.event == "kill") life.kill = l.at;
    if (l.event == "exit") life.exit = l.at, life.code = std::stoi(l.fields[1]);
  }

  // The head's own words: which requests it has read, and its counts of violations.
  void read_log(const std::string& path) {
    std::ifstream in(path);
    for (std::string text; std::getline(in, text);) {
      if (text.find("\"event\":\"taken\"") != std::string::npos) {
        const std::size_t from = text.find("\"request\":\"") + 11;
        taken_.insert(text.substr(from, 16));
      }
      if (text.find("\"event\":\"violation") != std::string::npos &&
          text.find("violation: late") == std::string::npos)
        say("self-check of a head: " + text.substr(0, 300));
    }
  }

  const Life* life_at(int head, Micros moment) const {
    const Life* found = nullptr;
    for (const Life& life : lives_[static_cast<std::size_t>(head)])
      if (life.started <= moment) found = &life;
    return found;
  }

  bool killed_between(int head, Micros from, Micros until) const {
    return std::ranges::any_of(lives_[static_cast<std::size_t>(head)], [&](const Life& life) {
      return life.kill && *life.kill >= from && *life.kill <= until;
    });
  }

  // How long the head was stopped within a time: it can't be blamed for that.
  Micros stopped(int head, Micros from, Micros until) const {
    Micros all = 0;
    for (const Event& e : plan_.events)
      if (e.trouble == Trouble::stop_head && e.target == head)
        all += std::max<Micros>(
            0, std::min(until - plan_.start, e.until) - std::max(from - plan_.start, e.from));
    return all;
  }

  // A hanging node reads late: its record says nothing of when the head sent.
  bool reads_late(const Run& run) const {
    const Micros around = 200 * kMillisecond;
    return plan_.touched(Trouble::hang_node, run.node, run.at - around, run.at + around);
  }

  // When its time began: the wait for the answers before it does not count.
  Micros turn(const Request& r) const {
    const auto ahead = requests_.find(r.ahead);
    if (ahead == requests_.end() || ahead->second.answers.empty()) return r.asked;
    return std::max(r.asked, ahead->second.answers.front().first);
  }

  void answered(const std::string& id, const Request& r) {
    if (r.asked == 0) return;
    ++verdict_.counts["asked"];
    if (r.answers.empty()) return unanswered(id, r);
    const auto& [when, text] = r.answers.front();
    if (r.answers.size() > 1) say(id + " has two answers");
    const Micros due = turn(r) + r.wait + kAnswerSlack + kRecordSlack + stopped(r.head, r.asked, when);
    if (when > due)
      say("answer: " + id + " of head " + std::to_string(r.head) + " came late by " +
          std::to_string((when - due) / kMillisecond) + " ms beyond all slack, asked at " + at(r.asked));
    if (text[0] == '$') {
      ++verdict_.counts["served"];
      const bool made = std::ranges::any_of(r.made, [&](Micros m) { return m <= when; });
      if (text != "$value-" + id || !made) say("value: " + id + " was served " + text.substr(0, 40));
    } else if (text.starts_with("-BUSY")) {
      ++verdict_.counts["refused"];
      if (r.kind == "write" && !effects(r).empty()) say("effect: " + id + " was refused after it ran");
    } else {
      ++verdict_.counts["failed"];
    }
  }

  void unanswered(const std::string& id, const Request& r) {
    const Micros until = r.closed.value_or(r.asked + r.wait + kAnswerSlack);
    const bool excused =
        r.left || killed_between(r.head, r.asked, until) || (r.closed && !taken_.contains(id));
    ++verdict_.counts[excused ? "excused" : "lost"];
    if (excused) return;
    say("lost: " + id + " of head " + std::to_string(r.head) + " asked at " + at(r.asked) +
        (r.closed ? ", closed at " + at(*r.closed) : ", never answered") + ", runs " +
        std::to_string(r.runs.size()));
  }

  void ran(const std::string& id, const Request& r) {
    if (r.asked == 0) return;
    const std::vector<Run> ones = effects(r);
    for (std::size_t i = 1; i < ones.size(); ++i) {
      const Micros after = ones[i].at - ones[0].at;
      const bool forgotten = r.kind == "keyed" && after > plan_.memory_span && !reads_late(ones[i]);
      if (r.kind == "write" || forgotten)
        say("effect: " + id + " (" + r.kind + ") of head " + std::to_string(r.head) + " ran again at " +
            at(ones[i].at) + ", " + std::to_string(after / kMillisecond) + " ms after the first");
    }
    for (const Run& run : r.runs) {
      if (reads_late(run)) continue;
      const Micros left = r.asked + r.wait - run.at;
      if (run.told > left + kToldSlack + kRecordSlack)
        say("told: " + id + " of head " + std::to_string(r.head) + " at " + at(run.at) + ": node " +
            std::to_string(run.node) + " was told " + std::to_string(run.told / kMillisecond) +
            " ms, the client had " + std::to_string(left / kMillisecond));
      if (r.left && run.at > *r.left + kGoneSlack + kRecordSlack + stopped(r.head, *r.left, run.at))
        say("gone: " + id + " of head " + std::to_string(r.head) + " began " +
            std::to_string((run.at - *r.left) / kMillisecond) + " ms after its client closed");
    }
  }

  // When the process that sent at `moment` had been told of a version: as discovery wrote it, or at the
  // latest when the terms say so.
  Micros told(int head, long version, Micros change, Micros sent) const {
    const Life* life = life_at(head, sent);
    Micros reachable = std::max(change, life ? life->started : change);
    for (const Event& e : plan_.events)
      if (e.trouble == Trouble::silence_discovery && e.from + plan_.start <= reachable &&
          e.until + plan_.start > reachable)
        reachable = e.until + plan_.start;
    const Micros since = reachable;
    Micros when = reachable + kToldAtLatest;
    for (const auto& [moment, told] : told_[static_cast<std::size_t>(head)])
      if (told >= version && moment >= since) when = std::min(when, moment);
    return when;
  }

  void drains() {
    const std::vector<Change> all = changes(plan_);
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (all[i].view.state != "Terminating") continue;
      Micros until = plan_.length * 2;
      for (std::size_t k = i + 1; k < all.size(); ++k)
        if (all[k].node == all[i].node && all[k].view.state == "Ready") until = std::min(until, all[k].at);
      for (const auto& [id, r] : requests_)
        for (const Run& run : r.runs) {
          if (r.asked == 0 || run.node != all[i].node || run.at > plan_.start + until || reads_late(run))
            continue;
          const Micros known = told(r.head, static_cast<long>(i) + 2, plan_.start + all[i].at, run.at);
          if (run.at > known + kDrainGrace + kHoldUp + kRecordSlack)
            say("drain: " + id + " of head " + std::to_string(r.head) + " to node " +
                std::to_string(run.node) + " at " + at(run.at) + ", told at " + at(known));
        }
    }
  }

  // A node that comes back cold falls when it gets more than N and its chance within the rule's time; the
  // rule is broken where over two thirds of that came from heads that had been told of the start.
  void cold_nodes() {
    const std::vector<Change> all = changes(plan_);
    for (const Event& e : plan_.events) {
      if (e.trouble != Trouble::restart_node) continue;
      const auto change = std::ranges::find_if(
          all, [&](const Change& c) { return c.node == e.target && c.at > e.from && c.view.started_ms > 0; });
      if (change == all.end()) continue;
      cold_node(plan_.start + e.from, e.target, change - all.begin() + 2, plan_.start + change->at);
    }
  }

  void cold_node(Micros started, int node, long version, Micros change) {
    std::vector<std::pair<Micros, bool>> sent;  // when, and whether by one that had been told
    for (const auto& [id, r] : requests_)
      for (const Run& run : r.runs)
        if (run.node == node && run.at > started && run.at < started + kWarmWithin && r.asked > 0)
          sent.emplace_back(run.at, run.at > told(r.head, version, change, run.at));
    std::ranges::sort(sent);
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
      while (sent[first].first <= sent[last].first - kOverloadFor) ++first;
      const double warm = static_cast<double>(sent[last].first - started) / static_cast<double>(kWarmWithin);
      const double n = kColdBears / kUsualUnits * (kColdFrom + (1 - kColdFrom) * warm) / kColdFrom;
      const double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
      const auto window = std::span(sent).subspan(first, last - first + 1);
      if (static_cast<double>(window.size()) <= most) continue;
      const auto by_told = std::ranges::count(window, true, &std::pair<Micros, bool>::second);
      if (static_cast<std::size_t>(by_told) * 3 > window.size() * 2)
        say("cold: node " + std::to_string(node) + " started at " + at(started) + " got " +
            std::to_string(window.size()) + " within the rule's time, " +
            std::to_string(static_cast<int>(most)) + " allowed at " + at(sent[last].first));
      return;
    }
  }

  void rude() {
    for (const auto& [name, line] : rude_) {
      const int head = std::stoi(line.fields[0]);
      const auto done = rude_done_[name];
      const Micros until = line.at + kRudeOwed + 3 * kRecordSlack;
      const Life* life = life_at(head, line.at);
      if (life && (life->exit || life->kill)) continue;
      if (!done || *done > until + stopped(head, line.at, until))
        say("rude: a bad client (kind " + line.fields[1] + ") of head " + line.fields[0] + " at " +
            at(line.at) + " got neither error nor close in time");
    }
  }

  void processes() {
    for (int head = 0; head < plan_.heads; ++head)
      for (const Life& life : lives_[static_cast<std::size_t>(head)]) {
        const std::string who = "head " + std::to_string(head) + " started at " + at(life.started);
        const Micros end = std::min(life.kill.value_or(INT64_MAX), life.term.value_or(INT64_MAX));
        if (!life.ready && end > life.started + kReadyWithin) say("ready: " + who + " never was");
        if (life.ready && *life.ready > life.started + kReadyWithin) say("ready: " + who + " took too long");
        if (life.exit && !life.term && !life.kill) say("crash: " + who + " ended by itself");
        if (!life.term || life.kill) continue;
        if (!life.exit || *life.exit > *life.term + kEndsWithin + 2 * kRecordSlack)
          say("end: " + who + " went on for too long after SIGTERM");
        else if (life.code != 0)
          say("end: " + who + " ended with code " + std::to_string(life.code));
      }
  }

  const Plan& plan_;
  const std::string folder_;
  std::map<std::string, Request> requests_;
  std::vector<std::vector<Life>> lives_;
  std::vector<std::vector<std::pair<Micros, long>>> told_;
  std::map<std::string, Line> rude_;
  std::map<std::string, std::optional<Micros>> rude_done_;
  std::set<std::string> taken_;
  Verdict verdict_;
};

}  // namespace

Verdict judge(const Plan& plan, const std::string& folder) { return Judge(plan, folder).verdict(); }

}  // namespace yewmount::soak
