// yewmount-soak: real heads among nodes, discovery, clients and a proxy, each a process of its own on
// loopback, under troubles that a seed draws and that overlap in time; then the rules are held against what
// all of them recorded.
//
//   yewmount-soak run --seed 7 --seconds 12 --program yewmountd [--faults LIBRARY] [--keep]
//   yewmount-soak plan --seed 7         prints the troubles
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

#include "tests/soak/oracle.h"
#include "tests/soak/record.h"
#include "tests/soak/roles.h"

extern char** environ;

namespace yewmount::soak {
namespace {

constexpr Micros kSettle = 4500 * kMillisecond;  // after the last arrival, until all have their answers
constexpr Micros kPollEvery = 5 * kMillisecond;
constexpr Micros kEndLimit = 6 * kSecond;
constexpr Micros kDownFor = 200 * kMillisecond;  // a killed process
constexpr std::size_t kViolationsShown = 12;

struct Options {
  std::string program, faults, self, folder;
  bool keep = false;
};

pid_t spawn(const std::vector<std::string>& words, const std::vector<std::string>& variables,
            const std::string& log) {
  std::vector<char*> argv, env;
  for (const std::string& w : words) argv.push_back(const_cast<char*>(w.c_str()));
  for (const std::string& v : variables) env.push_back(const_cast<char*>(v.c_str()));
  argv.push_back(nullptr);
  env.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  pid_t pid = -1;
  const int failed = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), env.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error(words[0] + ": " + std::strerror(failed));
  return pid;
}

// Does what the plan says to processes: starts, signals, restarts.
class Runner {
 public:
  Runner(Plan plan, Options options)
      : plan_(std::move(plan)), options_(std::move(options)), record_(options_.folder + "/runner.rec") {
    heads_.resize(static_cast<std::size_t>(plan_.heads));
    nodes_.resize(static_cast<std::size_t>(plan_.nodes), -1);
  }
  ~Runner() {
    for (pid_t pid : others_) end(pid);
    for (pid_t pid : nodes_) end(pid);
    for (Head& head : heads_) end(head.pid);
  }

