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
#include "standins/support.h"

namespace yewmount::days {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr std::int64_t kReadyTimeoutUs = 10'000'000;

volatile std::sig_atomic_t stop_signal = 0;

struct ManagedNode {
  Process process;
  std::string name;
  json settings;
  int port = 0;
  int control_port = 0;
  int start_count = 0;
  bool is_listed = false;  // as ready
  std::uint64_t instance_id = 0;
  std::int64_t started_at = 0;  // monotonic; 0: before the scenario began
};

struct ManagedHead {
  Process process;
  std::string name;
  std::string settings_file;
  json settings;
};

class Scenario {
 public:
  Scenario(const std::string& file, std::string directory, std::string binaries, std::string head_program)
      : day_(load(file)),
        directory_(std::move(directory)),
        binaries_(std::move(binaries)),
        head_program_(head_program.empty() ? program_path("yewmountd") : std::move(head_program)) {
    std::error_code error;
    fs::create_directories(directory_ + "/record", error);
    if (error) throw std::runtime_error("can't create " + directory_ + ": " + error.message());
    if (!fs::is_empty(directory_ + "/record"))
      throw std::runtime_error(directory_ + " already holds the records of another run");
    for (const char* subdirectory : {"/log", "/run"}) fs::create_directories(directory_ + subdirectory);
    if (const std::string why = write_file(directory_ + "/day.json", day_.dump(1)); !why.empty())
      throw std::runtime_error(why);
    record_ = std::make_unique<standins::RecordWriter>(directory_ + "/record/runner.jsonl");
    check_references();
  }

  void run() {
    list_.start({program_path("yewmount-list"), "--record", directory_ + "/record/list.jsonl"},
                directory_ + "/log/list");
    const json list_ready = list_.read_json_line(kReadyTimeoutUs);
    list_port_ = list_ready.at("port");
    list_control_port_ = list_ready.at("control_port");
    start_catalogue();
    for (const json& n : day_.at("nodes")) {
      auto node = std::make_unique<ManagedNode>();
      node->name = n.at("name").get<std::string>();
      node->settings = day_.value("node_usual", json::object());
      node->settings.update(n);
      nodes_[node->name] = std::move(node);
    }
    for (auto& [name, node] : nodes_)
      if (!node->settings.value("later", false)) {
        start_node(*node, false);
        publish_node(*node, "ready", true);
      }
    if (day_.contains("planning")) make_plan();
    for (int h = 0; h < day_.at("heads").get<int>(); ++h) {
      auto head = std::make_unique<ManagedHead>();
      head->name = "head-" + std::to_string(h);
      head->settings = head_settings(h);
      heads_.push_back(std::move(head));
      start_head(*heads_.back());
    }
    start_clients();
    std::int64_t begin = 0;  // the latest start of a client
    for (auto& client : clients_)
      begin = std::max(begin, client->read_json_line(60'000'000).at("began").get<std::int64_t>());
    write_event({{"ev", "day_began"}});
    std::vector<json> script = day_.value("script", json::array());
    std::stable_sort(script.begin(), script.end(),
                     [](const json& x, const json& y) { return x.at("at_ms") < y.at("at_ms"); });
    std::deque<std::pair<std::int64_t, json>> queue;
    for (const json& s : script)
      queue.emplace_back(begin + std::llround(s.at("at_ms").get<double>() * 1000), s);
    const std::int64_t end = begin + std::llround(day_.at("length_ms").get<double>() * 1000);
    while (!queue.empty()) {
      const auto [at, step] = queue.front();
      queue.pop_front();
      sleep_until(at);
      for (json& follow_up : execute(step)) {
        const std::int64_t due =
            monotonic_now() + std::llround(follow_up.at("after_ms").get<double>() * 1000);
        const auto position =
            std::find_if(queue.begin(), queue.end(), [&](const auto& entry) { return entry.first > due; });
        queue.insert(position, {due, follow_up});
      }
    }
    sleep_until(end);
    for (auto& client : clients_) {
      int code = 0;
      if (!client->wait_for_exit(30'000'000, code))
        throw std::runtime_error("a client did not exit at the end of its script");
      if (code != 0)
        throw std::runtime_error("a client exited with code " + std::to_string(code) + "; see its log");
    }
    for (auto& head : heads_) {
      if (!head->process.is_running()) continue;
      head->process.signal(SIGTERM);
    }
    for (auto& head : heads_) {
      int code = -1;
      if (head->process.pid() < 0 || killed_heads_.count(head->name)) continue;
      if (!head->process.wait_for_exit(15'000'000, code)) {
        code = -1;
        head->process.kill();
      }
      write_event({{"ev", "head_ended"}, {"head", head->name}, {"code", code}});
    }
    for (auto& [name, node] : nodes_) terminate(node->process);
    terminate(catalogue_);
    terminate(list_);
  }

