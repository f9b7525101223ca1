#include "days/runner.h"

#include <signal.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

#include "base/base.h"
#include "days/processes.h"
#include "settings/json_schema.h"
#include "standins/lines.h"

namespace yewmount::days {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr std::int64_t kReady = 10'000'000;

volatile std::sig_atomic_t stopped = 0;

struct NodeRun {
  Process process;
  std::string name;
  json settings;
  int port = 0, control = 0, starts = 0;
  bool listed = false;  // as ready
  std::uint64_t start = 0;
  std::int64_t started = 0;  // 0: before the day
};

struct HeadRun {
  Process process;
  std::string name, file;
  json settings;
};

class Day {
 public:
  Day(const std::string& file, std::string folder, std::string binaries, std::string head_program)
      : day_(load(file)),
        folder_(std::move(folder)),
        binaries_(std::move(binaries)),
        head_program_(head_program.empty() ? bin("yewmountd") : std::move(head_program)) {
    std::error_code error;
    fs::create_directories(folder_ + "/record", error);
    if (error) throw std::runtime_error("can't create " + folder_ + ": " + error.message());
    if (!fs::is_empty(folder_ + "/record"))
      throw std::runtime_error(folder_ + " holds another day's records");
    for (const char* part : {"/log", "/run"}) fs::create_directories(folder_ + part);
    if (const std::string why = write_file(folder_ + "/day.json", day_.dump(1)); !why.empty())
      throw std::runtime_error(why);
    record_ = std::make_unique<standins::Record>(folder_ + "/record/runner.jsonl");
    check();
  }

  void play() {
    list_.start({bin("yewmount-list"), "--record", folder_ + "/record/list.jsonl"}, folder_ + "/log/list");
    const json list = list_.line(kReady);
    list_port_ = list.at("port"), list_control_ = list.at("control_port");
    start_catalogue();
    for (const json& n : day_.at("nodes")) {
      auto node = std::make_unique<NodeRun>();
      node->name = n.at("name").get<std::string>();
      node->settings = day_.value("node_usual", json::object());
      node->settings.update(n);
      nodes_[node->name] = std::move(node);
    }
    for (auto& [name, node] : nodes_)
      if (!node->settings.value("later", false)) start_node(*node, false), tell_list(*node, "ready", true);
    if (day_.contains("planning")) plan();
    for (int h = 0; h < day_.at("heads").get<int>(); ++h) {
      auto head = std::make_unique<HeadRun>();
      head->name = "head-" + std::to_string(h);
      head->settings = head_settings(h);
      heads_.push_back(std::move(head));
      start_head(*heads_.back());
    }
    start_clients();
    std::int64_t begin = 0;
    for (auto& c : clients_) begin = std::max(begin, c->line(60'000'000).at("began").get<std::int64_t>());
    say({{"ev", "day_began"}});
    std::vector<json> script = day_.value("script", json::array());
    std::stable_sort(script.begin(), script.end(),
                     [](const json& x, const json& y) { return x.at("at_ms") < y.at("at_ms"); });
    std::deque<std::pair<std::int64_t, json>> todo;
    for (const json& s : script)
      todo.emplace_back(begin + std::llround(s.at("at_ms").get<double>() * 1000), s);
    const std::int64_t over = begin + std::llround(day_.at("length_ms").get<double>() * 1000);
    while (!todo.empty()) {
      const auto [at, step] = todo.front();
      todo.pop_front();
      sleep_until(at);
      for (json& later : carry_out(step)) {
        const std::int64_t then = monotonic_now() + std::llround(later.at("after_ms").get<double>() * 1000);
        const auto place =
            std::find_if(todo.begin(), todo.end(), [&](const auto& t) { return t.first > then; });
        todo.insert(place, {then, later});
      }
    }
    sleep_until(over);
    for (auto& c : clients_) {
      int code = 0;
      if (!c->ended(30'000'000, code)) throw std::runtime_error("a client did not end with its script");
      if (code != 0)
        throw std::runtime_error("a client ended with code " + std::to_string(code) + "; its log tells why");
    }
    for (auto& h : heads_) {
      if (!h->process.running()) continue;
      h->process.signal(SIGTERM);
    }
    for (auto& h : heads_) {
      int code = -1;
      if (h->process.pid() < 0 || dead_heads_.count(h->name)) continue;
      if (!h->process.ended(15'000'000, code)) code = -1, h->process.kill();
      say({{"ev", "head_ended"}, {"head", h->name}, {"code", code}});
    }
    for (auto& [name, node] : nodes_) end(node->process);
    end(catalogue_);
    end(list_);
  }