  Verdict run() {
    set_clock_step(0);
    plan_.start = now() + kSecond;
    plan_.wall_start_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count() +
                          1000;
    std::ofstream(options_.folder + "/plan.json") << to_json(plan_).dump(1);
    for (int i = 0; i < plan_.nodes; ++i) start_node(i);
    others_.push_back(start_role("discovery", 0, "discovery"));
    others_.push_back(start_role("proxy", 0, "proxy"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int i = 0; i < plan_.heads; ++i) start_head(i);
    for (int i = 0; i < plan_.clients; ++i)
      others_.push_back(start_role("clients", i, "clients" + std::to_string(i)));
    for (const Event& e : plan_.events) schedule(e);
    const Micros ends = plan_.start + plan_.length + kSettle;
    loop(ends, [] { return false; });
    for (int i = 0; i < plan_.heads; ++i) terminate(i, false);
    loop(now() + kEndLimit,
         [&] { return std::ranges::all_of(heads_, [](const Head& h) { return h.pid < 0; }); });
    return judge(plan_, options_.folder);
  }

 private:
  struct Head {
    pid_t pid = -1;
    int lives = 0;  // processes so far
    bool ready = false, again = false;
    int discovery = 0;  // which address its configuration names
  };
  struct Action {
    Micros at;
    std::function<void()> act;
  };

  static void end(pid_t pid) {
    if (pid <= 0) return;
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }

  std::string file(const std::string& name) const { return options_.folder + "/" + name; }

  pid_t start_role(const std::string& role, int number, const std::string& name) {
    return spawn({options_.self, "role", role, "--number", std::to_string(number), "--folder",
                  options_.folder, "--records", file(name + ".rec")},
                 {}, file(name + ".out"));
  }

  void start_node(int i) {
    nodes_[static_cast<std::size_t>(i)] = start_role("node", i, "node" + std::to_string(i));
  }

  void write_config(int i) {
    const Head& head = heads_[static_cast<std::size_t>(i)];
    const auto group = [&](const char* name, double goal, double limit, const char* repeat) {
      return nlohmann::json{
          {"name", name},          {"credit", 2.0},
          {"objective-s", goal},   {"deadline-s", limit},
          {"idempotency", repeat}, {"key-scope", "all"},
          {"late-worth", 0.2},     {"memory-span-s", static_cast<double>(plan_.memory_span) / 1e6}};
    };
    const nlohmann::json config = {
        {"name", "n" + std::to_string(i)},
        {"listen", plan_.head(i) + ":" + std::to_string(Plan::kPort)},
        {"discovery", plan_.discovery(head.discovery) + ":" + std::to_string(Plan::kDiscoveryPort + i)},
        {"seed", std::to_string(1000000 + plan_.seed * 100 + static_cast<unsigned>(i) +
                                static_cast<unsigned>(head.lives) * 7)},
        {"limits", {{"cores", 1.0}, {"memory_mb", 128}, {"sockets", 512}}},
        {"known", list_of(plan_, 0)},
        {"settings",
         {{"balancers", plan_.heads},
          {"rank", i},
          {"registry-mode", "push"},
          {"weights", "rough"},
          {"classes",
           {group("read", 0.4, 2, "read_like"), group("write", 0.6, 3, "non_idempotent"),
            group("keyed", 0.8, 3, "idempotency_key")}},
          {"plans", {{{"name", "gold"}, {"nominal", 2000.0}, {"reservation", 2000.0}}}},
          {"family-info",
           {{"cold-bears", 60.0},
            {"usual-units", 2.0},
            {"most-units", 6},
            {"share-worth", 0.35},
            {"beyond-share", 0.1},
            {"meter-s", 0.5},
            {"tells-elsewhere", true},
            {"writes", {false, true, true}}}},
          {"limits",
           {{"may-duplicate", false},
            {"cancel", true},
            {"probes", false},
            {"retry-after", false},
            {"max-attempts", 3},
            {"connect-timeout-s", 1.3},
            {"conn-idle-s", 5.0},
            {"streams-per-conn", 4}}},
          {"report", {{"fields", {"outstanding", "recent_ms"}}}},
          {"rules",
           {{"answer-slack-s", 0.008},
            {"cold-from", 0.2},
            {"fall-multiple", 4.0},
            {"warm-within-s", 3.0},
            {"overload-for-s", 1.0},
            {"drain-grace-s", 1.0}}}}}};
    std::ofstream(file("head" + std::to_string(i) + ".json")) << config.dump();
  }

  void start_head(int i) {
    Head& head = heads_[static_cast<std::size_t>(i)];
    write_config(i);
    std::vector<std::string> variables = {"RELAY_CONFIG=" + file("head" + std::to_string(i) + ".json")};
    if (!options_.faults.empty()) {
      variables.push_back("LD_PRELOAD=" + options_.faults);
      variables.push_back("YEWMOUNT_CLOCK_STEP=" + file("clock"));
      variables.push_back("YEWMOUNT_FAULTS_LOG=" + file("faults"));
      if (plan_.faulty[static_cast<std::size_t>(i)])
        variables.push_back("YEWMOUNT_FAULTS=seed=" + std::to_string(plan_.seed + static_cast<unsigned>(i)) +
                            ",eintr=0.02,short=0.02,accept=0.1,socket=0.03,connect=0.03,disk=0.05");
    }
    head.pid = spawn({options_.program, "relay", "--log-level", "debug"}, variables,
                     file("head" + std::to_string(i) + "-" + std::to_string(head.lives) + ".log"));
    ++head.lives;
    head.ready = head.again = false;
    record_.write(now(), "started", i);
    await_ready(i, head.lives);
  }

  // Ready once its log says that it serves: the listener is up from there.
  void await_ready(int i, int life) {
    later(now() + 20 * kMillisecond, [this, i, life] {
      Head& head = heads_[static_cast<std::size_t>(i)];
      if (head.pid < 0 || head.lives != life || head.ready) return;
      std::ifstream log(file("head" + std::to_string(i) + "-" + std::to_string(life - 1) + ".log"));
      for (std::string line; std::getline(log, line);)
        if (line.find("\"event\":\"serving\"") != std::string::npos) {
          head.ready = true;
          record_.write(now(), "ready", i);
          return;
        }
      await_ready(i, life);
    });
  }

  void terminate(int i, bool again) {
    Head& head = heads_[static_cast<std::size_t>(i)];
    if (head.pid < 0) return;
    head.again = again;
    record_.write(now(), "term", i);
    kill(head.pid, SIGTERM);
  }

  void kill_head(int i) {
    Head& head = heads_[static_cast<std::size_t>(i)];
    if (head.pid < 0) return;
    head.again = true;
    record_.write(now(), "kill", i);
    kill(head.pid, SIGKILL);
  }

  // A file that is none, then a good one that names the other address, then the same once more.
  void reload(int i) {
    Head& head = heads_[static_cast<std::size_t>(i)];
    if (head.pid < 0 || !head.ready) return;
    std::ofstream(file("head" + std::to_string(i) + ".json")) << "{\"name\":\"n";
    kill(head.pid, SIGHUP);
    head.discovery = 1 - head.discovery;
    for (const Micros wait : {40 * kMillisecond, 90 * kMillisecond})
      later(now() + wait, [this, i] {
        Head& head = heads_[static_cast<std::size_t>(i)];
        write_config(i);
        if (head.pid > 0 && head.ready) kill(head.pid, SIGHUP);
      });
  }

  void restart_node(int i) {
    pid_t& pid = nodes_[static_cast<std::size_t>(i)];
    end(std::exchange(pid, -1));
    later(now() + kDownFor, [this, i] { start_node(i); });
  }

  void set_clock_step(std::int64_t step) {
    const int fd = ::open(file("clock").c_str(), O_WRONLY | O_CREAT, 0644);
    if (fd < 0 || ::write(fd, &step, sizeof step) != static_cast<ssize_t>(sizeof step))
      throw std::runtime_error("can't write " + file("clock"));
    ::close(fd);
  }

  pid_t discovery() const { return others_.at(0); }

  void later(Micros at, std::function<void()> act) { actions_.push_back({at, std::move(act)}); }

  void stop_and_go(const Event& e, std::function<pid_t()> who) {
    later(plan_.start + e.from, [who] {
      if (const pid_t pid = who(); pid > 0) kill(pid, SIGSTOP);
    });
    later(plan_.start + e.until, [who] {
      if (const pid_t pid = who(); pid > 0) kill(pid, SIGCONT);
    });
  }

  void schedule(const Event& e) {
    const auto target = static_cast<std::size_t>(e.target);
    const auto act = [&](std::function<void()> what) { later(plan_.start + e.from, std::move(what)); };
    switch (e.trouble) {
      case Trouble::terminate_head:
        return act([this, i = e.target] { terminate(i, true); });
      case Trouble::kill_head:
        return act([this, i = e.target] { kill_head(i); });
      case Trouble::reload_head:
        return act([this, i = e.target] { reload(i); });
      case Trouble::restart_node:
        return act([this, i = e.target] { restart_node(i); });
      case Trouble::step_clock:
        return act([this, step = e.amount] { set_clock_step(step); });
      case Trouble::stop_head:
        return stop_and_go(e, [this, target] { return heads_[target].pid; });
      case Trouble::hang_node:
        return stop_and_go(e, [this, target] { return nodes_[target]; });
      case Trouble::silence_discovery:
        return stop_and_go(e, [this] { return discovery(); });
      default:
        return;  // the proxy, the nodes and the clients do these themselves
    }
  }

  template <class Done>
  void loop(Micros until, Done done) {
    while (now() < until && !done()) {
      reap();
      std::vector<Action> due;
      std::erase_if(actions_, [&](Action& a) {
        if (a.at > now()) return false;
        due.push_back(std::move(a));
        return true;
      });
      for (Action& a : due) a.act();
      std::this_thread::sleep_for(std::chrono::microseconds(kPollEvery));
    }
  }

  void reap() {
    for (int i = 0; i < plan_.heads; ++i) {
      Head& head = heads_[static_cast<std::size_t>(i)];
      int status = 0;
      if (head.pid < 0 || waitpid(head.pid, &status, WNOHANG) != head.pid) continue;
      head.pid = -1;
      record_.write(now(), "exit", i, WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
      if (head.again) later(now() + kDownFor, [this, i] { start_head(i); });
    }
  }

  Plan plan_;
  const Options options_;
  Recorder record_;
  std::vector<Head> heads_;
  std::vector<pid_t> nodes_, others_;  // others_: discovery, proxy, clients
  std::vector<Action> actions_;
};

// Addresses of 127.0.0.0/8 that another run on this machine is unlikely to use.
std::string own_addresses() {
  const auto number = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + number % 64) + "." + std::to_string(number / 64 % 250) + ".";
}

int run(std::uint64_t seed, double seconds, Options options) {
  char name[] = "/tmp/yewmount-soak-XXXXXX";
  if (!mkdtemp(name)) throw std::runtime_error("can't make a folder in /tmp");
  options.folder = name;
  Plan plan = draw(seed, static_cast<Micros>(seconds * 1e6));
  plan.base = own_addresses();
  const std::size_t troubles = plan.events.size();
  Verdict verdict = Runner(std::move(plan), options).run();
  std::cout << "soak seed " << seed << ": " << (verdict.violations.empty() ? "passed" : "FAILED") << ", "
            << troubles << " troubles";
  for (const auto& [what, count] : verdict.counts) std::cout << ", " << what << " " << count;
  std::cout << "\n";
  for (std::size_t i = 0; i < std::min(verdict.violations.size(), kViolationsShown); ++i)
    std::cout << "  " << verdict.violations[i] << "\n";
  if (verdict.violations.size() > kViolationsShown)
    std::cout << "  and " << verdict.violations.size() - kViolationsShown << " more\n";
  if (options.keep)
    std::cout << "  records in " << options.folder << "\n";
  else
    std::filesystem::remove_all(options.folder);
  return verdict.violations.empty() ? 0 : 1;
}

int role(const std::string& role, int number, const std::string& folder, const std::string& records) {
  std::signal(SIGPIPE, SIG_IGN);
  const Plan plan = plan_from(nlohmann::json::parse(std::ifstream(folder + "/plan.json")));
  if (role == "node") run_node(plan, number, records);
  if (role == "discovery") run_discovery(plan, records);
  if (role == "clients") run_clients(plan, number, records);
  if (role == "proxy") run_proxy(plan, records);
  return 0;
}

void print_plan(std::uint64_t seed, double seconds) {
  const Plan plan = draw(seed, static_cast<Micros>(seconds * 1e6));
  std::cout << plan.heads << " heads, " << plan.nodes << " nodes\n";
  for (const Event& e : plan.events)
    std::cout << e.from / kMillisecond << " to " << e.until / kMillisecond << " ms: " << name(e.trouble)
              << " " << e.target << (e.amount ? " by " + std::to_string(e.amount / kSecond) + " s" : "")
              << "\n";
}

}  // namespace
}  // namespace yewmount::soak