 private:
  std::string program_path(const char* name) const { return binaries_ + '/' + name; }
  void write_event(nlohmann::ordered_json line) {
    record_->append(std::move(line));
    record_->flush();
  }
  // Sleeps in short intervals and throws after a stop signal, so that the runner still ends its processes.
  static void sleep_until(std::int64_t at) {
    for (std::int64_t remaining; (remaining = at - monotonic_now()) > 0;) {
      std::this_thread::sleep_for(std::chrono::microseconds(std::min<std::int64_t>(remaining, 50'000)));
      if (stop_signal != 0) throw std::runtime_error("terminated by signal " + std::to_string(stop_signal));
    }
  }
  // Asks a process to exit, resuming it first if it is stopped, and kills it after 3 s.
  void terminate(Process& p) {
    int code = 0;
    p.signal(SIGCONT);
    p.signal(SIGTERM);
    if (!p.wait_for_exit(3'000'000, code)) p.kill();
  }

  // Reads a day file. Its key "like" may name a base file, to which it is then applied as a JSON merge patch
  // (RFC 7386).
  static json load(const std::string& file) {
    const auto read = [](const std::string& path) {
      std::string text;
      if (const std::string why = read_file(path, text); !why.empty()) throw settings::SettingsError(why);
      return settings::parse(text, path);
    };
    json day = read(file);
    fs::path base_directory = fs::path(file).parent_path();
    for (int depth = 0; day.is_object() && day.contains("like") && day["like"].is_string(); ++depth) {
      if (depth == 8)
        throw settings::SettingsError(file + ": /like: base files nested too deeply or in a cycle");
      const fs::path path = base_directory / day["like"].get<std::string>();
      json base = read(path.string());
      day.erase("like");
      base.merge_patch(day);
      day = std::move(base);
      base_directory = path.parent_path();
    }
    return settings::check(day.dump(), file, "day");
  }

  // Checks what the schema cannot express: unique names, and references to existing nodes and heads.
  void check_references() const {
    std::map<std::string, bool> names;
    for (const json& n : day_.at("nodes"))
      if (!names.emplace(n.at("name").get<std::string>(), true).second)
        throw settings::SettingsError("node '" + n.at("name").get<std::string>() +
                                      "' is defined twice in the day");
    for (const json& s : day_.value("script", json::array())) {
      if (s.contains("node") && !names.count(s["node"].get<std::string>()))
        throw settings::SettingsError("the script names an unknown node '" + s["node"].get<std::string>() +
                                      "'");
      if (s.contains("head") && s["head"].get<int>() >= day_.at("heads").get<int>())
        throw settings::SettingsError("the script names an unknown head " + s["head"].dump());
    }
    for (const json& s : day_.value("script", json::array()))
      if ((s.at("do") == "replan" || s.at("do") == "plan_text") && !day_.contains("planning"))
        throw settings::SettingsError("the script has plan steps but the day has no \"planning\"");
    for (const json& v : day_.at("volumes"))
      for (const json& h : v.at("heads"))
        if (h.get<int>() >= day_.at("heads").get<int>())
          throw settings::SettingsError("volume '" + v.at("name").get<std::string>() +
                                        "' names an unknown head");
  }

  void start_catalogue() {
    catalogue_.start({program_path("yewmount-catalogue"), "--folder", directory_ + "/run/catalogue", "--port",
                      std::to_string(catalogue_port_)},
                     directory_ + "/log/catalogue");
    catalogue_port_ = catalogue_.read_json_line(kReadyTimeoutUs).at("port");
  }

  void start_node(ManagedNode& node, bool is_cold) {
    json s = node.settings;
    for (const char* key : {"zone", "share", "later"}) s.erase(key);
    const json& rules = day_.at("provision").at("rules");
    const json& node_settings = day_.at("provision").at("nodes");
    for (const char* key : {"cold_from", "warm_within_ms", "fall_multiple", "overload_for_ms"})
      s[key] = rules.at(key);
    for (const char* key : {"cold_bears", "most_units"}) s[key] = node_settings.at(key);
    s["cold"] = is_cold;
    s["record"] = directory_ + "/record/node." + node.name + ".jsonl";
    s["store"] = directory_ + "/run/shard-" + s.at("shard").dump();
    s["seed"] = day_.at("seed").get<unsigned>() + 97u * static_cast<unsigned>(s.at("shard").get<int>()) +
                static_cast<unsigned>(node.start_count);
    const std::string file = directory_ + "/run/node." + node.name + ".json";
    if (const std::string why = write_file(file, s.dump(1)); !why.empty()) throw std::runtime_error(why);
    node.process.start({program_path("yewmount-node"), "--settings", file},
                       directory_ + "/log/node." + node.name);
    const json ready = node.process.read_json_line(kReadyTimeoutUs);
    node.port = ready.at("port");
    node.control_port = ready.at("control_port");
    node.instance_id = ready.at("start");
    node.started_at = is_cold ? monotonic_now() : 0;
    ++node.start_count;
  }

  // Sets the node's state in the list service.
  void publish_node(ManagedNode& node, const char* state, bool is_immediate = false) {
    json entry = {{"name", node.name},
                  {"port", node.port},
                  {"shard", node.settings.at("shard")},
                  {"zone", node.settings.value("zone", "")},
                  {"share", node.settings.value("share", 1.0)},
                  {"start", node.instance_id},
                  {"started", node.started_at},
                  {"state", state},
                  {"at_once", is_immediate}};
    send_control_command(list_control_port_, {{"set", json::array({entry})}});
    node.is_listed = std::string_view(state) == "ready";
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
                 {"file", directory_ + "/run/list.head-" + std::to_string(h) + ".json"}};
    if (day_.contains("planning"))
      s["plan"] = {{"file", plan_file()},
                   {"held", directory_ + "/run/plan.head-" + std::to_string(h) + ".json"}};
    if (s.contains("scrub"))
      s["scrub"]["cursor"] = directory_ + "/run/scrub.head-" + std::to_string(h) + ".json";
    if (day_.contains("ask_every_ms")) s["list"]["ask_every_ms"] = day_["ask_every_ms"];
    json catalogue = s.value("catalogue", json::object());
    catalogue["address"] = "127.0.0.1";
    catalogue["port"] = catalogue_port_;
    s["catalogue"] = catalogue;
    s["volumes"] = json::array();
    for (const json& v : day_.at("volumes"))
      s["volumes"].push_back(
          {{"name", v.at("name")}, {"plan", v.at("plan")}, {"heads", v.at("heads").size()}});
    return s;
  }

  std::string plan_file() const { return directory_ + "/run/plan.json"; }

  // Computes a plan for the listed nodes with the solver that operators use. The first plan exists before the
  // heads start; each later one starts from the previous one.
  void make_plan() {
    const json& planning = day_.at("planning");
    const std::string problem = directory_ + "/run/problem.json";
    const std::string members = directory_ + "/run/members.json";
    json problem_json = {
        {"zones", json::array()}, {"nodes", json::array()}, {"volumes", planning.at("volumes")}};
    json members_json;
    problem_json["keep"] = planning.value("keep", "none");
    std::map<std::string, bool> zones;
    for (const auto& [name, node] : nodes_) {
      const std::string zone = node->settings.value("zone", "zone");
      if (zones.emplace(zone, true).second) problem_json["zones"].push_back(zone);
      const json entry = {{"name", name}, {"zone", zone}, {"capacity", planning.at("capacity")}};
      problem_json["nodes"].push_back(entry);
      if (node->is_listed) members_json["nodes"].push_back(entry);
    }
    for (const auto& [file, content] : {std::pair{problem, problem_json}, {members, members_json}})
      if (const std::string why = write_file(file, content.dump(1)); !why.empty())
        throw std::runtime_error(why);
    // Each plan is kept in its own file, because the script may overwrite the file that the heads read.
    const auto numbered_plan_file = [&](int n) {
      return directory_ + "/run/plan-" + std::to_string(n) + ".json";
    };
    std::vector<std::string> command{program_path("yewmount"),
                                     "plan",
                                     "solve",
                                     problem,
                                     "--members",
                                     members,
                                     "--limit",
                                     "5",
                                     "--out",
                                     numbered_plan_file(++plan_count_)};
    if (plan_count_ > 1) command.insert(command.end(), {"--from", numbered_plan_file(plan_count_ - 1)});
    Process solver;
    solver.start(command, directory_ + "/log/plan");
    int code = -1;
    if (!solver.wait_for_exit(20'000'000, code) || code != 0)
      throw std::runtime_error("the solver found no plan (code " + std::to_string(code) + "); see log/plan");
    std::string text;
    if (const std::string why = read_file(numbered_plan_file(plan_count_), text); !why.empty())
      throw std::runtime_error(why);
    plan_ = json::parse(text);
    if (planning.value("equal", false)) {
      // A baseline for comparison: no reserves, equal weights, new objects on any node.
      plan_.erase("figures");
      plan_.erase("nodes");
      json all_nodes = json::array();
      for (const json& n : members_json["nodes"]) all_nodes.push_back(n.at("name"));
      for (json& v : plan_["volumes"])
        v = {{"name", v["name"]}, {"nodes", all_nodes}, {"reserve", 0}, {"weight", 1}};
    }
    if (const std::string why = write_file(plan_file(), plan_.dump(1)); !why.empty())
      throw std::runtime_error(why);
    reload_heads();
    json volumes = json::array();
    for (const json& v : planning.at("volumes")) {
      json planned_nodes;
      for (const json& planned : plan_.at("volumes"))
        if (planned.at("name") == v.at("name")) planned_nodes = planned.at("nodes");
      volumes.push_back(
          {{"name", v.at("name")}, {"reserve", v.value("reserve", 0.0)}, {"nodes", planned_nodes}});
    }
    write_event({{"ev", "planned"}, {"number", plan_.at("number")}, {"volumes", volumes}});
  }

  // Makes the running heads reload their plan.
  void reload_heads() {
    for (auto& head : heads_)
      if (head->process.pid() >= 0 && !killed_heads_.count(head->name)) head->process.signal(SIGHUP);
  }

  void start_head(ManagedHead& head) {
    head.settings_file = directory_ + "/run/" + head.name + ".json";
    if (const std::string why = write_file(head.settings_file, head.settings.dump(1)); !why.empty())
      throw std::runtime_error(why);
    write_event({{"ev", "head_started"}, {"head", head.name}});
    head.process.start({head_program_, "--settings", head.settings_file}, directory_ + "/log/" + head.name);
    // A restarted head uses the same port, because its clients have no other way to find it.
    head.settings["listen"]["port"] = head.process.read_json_line(kReadyTimeoutUs).at("port");
    killed_heads_.erase(head.name);
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
      const std::string name = script["name"], file = directory_ + "/run/client." + name + ".json";
      if (const std::string why = write_file(file, script.dump(1)); !why.empty())
        throw std::runtime_error(why);
      clients_.push_back(std::make_unique<Process>());
      clients_.back()->start({program_path("yewmount-client"), "--script", file, "--record",
                              directory_ + "/record/client." + name + ".jsonl"},
                             directory_ + "/log/client." + name);
    }
  }

  // Executes one step of the script. Returns the follow-up steps, with "after_ms" as their delay.
  std::vector<json> execute(const json& step) {
    const std::string action = step.at("do");
    const double for_ms = step.value("for_ms", 0.0);
    std::vector<json> follow_ups;
    const auto schedule = [&](json next, double delay_ms) {
      next["after_ms"] = delay_ms;
      follow_ups.push_back(std::move(next));
    };
    if (step.contains("node")) {
      ManagedNode& node = *nodes_.at(step["node"].get<std::string>());
      if (action == "node") {
        send_control_command(node.control_port, step.at("command"));
        if (for_ms > 0) schedule({{"do", "node"}, {"node", node.name}, {"command", step.at("undo")}}, for_ms);
      } else if (action == "stop_node") {
        write_event({{"ev", "node_stopped"}, {"node", node.name}});
        node.process.signal(SIGSTOP);
        if (for_ms > 0) schedule({{"do", "continue_node"}, {"node", node.name}}, for_ms);
      } else if (action == "continue_node") {
        node.process.signal(SIGCONT);
        write_event({{"ev", "node_went_on"}, {"node", node.name}});
      } else if (action == "kill_node") {
        node.process.kill();
        write_event({{"ev", "node_killed"}, {"node", node.name}});
        if (!step.value("unlisted", false)) publish_node(node, "gone");
        if (for_ms > 0) schedule({{"do", "start_node"}, {"node", node.name}}, for_ms);
      } else if (action == "start_node") {
        start_node(node, true);
        publish_node(node, "ready");
      } else if (action == "drain_node") {
        // The list announces the drain first; the node rejects new work once the heads had time to learn of
        // it.
        publish_node(node, "draining");
        schedule({{"do", "node"}, {"node", node.name}, {"command", {{"drain", true}}}}, for_ms * 0.8);
        schedule({{"do", "kill_node"}, {"node", node.name}}, for_ms);
        if (step.contains("successor")) schedule({{"do", "start_node"}, {"node", step["successor"]}}, for_ms);
      } else {
        throw settings::SettingsError("unknown step '" + action + "' for a node");
      }
    } else if (step.contains("head")) {
      ManagedHead& head = *heads_.at(step["head"].get<std::size_t>());
      if (action == "kill_head") {
        head.process.kill();
        write_event({{"ev", "head_killed"}, {"head", head.name}});
        killed_heads_.insert({head.name, true});
        if (for_ms > 0) schedule({{"do", "start_head"}, {"head", step["head"]}}, for_ms);
      } else if (action == "start_head") {
        start_head(head);
      } else if (action == "stop_head") {
        write_event({{"ev", "head_stopped"}, {"head", head.name}});
        head.process.signal(SIGSTOP);
        schedule({{"do", "continue_head"}, {"head", step["head"]}}, for_ms);
      } else if (action == "continue_head") {
        head.process.signal(SIGCONT);
        write_event({{"ev", "head_went_on"}, {"head", head.name}});
      } else {
        throw settings::SettingsError("unknown step '" + action + "' for a head");
      }
    } else if (action == "list") {
      send_control_command(list_control_port_, step.at("command"));
      if (for_ms > 0) schedule({{"do", "list"}, {"command", step.at("undo")}}, for_ms);
    } else if (action == "replan") {
      make_plan();
    } else if (action == "plan_text") {
      // Deliberately not replaced atomically, as if edited in place.
      std::ofstream(plan_file()) << step.at("text").get<std::string>();
      reload_heads();
      write_event({{"ev", "plan_text"}});
    } else if (action == "kill_catalogue") {
      catalogue_.kill();
      write_event({{"ev", "catalogue_killed"}});
      if (for_ms > 0) schedule({{"do", "start_catalogue"}}, for_ms);
    } else if (action == "start_catalogue") {
      start_catalogue();
      write_event({{"ev", "catalogue_started"}});
    } else {
      throw settings::SettingsError("unknown step '" + action + "'");
    }
    return follow_ups;
  }

  json day_;
  std::string directory_;
  std::string binaries_;
  std::string head_program_;
  std::unique_ptr<standins::RecordWriter> record_;
  Process list_;
  Process catalogue_;
  json plan_;  // the latest
  int plan_count_ = 0;
  int list_port_ = 0;
  int catalogue_port_ = 0;
  std::uint16_t list_control_port_ = 0;
  std::map<std::string, std::unique_ptr<ManagedNode>> nodes_;
  std::vector<std::unique_ptr<ManagedHead>> heads_;
  std::vector<std::unique_ptr<Process>> clients_;
  std::map<std::string, bool> killed_heads_;
};

}  // namespace

void run_scenario(const std::string& day_file, const std::string& directory, const std::string& binaries,
                  const std::string& head_program) {
  for (const int number : {SIGTERM, SIGINT, SIGHUP})
    std::signal(number, [](int received) { stop_signal = received; });
  Scenario(day_file, directory, binaries, head_program).run();
}

}  // namespace yewmount::days