 private:
  std::string bin(const char* name) const { return binaries_ + '/' + name; }
  void say(nlohmann::ordered_json line) {
    record_->add(std::move(line));
    record_->flush();
  }
  // In slices, so that a runner told to stop ends what it started instead of leaving it behind.
  static void sleep_until(std::int64_t at) {
    for (std::int64_t left; (left = at - monotonic_now()) > 0;) {
      std::this_thread::sleep_for(std::chrono::microseconds(std::min<std::int64_t>(left, 50'000)));
      if (stopped != 0) throw std::runtime_error("stopped by signal " + std::to_string(stopped));
    }
  }
  void end(Process& p) {
    int code = 0;
    p.signal(SIGCONT);
    p.signal(SIGTERM);
    if (!p.ended(3'000'000, code)) p.kill();
  }

  // A day may tell only what is other than in one that it is like (a merge patch, RFC 7386).
  static json load(const std::string& file) {
    const auto read = [](const std::string& path) {
      std::string text;
      if (const std::string why = read_file(path, text); !why.empty()) throw settings::SettingsError(why);
      return settings::parse(text, path);
    };
    json day = read(file);
    fs::path folder = fs::path(file).parent_path();
    for (int depth = 0; day.is_object() && day.contains("like") && day["like"].is_string(); ++depth) {
      if (depth == 8)
        throw settings::SettingsError(file + ": /like: days that are like one another in a circle");
      const fs::path path = folder / day["like"].get<std::string>();
      json like = read(path.string());
      day.erase("like");
      like.merge_patch(day);
      day = std::move(like);
      folder = path.parent_path();
    }
    return settings::check(day.dump(), file, "day");
  }

  // What the schema can't say: names that nothing answers to.
  void check() const {
    std::map<std::string, bool> names;
    for (const json& n : day_.at("nodes"))
      if (!names.emplace(n.at("name").get<std::string>(), true).second)
        throw settings::SettingsError("node '" + n.at("name").get<std::string>() +
                                      "' stands twice in the day");
    for (const json& s : day_.value("script", json::array())) {
      if (s.contains("node") && !names.count(s["node"].get<std::string>()))
        throw settings::SettingsError("the script names an unknown node '" + s["node"].get<std::string>() +
                                      "'");
      if (s.contains("head") && s["head"].get<int>() >= day_.at("heads").get<int>())
        throw settings::SettingsError("the script names an unknown head " + s["head"].dump());
    }
    for (const json& s : day_.value("script", json::array()))
      if ((s.at("do") == "replan" || s.at("do") == "plan_text") && !day_.contains("planning"))
        throw settings::SettingsError("the script tells of plans in a day without planning");
    for (const json& v : day_.at("volumes"))
      for (const json& h : v.at("heads"))
        if (h.get<int>() >= day_.at("heads").get<int>())
          throw settings::SettingsError("volume '" + v.at("name").get<std::string>() +
                                        "' names an unknown head");
  }

  void start_catalogue() {
    catalogue_.start({bin("yewmount-catalogue"), "--folder", folder_ + "/run/catalogue", "--port",
                      std::to_string(catalogue_port_)},
                     folder_ + "/log/catalogue");
    catalogue_port_ = catalogue_.line(kReady).at("port");
  }

  void start_node(NodeRun& node, bool cold) {
    json s = node.settings;
    for (const char* key : {"zone", "share", "later"}) s.erase(key);
    const json& rules = day_.at("provision").at("rules");
    const json& given = day_.at("provision").at("nodes");
    for (const char* key : {"cold_from", "warm_within_ms", "fall_multiple", "overload_for_ms"})
      s[key] = rules.at(key);
    for (const char* key : {"cold_bears", "most_units"}) s[key] = given.at(key);
    s["cold"] = cold;
    s["record"] = folder_ + "/record/node." + node.name + ".jsonl";
    s["store"] = folder_ + "/run/shard-" + s.at("shard").dump();
    s["seed"] = day_.at("seed").get<unsigned>() + 97u * static_cast<unsigned>(s.at("shard").get<int>()) +
                static_cast<unsigned>(node.starts);
    const std::string file = folder_ + "/run/node." + node.name + ".json";
    if (const std::string why = write_file(file, s.dump(1)); !why.empty()) throw std::runtime_error(why);
    node.process.start({bin("yewmount-node"), "--settings", file}, folder_ + "/log/node." + node.name);
    const json ready = node.process.line(kReady);
    node.port = ready.at("port"), node.control = ready.at("control_port");
    node.start = ready.at("start");
    node.started = cold ? monotonic_now() : 0;
    ++node.starts;
  }

  void tell_list(NodeRun& node, const char* state, bool at_once = false) {
    json entry = {{"name", node.name},
                  {"port", node.port},
                  {"shard", node.settings.at("shard")},
                  {"zone", node.settings.value("zone", "")},
                  {"share", node.settings.value("share", 1.0)},
                  {"start", node.start},
                  {"started", node.started},
                  {"state", state},
                  {"at_once", at_once}};
    command(list_control_, {{"set", json::array({entry})}});
    node.listed = std::string_view(state) == "ready";
  }

  json head_settings(int h) const {
    json s = day_.at("provision");
    s["name"] = "head-" + std::to_string(h);
    s["heads"] = day_.at("heads");
    s["own_number"] = h;
    s["seed"] = day_.at("seed").get<std::uint64_t>() + 1000u + static_cast<unsigned>(h);
    s["listen"] = {{"address", "127.0.0.1"}, {"port", 0}};
    s["list"] = {{"address", "127.0.0.1"},
                 {"port", list_port_},
                 {"file", folder_ + "/run/list.head-" + std::to_string(h) + ".json"}};
    if (day_.contains("planning"))
      s["plan"] = {{"file", plan_file()},
                   {"held", folder_ + "/run/plan.head-" + std::to_string(h) + ".json"}};
    if (s.contains("scrub"))
      s["scrub"]["cursor"] = folder_ + "/run/scrub.head-" + std::to_string(h) + ".json";
    if (day_.contains("ask_every_ms")) s["list"]["ask_every_ms"] = day_["ask_every_ms"];
    json catalogue = s.value("catalogue", json::object());
    catalogue["address"] = "127.0.0.1", catalogue["port"] = catalogue_port_;
    s["catalogue"] = catalogue;
    s["volumes"] = json::array();
    for (const json& v : day_.at("volumes"))
      s["volumes"].push_back(
          {{"name", v.at("name")}, {"plan", v.at("plan")}, {"heads", v.at("heads").size()}});
    return s;
  }

  std::string plan_file() const { return folder_ + "/run/plan.json"; }

  // A plan for the nodes that are there, worked out by the tool as operators do. The first stands before the
  // heads start; each later one goes on from the one before.
  void plan() {
    const json& given = day_.at("planning");
    const std::string problem = folder_ + "/run/problem.json", members = folder_ + "/run/members.json";
    json p = {{"zones", json::array()}, {"nodes", json::array()}, {"volumes", given.at("volumes")}}, there;
    p["keep"] = given.value("keep", "none");
    std::map<std::string, bool> zones;
    for (const auto& [name, node] : nodes_) {
      const std::string zone = node->settings.value("zone", "zone");
      if (zones.emplace(zone, true).second) p["zones"].push_back(zone);
      const json one = {{"name", name}, {"zone", zone}, {"capacity", given.at("capacity")}};
      p["nodes"].push_back(one);
      if (node->listed) there["nodes"].push_back(one);
    }
    for (const auto& [file, what] : {std::pair{problem, p}, {members, there}})
      if (const std::string why = write_file(file, what.dump(1)); !why.empty()) throw std::runtime_error(why);
    // Each in a file of its own: what heads are given may be overwritten by anyone.
    const auto numbered = [&](int n) { return folder_ + "/run/plan-" + std::to_string(n) + ".json"; };
    std::vector<std::string> command{bin("yewmount"), "plan",    "solve", problem, "--members",
                                     members,         "--limit", "5",     "--out", numbered(++plans_)};
    if (plans_ > 1) command.insert(command.end(), {"--from", numbered(plans_ - 1)});
    Process solver;
    solver.start(command, folder_ + "/log/plan");
    int code = -1;
    if (!solver.ended(20'000'000, code) || code != 0)
      throw std::runtime_error("no plan was worked out (code " + std::to_string(code) +
                               "); log/plan tells why");
    std::string text;
    if (const std::string why = read_file(numbered(plans_), text); !why.empty())
      throw std::runtime_error(why);
    plan_ = json::parse(text);
    if (given.value("equal", false)) {
      // To compare with: no reserves, the same weight for all, new objects anywhere.
      plan_.erase("figures"), plan_.erase("nodes");
      json everywhere = json::array();
      for (const json& n : there["nodes"]) everywhere.push_back(n.at("name"));
      for (json& v : plan_["volumes"])
        v = {{"name", v["name"]}, {"nodes", everywhere}, {"reserve", 0}, {"weight", 1}};
    }
    if (const std::string why = write_file(plan_file(), plan_.dump(1)); !why.empty())
      throw std::runtime_error(why);
    tell_heads();
    json due = json::array();
    for (const json& v : given.at("volumes")) {
      json nodes;
      for (const json& planned : plan_.at("volumes"))
        if (planned.at("name") == v.at("name")) nodes = planned.at("nodes");
      due.push_back({{"name", v.at("name")}, {"reserve", v.value("reserve", 0.0)}, {"nodes", nodes}});
    }
    say({{"ev", "planned"}, {"number", plan_.at("number")}, {"volumes", due}});
  }

  void tell_heads() {
    for (auto& head : heads_)
      if (head->process.pid() >= 0 && !dead_heads_.count(head->name)) head->process.signal(SIGHUP);
  }

  void start_head(HeadRun& head) {
    head.file = folder_ + "/run/" + head.name + ".json";
    if (const std::string why = write_file(head.file, head.settings.dump(1)); !why.empty())
      throw std::runtime_error(why);
    say({{"ev", "head_started"}, {"head", head.name}});
    head.process.start({head_program_, "--settings", head.file}, folder_ + "/log/" + head.name);
    // A restarted head listens where it did: its clients know no other place.
    head.settings["listen"]["port"] = head.process.line(kReady).at("port");
    dead_heads_.erase(head.name);
  }

  void start_clients() {
    const int count = day_.value("clients", 1);
    for (int c = 0; c < count; ++c) {
      json script = {{"name", "c" + std::to_string(c)},
                     {"seed", day_.at("seed").get<unsigned>() * 31u + static_cast<unsigned>(c)},
                     {"length_ms", day_.at("length_ms")},
                     {"heads", json::array()},
                     {"volumes", json::array()}};
      if (day_.contains("preload")) script["preload"] = day_["preload"];
      for (const auto& h : heads_)
        script["heads"].push_back({{"name", h->name}, {"port", h->settings["listen"]["port"]}});
      int i = 0;
      for (const json& v : day_.at("volumes")) {
        if (i++ % count != c) continue;
        json volume = v;
        volume.erase("plan");
        if (!volume.contains("mix")) volume["mix"] = day_.at("mix");
        script["volumes"].push_back(volume);
      }
      if (script["volumes"].empty()) continue;
      const std::string name = script["name"], file = folder_ + "/run/client." + name + ".json";
      if (const std::string why = write_file(file, script.dump(1)); !why.empty())
        throw std::runtime_error(why);
      clients_.push_back(std::make_unique<Process>());
      clients_.back()->start({bin("yewmount-client"), "--script", file, "--record",
                              folder_ + "/record/client." + name + ".jsonl"},
                             folder_ + "/log/client." + name);
    }
  }

  // What follows from a step later comes back as steps with "after_ms".
  std::vector<json> carry_out(const json& step) {
    const std::string what = step.at("do");
    const double for_ms = step.value("for_ms", 0.0);
    std::vector<json> later;
    const auto then = [&](json next, double after) {
      next["after_ms"] = after;
      later.push_back(std::move(next));
    };
    if (step.contains("node")) {
      NodeRun& node = *nodes_.at(step["node"].get<std::string>());
      if (what == "node") {
        command(node.control, step.at("command"));
        if (for_ms > 0) then({{"do", "node"}, {"node", node.name}, {"command", step.at("undo")}}, for_ms);
      } else if (what == "stop_node") {
        say({{"ev", "node_stopped"}, {"node", node.name}});
        node.process.signal(SIGSTOP);
        if (for_ms > 0) then({{"do", "continue_node"}, {"node", node.name}}, for_ms);
      } else if (what == "continue_node") {
        node.process.signal(SIGCONT);
        say({{"ev", "node_went_on"}, {"node", node.name}});
      } else if (what == "kill_node") {
        node.process.kill();
        say({{"ev", "node_killed"}, {"node", node.name}});
        if (!step.value("unlisted", false)) tell_list(node, "gone");
        if (for_ms > 0) then({{"do", "start_node"}, {"node", node.name}}, for_ms);
      } else if (what == "start_node") {
        start_node(node, true);
        tell_list(node, "ready");
      } else if (what == "drain_node") {
        // The list is told first; the node itself turns new work away once its clients had time to hear.
        tell_list(node, "draining");
        then({{"do", "node"}, {"node", node.name}, {"command", {{"drain", true}}}}, for_ms * 0.8);
        then({{"do", "kill_node"}, {"node", node.name}}, for_ms);
        if (step.contains("successor")) then({{"do", "start_node"}, {"node", step["successor"]}}, for_ms);
      } else {
        throw settings::SettingsError("unknown step '" + what + "' for a node");
      }
    } else if (step.contains("head")) {
      HeadRun& head = *heads_.at(step["head"].get<std::size_t>());
      if (what == "kill_head") {
        head.process.kill();
        say({{"ev", "head_killed"}, {"head", head.name}});
        dead_heads_.insert({head.name, true});
        if (for_ms > 0) then({{"do", "start_head"}, {"head", step["head"]}}, for_ms);
      } else if (what == "start_head") {
        start_head(head);
      } else if (what == "stop_head") {
        say({{"ev", "head_stopped"}, {"head", head.name}});
        head.process.signal(SIGSTOP);
        then({{"do", "continue_head"}, {"head", step["head"]}}, for_ms);
      } else if (what == "continue_head") {
        head.process.signal(SIGCONT);
        say({{"ev", "head_went_on"}, {"head", head.name}});
      } else {
        throw settings::SettingsError("unknown step '" + what + "' for a head");
      }
    } else if (what == "list") {
      command(list_control_, step.at("command"));
      if (for_ms > 0) then({{"do", "list"}, {"command", step.at("undo")}}, for_ms);
    } else if (what == "replan") {
      plan();
    } else if (what == "plan_text") {
      // Not written whole, as by a careless hand.
      std::ofstream(plan_file()) << step.at("text").get<std::string>();
      tell_heads();
      say({{"ev", "plan_text"}});
    } else if (what == "kill_catalogue") {
      catalogue_.kill();
      say({{"ev", "catalogue_killed"}});
      if (for_ms > 0) then({{"do", "start_catalogue"}}, for_ms);
    } else if (what == "start_catalogue") {
      start_catalogue();
      say({{"ev", "catalogue_started"}});
    } else {
      throw settings::SettingsError("unknown step '" + what + "'");
    }
    return later;
  }

  json day_;
  std::string folder_, binaries_, head_program_;
  std::unique_ptr<standins::Record> record_;
  Process list_, catalogue_;
  json plan_;  // the last one worked out
  int plans_ = 0;
  int list_port_ = 0, catalogue_port_ = 0;
  std::uint16_t list_control_ = 0;
  std::map<std::string, std::unique_ptr<NodeRun>> nodes_;
  std::vector<std::unique_ptr<HeadRun>> heads_;
  std::vector<std::unique_ptr<Process>> clients_;
  std::map<std::string, bool> dead_heads_;
};

}  // namespace

void play(const std::string& day_file, const std::string& folder, const std::string& binaries,
          const std::string& head_program) {
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) std::signal(number, [](int got) { stopped = got; });
  Day(day_file, folder, binaries, head_program).play();
}

}  // namespace yewmount::days
