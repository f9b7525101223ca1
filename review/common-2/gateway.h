// A small deployment of the stand-alone head: the project's list service, catalogue and storage nodes as processes of
// their own, and one head, all on loopback.
#pragma once
#include "kit.h"

namespace kit {

struct Process {
  pid_t pid = -1;
  std::string ready;  // the line that it prints when it is ready
  long number(const std::string& name) const {
    const std::size_t at = ready.find("\"" + name + "\":");
    if (at == std::string::npos) cannot_run("no " + name + " in " + ready);
    return std::atol(ready.c_str() + at + name.size() + 3);
  }
  void start(const std::vector<std::string>& arguments, const std::string& log_file) {
    int out[2];
    if (::pipe(out) != 0) cannot_run("no pipe");
    std::fflush(nullptr);
    pid = ::fork();
    if (pid < 0) cannot_run("cannot fork");
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(::open("/dev/null", O_RDONLY), 0);
      ::dup2(out[1], 1);
      ::dup2(log, 2);
      for (int fd = 3; fd < 256; ++fd) ::close(fd);
      std::vector<char*> argv;
      for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    ::close(out[1]);
    const Micros until = now() + 10 * kSecond;
    ready.clear();
    while (ready.find('\n') == std::string::npos) {
      pollfd fd{out[0], POLLIN, 0};
      char buffer[1024];
      const ssize_t n = now() < until && ::poll(&fd, 1, 200) >= 0 && (fd.revents & (POLLIN | POLLHUP))
                            ? ::read(out[0], buffer, sizeof buffer)
                            : -1;
      if (n == 0 || now() >= until) cannot_run(arguments[0] + " did not start");
      if (n > 0) ready.append(buffer, static_cast<std::size_t>(n));
    }
    ::close(out[0]);
  }
  // Returns whether it has ended.
  bool ended() {
    if (pid < 0) return true;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }
  void kill_now() {
    if (pid < 0) return;
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
    pid = -1;
  }
};

struct Gateway {
  Process list;
  Process catalogue;
  std::vector<Process> nodes;
  Process head;
  Address address;  // of the head
  std::string folder;
  std::string settings;
  long unit_us = 500;  // of a node