int main(int argc, char** argv) {
  using namespace yewmount::soak;
  CLI::App app{"randomized faults over real processes, with the rules as the judge"};
  app.require_subcommand(1);
  std::uint64_t seed = 1;
  double seconds = 12;
  Options options;
  options.self = std::filesystem::canonical("/proc/self/exe");
  CLI::App* whole = app.add_subcommand("run", "one run; exit 1 where a rule was broken");
  whole->add_option("--program", options.program, "the head")->required()->check(CLI::ExistingFile);
  whole->add_option("--faults", options.faults, "library that makes system calls of some heads fail");
  whole->add_flag("--keep", options.keep, "keep records and logs");
  CLI::App* plan = app.add_subcommand("plan", "what a seed draws");
  for (CLI::App* sub : {whole, plan}) {
    sub->add_option("--seed", seed);
    sub->add_option("--seconds", seconds);
  }
  std::string kind, records;
  int number = 0;
  CLI::App* part = app.add_subcommand("role", "one party of a run; started by it");
  part->add_option("kind", kind)->required();
  part->add_option("--number", number);
  part->add_option("--folder", options.folder);
  part->add_option("--records", records);
  CLI11_PARSE(app, argc, argv);
  try {
    if (part->parsed()) return role(kind, number, options.folder, records);
    if (plan->parsed()) return print_plan(seed, seconds), 0;
    return run(seed, seconds, options);
  } catch (const std::exception& e) {
    std::cerr << "yewmount-soak: " << e.what() << std::endl;
    return 2;
  }
}
