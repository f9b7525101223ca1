// yewmount-list: a stand-in for the list service. It announces the node states set through its control port,
// which say whether a process runs, not whether it is healthy; optionally with a delay. It fails on command
// and records every request and reply.
#include <CLI/CLI.hpp>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>

#include "standins/support.h"

namespace yewmount::standins {
namespace {

using nlohmann::json;

constexpr const char* kStates[] = {"gone", "ready", "draining"};

class ListServer : public net::LinkHandler {
 public:
  ListServer(asio::io_context& io, std::uint16_t port, std::uint16_t control_port, const std::string& record)
      : record_(record),
        listener_(io, "127.0.0.1", port,
                  [this](asio::ip::tcp::socket socket) {
                    auto link = std::make_shared<net::Link>(std::move(socket), *this);
                    link->number = ++last_connection_;
                    clients_[link->number].link = link;
                    wire::encode(link->out(), wire::Hello{wire::Role::list, "list", -1, 1});
                    link->start();
                  }),
        control_(io, control_port, [this](const json& command) { execute(command); }) {}
  ~ListServer() override {
    for (auto& [n, c] : clients_) c.link->close();
  }
  std::uint16_t port() const { return listener_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  std::int64_t next_deadline() const {
    return changes_.empty() ? monotonic_now() + 50'000
                            : std::min(changes_.front().due_at, monotonic_now() + 50'000);
  }

  void run_due_work() {
    while (!changes_.empty() && changes_.front().due_at <= monotonic_now()) {
      const Change change = changes_.front();
      changes_.pop_front();
      ++version_;
      for (const auto& [name, entry] : change.entries) entries_[name] = {entry, version_, change.started_at};
      for (auto& [number, c] : clients_)
        if (c.is_watching) send_list(c, wire::ListForm::delta, version_ - 1);
    }
    record_.flush();
    for (auto& [n, c] : clients_) c.link->flush();
  }

  void on_frame(net::Link& link, const wire::Frame& frame) override {
    Client& client = clients_.at(link.number);
    if (frame.type == wire::FrameType::hello) {
      wire::Hello hello;
      wire::decode(frame, hello);
      client.head = std::string(hello.name);
      return;
    }
    if (frame.type != wire::FrameType::list_request)
      throw wire::MalformedFrame("a list service takes no frame of this type");
    wire::ListRequest ask;
    wire::decode(frame, ask);
    record_.append({{"ev", "ask"}, {"head", client.head}, {"watch", ask.watch}, {"since", ask.since}});
    if (is_mute_) return;
    if (is_failing_) {
      wire::encode(link.out(), wire::List{wire::ListForm::failed, version_, {}});
      return;
    }
    client.is_watching |= ask.watch;
    const bool has_known_version = ask.since > 0 && ask.since <= version_;
    send_list(client, has_known_version ? wire::ListForm::delta : wire::ListForm::full,
              has_known_version ? ask.since : 0);
  }
  void on_closed(net::Link& link, const std::string&) override { clients_.erase(link.number); }

 private:
  struct Client {
    std::shared_ptr<net::Link> link;
    std::string head = "?";
    bool is_watching = false;
  };
  struct Entry {
    wire::ListEntry entry;
    std::uint64_t version;
    std::int64_t started_at;  // monotonic; 0: unknown, long ago
  };
  struct Change {
    std::int64_t due_at;
    std::int64_t started_at;
    std::map<std::string, wire::ListEntry> entries;
  };

  void send_list(Client& client, wire::ListForm form, std::uint64_t since) {
    if (is_mute_) return;
    wire::List list{form, version_, {}};
    nlohmann::ordered_json announced = json::array();
    for (const auto& [name, e] : entries_) {
      if (e.version <= since) continue;
      if (form == wire::ListForm::full && e.entry.state == wire::NodeState::gone) continue;
      list.entries.push_back(e.entry);
      list.entries.back().uptime = e.started_at == 0 ? -1 : monotonic_now() - e.started_at;
      announced.push_back(
          {{"node", name}, {"state", kStates[static_cast<int>(e.entry.state)]}, {"started", e.started_at}});
    }
    wire::encode(client.link->out(), list);
    record_.append({{"ev", "told"},
                    {"head", client.head},
                    {"form", form == wire::ListForm::full ? "full" : "delta"},
                    {"version", version_},
                    {"entries", announced}});
  }

  void execute(const json& command) {
    if (command.contains("late_ms")) delay_us_ = std::llround(command["late_ms"].get<double>() * 1000);
    if (command.contains("failing")) is_failing_ = command["failing"].get<bool>();
    if (command.contains("mute")) is_mute_ = command["mute"].get<bool>();
    if (command.contains("break") && command["break"].get<bool>()) {
      for (auto& [n, client] : clients_) client.link->close();
      clients_.clear();
    }
    if (!command.contains("set")) return;
    for (const json& e : command["set"]) {
      Change change{monotonic_now() + (e.value("at_once", false) ? 0 : delay_us_),
                    e.value("started", std::int64_t{0}),
                    {}};
      wire::ListEntry entry;
      entry.name = e.at("name").get<std::string>();
      entry.address = e.value("address", "127.0.0.1");
      entry.zone = e.value("zone", "");
      entry.port = e.at("port").get<int>();
      entry.shard = e.at("shard").get<int>();
      entry.share = e.value("share", 1.0);
      entry.incarnation = e.value("start", std::uint64_t{0});
      const std::string state = e.value("state", "ready");
      for (int s = 0; s < 3; ++s)
        if (state == kStates[s]) entry.state = static_cast<wire::NodeState>(s);
      change.entries[entry.name] = entry;
      changes_.push_back(change);
    }
    std::stable_sort(changes_.begin(), changes_.end(),
                     [](const Change& x, const Change& y) { return x.due_at < y.due_at; });
  }

  RecordWriter record_;
  std::map<int, Client> clients_;
  int last_connection_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, Entry> entries_;
  std::deque<Change> changes_;
  std::int64_t delay_us_ = 0;
  bool is_failing_ = false;
  bool is_mute_ = false;
  net::Listener listener_;
  ControlServer control_;
};

}  // namespace
}  // namespace yewmount::standins

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-list: a list service stand-in"};
  std::string record;
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  app.add_option("--port", port);
  app.add_option("--control-port", control_port);
  app.add_option("--record", record, "file of JSON lines to record requests and replies in");
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    standins::ListServer list(io, port, control_port, record);
    standins::run_event_loop(
        io, list,
        {{"ready", true}, {"name", "list"}, {"port", list.port()}, {"control_port", list.control_port()}});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-list: " << e.what() << std::endl;
    return 2;
  }
}