  void write(const std::string& name, const std::string& text) const {
    FILE* file = std::fopen((folder + "/" + name).c_str(), "w");
    if (!file) cannot_run("cannot write " + name);
    std::fputs(text.c_str(), file);
    std::fclose(file);
  }
  // Sends one line to a control port and waits for the answer.
  static void control(long port, const std::string& line) {
    auto conn = connect_to({INADDR_LOOPBACK, static_cast<std::uint16_t>(port)});
    bool done = false;
    conn->on_bytes = [&](Conn& c) { done = c.in.find('\n') != std::string::npos; };
    conn->send(line + "\n");
    run_until(now() + 5 * kSecond, [&] { return done; });
    if (!done || conn->in.find("\"ok\":true") == std::string::npos) cannot_run("a stand-in did not take " + line);
    conn->close();
  }
  // `unit_bytes` and 16 units make the largest extent.
  void start(const std::string& where, int node_count, long unit_bytes) {
    folder = where;
    const std::string bin = "build-review-2/project/bin/";
    list.start({bin + "yewmount-list"}, folder + "/list.log");
    catalogue.start({bin + "yewmount-catalogue", "--folder", folder + "/catalogue"}, folder + "/catalogue.log");
    nodes.resize(static_cast<std::size_t>(node_count));
    for (int i = 0; i < node_count; ++i) {
      const std::string n = std::to_string(i);
      write("box-" + n + ".json", "{\"name\":\"box-" + n + "\",\"shard\":" + n +
                                      ",\"cores\":2,\"room\":64,\"unit_us\":" + std::to_string(unit_us) +
                                      ",\"store\":\"" + folder + "/shard-" + n +
                                      "\"}");
      nodes[i].start({bin + "yewmount-node", "--settings", folder + "/box-" + n + ".json"}, folder + "/box.log");
      control(list.number("control_port"),
              "{\"set\":[{\"name\":\"box-" + n + "\",\"port\":" + std::to_string(nodes[i].number("port")) +
                  ",\"shard\":" + n + ",\"start\":" + std::to_string(nodes[i].number("start")) +
                  ",\"state\":\"ready\",\"at_once\":true}]}");
    }
    settings =
        "{\"name\":\"head-0\",\"heads\":3,\"own_number\":0,\"seed\":7,\"listen\":{\"address\":\"127.0.0.1\",\"port\":0},"
        "\"list\":{\"address\":\"127.0.0.1\",\"port\":" +
        std::to_string(list.number("port")) + ",\"file\":\"" + folder +
        "/list.json\"},\"catalogue\":{\"address\":\"127.0.0.1\",\"port\":" + std::to_string(catalogue.number("port")) +
        ",\"keep_ms\":200,\"allow_ms\":100},\"unit_bytes\":" + std::to_string(unit_bytes) +
        ",\"groups\":["
        "{\"name\":\"shift-read\",\"latency_goal_ms\":300,\"hard_limit_ms\":2000,\"gain\":2,\"late_part\":0.2,"
        "\"repeat\":\"idempotent\"},"
        "{\"name\":\"signup-write\",\"latency_goal_ms\":600,\"hard_limit_ms\":3000,\"gain\":2,\"late_part\":0.2,"
        "\"repeat\":\"side-effecting\"},"
        "{\"name\":\"roster-export\",\"latency_goal_ms\":2000,\"hard_limit_ms\":6000,\"gain\":1,\"late_part\":0.25,"
        "\"repeat\":\"idempotent\"}],"
        "\"choose\":[{\"method\":\"PUT\",\"group\":\"signup-write\"},{\"method\":\"DELETE\",\"group\":\"signup-write\"},"
        "{\"method\":\"GET\",\"at_most_bytes\":65536,\"group\":\"shift-read\"},{\"group\":\"roster-export\"}],"
        "\"plans\":[{\"name\":\"association\",\"nominal\":600,\"reserve\":480,\"weight\":1,\"gain_factor\":0.9}],"
        "\"volumes\":[{\"name\":\"rosters\",\"plan\":\"association\",\"heads\":1}],"
        "\"nodes\":{\"usual_units\":4,\"most_units\":16,\"cold_bears\":64,\"share_gain\":0.35,\"beyond_gain\":0.08,"
        "\"tells_elsewhere\":true,\"sizes_told\":false},"
        "\"allowed\":{\"probes\":false,\"advice\":true,\"longest_advice_ms\":500,\"most_submits\":3},"
        "\"rules\":{\"answer_slack_ms\":50,\"cold_from\":0.2,\"fall_multiple\":4,\"warm_within_ms\":6000,"
        "\"overload_for_ms\":1500}}";
    write("head.json", settings);
    start_head();
  }
  void start_head() {
    head.start({"build/bin/yewmountd", "--settings", folder + "/head.json"}, folder + "/head.log");
    address = {INADDR_LOOPBACK, static_cast<std::uint16_t>(head.number("port"))};
    record("head: started");
    const Micros until = now() + 10 * kSecond;
    while (true) {
      const std::string health = request("GET /.yewmount/health HTTP/1.1\r\nHost: head\r\n\r\n", "", 2 * kSecond);
      const std::size_t at = health.find("\"list_version\":");
      if (health.find(" 200 ") != std::string::npos && at != std::string::npos &&
          std::atol(health.c_str() + at + 15) >= static_cast<long>(nodes.size()))
        break;
      if (now() > until) cannot_run("the head did not become healthy");
      run_until(now() + 50 * kMs);
    }
  }
  // Whether a response is whole.
  static bool is_whole(const std::string& response) {
    const std::size_t end = response.find("\r\n\r\n");
    const std::size_t at = response.find("Content-Length: ");
    if (end == std::string::npos || at == std::string::npos || at > end) return false;
    return response.size() >= end + 4 + static_cast<std::size_t>(std::atol(response.c_str() + at + 16));
  }
  // Sends one request on a connection of its own and returns what has come within `wait`.
  std::string request(const std::string& head_text, const std::string& body, Micros wait) {
    auto conn = connect_to(address);
    std::string response;
    bool closed = false;
    conn->on_bytes = [&](Conn& c) {
      response += c.in;
      c.in.clear();
    };
    conn->on_close = [&](Conn&) { closed = true; };
    conn->send(head_text + body);
    run_until(now() + wait, [&] { return closed || is_whole(response); });
    conn->close();
    return response;
  }
  void end() {
    head.kill_now();
    for (Process& node : nodes) node.kill_now();
    catalogue.kill_now();
    list.kill_now();
  }
};

}  // namespace kit
