// yewmount-list: a list service stand-in. It knows only whether processes run, tells it late, and fails on
// command. Commands come from its control door; it writes down what it told to whom.
#include <CLI/CLI.hpp>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>

#include "standins/lines.h"

namespace yewmount::standins {
namespace {

using nlohmann::json;

constexpr const char* kStates[] = {"gone", "ready", "draining"};

class List : public net::LinkHandler {
 public:
  List(asio::io_context& io, std::uint16_t port, std::uint16_t control, const std::string& record)
      : record_(record),
        listener_(io, "127.0.0.1", port,
                  [this](asio::ip::tcp::socket s) {
                    auto link = std::make_shared<net::Link>(std::move(s), *this);
                    link->number = ++last_;
                    clients_[link->number].link = link;
                    wire::encode(link->out(), wire::Hello{wire::Role::list, "list", -1, 1});
                    link->start();
                  }),
        control_(io, control, [this](const json& c) { obey(c); }) {}
  ~List() override {
    for (auto& [n, c] : clients_) c.link->close();
  }
  std::uint16_t port() const { return listener_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  std::int64_t next() const {
    return changes_.empty() ? monotonic_now() + 50'000
                            : std::min(changes_.front().at, monotonic_now() + 50'000);
  }

  void turn_over() {
    while (!changes_.empty() && changes_.front().at <= monotonic_now()) {
      const Change change = changes_.front();
      changes_.pop_front();
      ++version_;
      for (const auto& [name, entry] : change.entries) entries_[name] = {entry, version_, change.started};
      for (auto& [number, c] : clients_)
        if (c.watches) tell(c, wire::ListForm::delta, version_ - 1);
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
    record_.add({{"ev", "ask"}, {"head", client.head}, {"watch", ask.watch}, {"since", ask.since}});
    if (mute_) return;
    if (failing_) {
      wire::encode(link.out(), wire::List{wire::ListForm::failed, version_, {}});
      return;
    }
    client.watches |= ask.watch;
    const bool known = ask.since > 0 && ask.since <= version_;
    tell(client, known ? wire::ListForm::delta : wire::ListForm::full, known ? ask.since : 0);
  }
  void on_closed(net::Link& link, const std::string&) override { clients_.erase(link.number); }

 private:
  struct Client {
    std::shared_ptr<net::Link> link;
    std::string head = "?";
    bool watches = false;
  };
  struct Entry {
    wire::ListEntry entry;
    std::uint64_t version;
    std::int64_t started;  // monotonic; 0: long ago
  };
  struct Change {
    std::int64_t at, started;
    std::map<std::string, wire::ListEntry> entries;
  };

  void tell(Client& c, wire::ListForm form, std::uint64_t since) {
    if (mute_) return;
    wire::List list{form, version_, {}};
    nlohmann::ordered_json told = json::array();
    for (const auto& [name, e] : entries_) {
      if (e.version <= since) continue;
      if (form == wire::ListForm::full && e.entry.state == wire::NodeState::gone) continue;
      list.entries.push_back(e.entry);
      list.entries.back().uptime = e.started == 0 ? -1 : monotonic_now() - e.started;
      told.push_back(
          {{"node", name}, {"state", kStates[static_cast<int>(e.entry.state)]}, {"started", e.started}});
    }
    wire::encode(c.link->out(), list);
    record_.add({{"ev", "told"},
                 {"head", c.head},
                 {"form", form == wire::ListForm::full ? "full" : "delta"},
                 {"version", version_},
                 {"entries", told}});
  }

  void obey(const json& c) {
    if (c.contains("late_ms")) late_ = std::llround(c["late_ms"].get<double>() * 1000);
    if (c.contains("failing")) failing_ = c["failing"].get<bool>();
    if (c.contains("mute")) mute_ = c["mute"].get<bool>();
    if (c.contains("break") && c["break"].get<bool>()) {
      for (auto& [n, client] : clients_) client.link->close();
      clients_.clear();
    }
    if (!c.contains("set")) return;
    for (const json& e : c["set"]) {
      Change change{
          monotonic_now() + (e.value("at_once", false) ? 0 : late_), e.value("started", std::int64_t{0}), {}};
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
                     [](const Change& x, const Change& y) { return x.at < y.at; });
  }

  Record record_;
  std::map<int, Client> clients_;
  int last_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::string, Entry> entries_;
  std::deque<Change> changes_;
  std::int64_t late_ = 0;
  bool failing_ = false, mute_ = false;
  net::Listener listener_;
  Control control_;
};

}  // namespace
}  // namespace yewmount::standins

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-list: a list service stand-in"};
  std::string record;
  std::uint16_t port = 0, control = 0;
  app.add_option("--port", port);
  app.add_option("--control-port", control);
  app.add_option("--record", record, "JSON lines of what it told to whom");
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    standins::List list(io, port, control, record);
    standins::serve(
        io, list,
        {{"ready", true}, {"name", "list"}, {"port", list.port()}, {"control_port", list.control_port()}});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-list: " << e.what() << std::endl;
    return 2;
  }
}
