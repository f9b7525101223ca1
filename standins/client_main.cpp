// yewmount-client: scripted open-loop clients. Arrivals are drawn ahead from the script and never wait for
// answers; what was sent, what came back and when is written down.
#include <http_parser.h>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <random>

#include "settings/json_schema.h"
#include "standins/lines.h"

namespace yewmount::standins {
namespace {

using asio::awaitable;
using asio::use_awaitable;
using nlohmann::json;
using Socket = asio::ip::tcp::socket;
using namespace asio::experimental::awaitable_operators;

struct Mix {
  std::string method;
  double weight = 1;
  int least = 1, most = 1;  // bytes
  std::int64_t patience = 0;
  int retries = 0;
  std::int64_t wait = 0;  // before a retry; 0: at once, or as advised
  double leave = 0;       // part of the clients that hang up early
  double slow = 0;        // part that stop mid-upload and hang up
};

struct Surge {
  std::int64_t from, to;
  double factor;
};

struct Volume {
  std::string name;
  std::vector<int> heads;
  double rate = 1;
  std::vector<Mix> mix;
  std::vector<Surge> surges;
  std::vector<std::int64_t> lead_changes;  // when the head used most passes to the next of its set
  std::vector<std::string> objects;        // that stand, by 201 answers
  int one_key = 0;                         // >0: writes go to so many keys only
};

struct Reply {
  bool extra = false, whole = false, connected = true, handed = false;
  int status = 0;
  std::string answer, bio, may, body;
  std::int64_t advice = -1;
};

struct HeadAt {
  std::string name;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<Socket>> idle;
};

std::string content(const std::string& name, std::size_t bytes) {
  std::string all;
  all.reserve(bytes);
  std::uint64_t h = 1469598103934665603ULL;
  for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  while (all.size() < bytes) {
    h ^= h << 13, h ^= h >> 7, h ^= h << 17;
    all += static_cast<char>('a' + h % 26);
  }
  return all;
}

// Just enough of a client: one answer, its headers that matter, its body.
class Reader {
 public:
  Reader() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = of(p);
      if (r.in_value_) r.header();
      r.in_value_ = false;
      r.name_.append(at, n);
      return 0;
    };
    settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      of(p).in_value_ = true;
      of(p).value_.append(at, n);
      return 0;
    };
    settings_.on_headers_complete = [](http_parser* p) {
      auto& r = of(p);
      if (r.in_value_) r.header();
      r.reply.status = static_cast<int>(p->status_code);
      return r.no_body ? 1 : 0;
    };
    settings_.on_body = [](http_parser* p, const char* at, std::size_t n) {
      of(p).reply.body.append(at, n);
      return 0;
    };
    settings_.on_message_complete = [](http_parser* p) {
      of(p).reply.extra |= of(p).reply.whole;
      of(p).reply.whole = true;
      of(p).keep = http_should_keep_alive(p) != 0;
      return 0;
    };
  }
  bool feed(const char* at, std::size_t n) {
    http_parser_execute(&parser_, &settings_, at, n);
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
  }
  Reply reply;
  bool keep = false, no_body = false;

 private:
  static Reader& of(http_parser* p) { return *static_cast<Reader*>(p->data); }
  void header() {
    for (char& c : name_) c = static_cast<char>(std::tolower(c));
    if (name_ == "yewmount-answer") reply.answer = value_;
    if (name_ == "yewmount-bio") reply.bio = value_;
    if (name_ == "yewmount-may-have-run") reply.may = value_;
    if (name_ == "yewmount-retry-after-ms") reply.advice = std::atoll(value_.c_str());
    name_.clear(), value_.clear();
  }
  http_parser parser_;
  http_parser_settings settings_;
  std::string name_, value_;
  bool in_value_ = false;
};

class Clients {
 public:
  Clients(asio::io_context& io, const json& script, const std::string& record)
      : io_(io), record_(record), random_(script.at("seed").get<unsigned>()) {
    until_ = std::llround(script.at("length_ms").get<double>() * 1000);
    slack_ = std::llround(script.value("slack_ms", 300.0) * 1000);
    name_ = script.at("name").get<std::string>();
    for (const json& h : script.at("heads"))
      heads_.push_back({h.at("name").get<std::string>(), h.at("port").get<std::uint16_t>(), {}});
    preload_ = script.value("preload", 4);
    const auto us = [](const json& j, const char* key, double otherwise) {
      return std::llround(j.value(key, otherwise) * 1000);
    };
    for (const json& v : script.at("volumes")) {
      Volume volume;
      volume.name = v.at("name").get<std::string>();
      volume.heads = v.at("heads").get<std::vector<int>>();
      volume.rate = v.at("rate").get<double>();
      volume.one_key = v.value("keys", 0);
      for (const json& m : v.at("mix")) {
        Mix mix;
        mix.method = m.at("method").get<std::string>();
        mix.weight = m.value("weight", 1.0);
        mix.least = m.value("least_bytes", 1);
        mix.most = m.value("most_bytes", mix.least);
        mix.patience = us(m, "patience_ms", 2000);
        mix.retries = m.value("retries", 0);
        mix.wait = us(m, "wait_ms", 0);
        mix.leave = m.value("leave", 0.0);
        mix.slow = m.value("hang_up_mid_upload", 0.0);
        volume.mix.push_back(mix);
      }
      for (const json& s : v.value("surges", json::array()))
        volume.surges.push_back({us(s, "from_ms", 0), us(s, "to_ms", 0), s.value("factor", 2.0)});
      for (const json& at : v.value("lead_changes_ms", json::array()))
        volume.lead_changes.push_back(std::llround(at.get<double>() * 1000));
      volumes_.push_back(std::move(volume));
    }
  }

  void run() {
    for (std::size_t v = 0; v < volumes_.size(); ++v)
      for (int i = 0; i < preload_; ++i) asio::co_spawn(io_, prepare(v, i), asio::detached);
    io_.run();
    io_.restart();
    begin_ = monotonic_now();
    record_.add({{"ev", "begin"}, {"client", name_}});
    record_.flush();
    std::cout << json{{"began", begin_}}.dump() << std::endl;
    for (std::size_t v = 0; v < volumes_.size(); ++v) asio::co_spawn(io_, arrivals(v), asio::detached);
    asio::co_spawn(io_, flushing(), asio::detached);
    io_.run();
    record_.add({{"ev", "end"}, {"client", name_}, {"longest_lag_us", longest_lag_}});
    record_.flush();
  }

 private:
  double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  awaitable<void> sleep_until(std::int64_t at) {
    asio::steady_timer timer(io_);
    timer.expires_at(asio::steady_timer::time_point(std::chrono::microseconds(at)));
    co_await timer.async_wait(use_awaitable);
  }

  awaitable<void> flushing() {
    while (monotonic_now() < begin_ + until_ + 8'000'000 &&
           (open_ > 0 || monotonic_now() < begin_ + until_)) {
      record_.flush();
      co_await sleep_until(monotonic_now() + 20'000);
    }
  }

  // Objects that reads find from the start on; tried until they stand.
  awaitable<void> prepare(std::size_t v, int i) {
    Volume& volume = volumes_[v];
    const std::string object = "pre-" + name_ + '-' + std::to_string(i);
    const int bytes = volume.mix.front().most;
    for (int again = 0; again < 40; ++again) {
      co_await sleep_until(monotonic_now() + 1000 + random_() % 100'000);
      const Reply r = co_await exchange(volume.heads[i % volume.heads.size()], "PUT", volume.name, object,
                                        bytes, 5'000'000, 0, false);
      if (r.whole && r.status == 201) {
        record_.add({{"ev", "stands"},
                     {"client", name_},
                     {"volume", volume.name},
                     {"object", object},
                     {"bytes", bytes}});
        volume.objects.push_back(object);
        sizes_[volume.name + '/' + object] = bytes;
        co_return;
      }
    }
  }

  awaitable<void> arrivals(std::size_t v) {
    std::int64_t at = begin_;
    while (true) {
      Volume& volume = volumes_[v];
      double rate = volume.rate;
      for (const Surge& s : volume.surges)
        if (at - begin_ >= s.from && at - begin_ < s.to) rate *= s.factor;
      at += std::llround(std::exponential_distribution<>(rate / 1e6)(random_));
      if (at >= begin_ + until_) co_return;
      co_await sleep_until(at);
      longest_lag_ = std::max(longest_lag_, monotonic_now() - at);
      asio::co_spawn(io_, operation(v, at), asio::detached);
    }
  }

  awaitable<void> operation(std::size_t v, std::int64_t intended) {
    ++open_;
    const std::uint64_t op = ++ops_;
    Volume& volume = volumes_[v];
    double all = 0;
    for (const Mix& m : volume.mix) all += m.weight;
    double pick = draw() * all;
    std::size_t which = 0;
    while (which + 1 < volume.mix.size() && pick >= volume.mix[which].weight)
      pick -= volume.mix[which++].weight;
    const Mix mix = volume.mix[which];
    std::string object;
    int bytes = mix.least + static_cast<int>(draw() * (mix.most - mix.least + 1));
    if (mix.method == "PUT") {
      object = volume.one_key > 0 ? "key-" + std::to_string(random_() % volume.one_key)
                                  : name_ + '-' + std::to_string(op);
    } else {
      if (volume.objects.empty()) {
        --open_;
        co_return;
      }
      // What was written last is read most, as fresh rosters are.
      const std::size_t n = volume.objects.size();
      object = draw() < 0.4 ? volume.objects[n - 1 - random_() % std::min<std::size_t>(n, 8)]
                            : volume.objects[random_() % n];
      if (mix.method == "DELETE") std::erase(volume.objects, object);
    }
    const std::string key = volume.name + '/' + object;
    std::size_t chosen = 0;
    for (int no = 0; no <= mix.retries; ++no) {
      const auto lead =
          static_cast<std::size_t>(std::count_if(volume.lead_changes.begin(), volume.lead_changes.end(),
                                                 [&](std::int64_t at) { return intended - begin_ >= at; }));
      // Its heads are used unevenly; a further try comes to the same one.
      if (no == 0)
        chosen =
            (static_cast<std::size_t>(draw() * draw() * static_cast<double>(volume.heads.size())) + lead) %
            volume.heads.size();
      const int head = volume.heads[chosen];
      const bool leaves = draw() < mix.leave, mid = mix.method == "PUT" && draw() < mix.slow;
      record_.add({{"ev", "sent"},
                   {"client", name_},
                   {"op", op},
                   {"try", no},
                   {"head", heads_[head].name},
                   {"method", mix.method},
                   {"volume", volume.name},
                   {"object", object},
                   {"bytes", bytes},
                   {"intended", no == 0 ? intended : monotonic_now()},
                   {"patience", mix.patience}});
      const std::int64_t leave_at = leaves ? 1 + static_cast<std::int64_t>(draw() * 100'000) : 0;
      const Reply r =
          co_await exchange(head, mix.method, volume.name, object, bytes, mix.patience, leave_at, mid);
      const char* ev = leaves && !r.whole ? "left"
                       : mid              ? "left"
                       : r.whole          ? "answer"
                       : !r.connected     ? "refused"
                       : r.handed         ? "silent"
                                          : "broken";
      nlohmann::ordered_json line = {
          {"ev", ev},  {"client", name_},           {"op", op},
          {"try", no}, {"head", heads_[head].name}, {"lag", monotonic_now() - intended}};
      if (r.whole) {
        line["status"] = r.status;
        if (r.extra) line["extra"] = true;
        line["answer"] = r.answer;
        if (!r.bio.empty()) line["bio"] = r.bio;
        if (!r.may.empty()) line["may_have_run"] = r.may;
        if (r.status == 200 && mix.method == "GET") {
          const auto size = sizes_.find(key);
          line["wrong"] = volume.one_key == 0 && size != sizes_.end() &&
                          r.body != content(object, static_cast<std::size_t>(size->second));
        }
      }
      record_.add(line);
      if (r.whole && mix.method == "PUT" && (r.status == 201 || r.status == 204)) {
        record_.add({{"ev", "stands"},
                     {"client", name_},
                     {"volume", volume.name},
                     {"object", object},
                     {"bytes", bytes}});
        if (r.status == 201) volume.objects.push_back(object);
        sizes_[key] = bytes;
      }
      // A shed, or a head that could not be reached, makes a retry harmless; a failure only for reads.
      const bool harmless =
          (r.whole && (r.answer == "shed" || (r.answer == "not-taken" && r.status == 503))) || !r.connected ||
          (mix.method == "GET" && (!r.whole || r.answer == "failed"));
      if (!harmless || leaves || mid) break;
      if (mix.wait > 0) co_await sleep_until(monotonic_now() + mix.wait);
    }
    --open_;
  }

  // One exchange: ends with the whole answer, a broken connection, the client's leaving, or its patience.
  awaitable<Reply> exchange(int head, std::string method, std::string volume, std::string object, int bytes,
                            std::int64_t patience, std::int64_t leave_after, bool mid) {
    Reply failed;
    const std::int64_t until = monotonic_now() + (leave_after > 0 ? leave_after : patience + slack_);
    std::unique_ptr<Socket> socket;
    while (!socket && !heads_[head].idle.empty()) {
      socket = std::move(heads_[head].idle.back());
      heads_[head].idle.pop_back();
      char byte;  // a connection that the head has closed meanwhile is not used
      if (::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN)
        socket.reset();
    }
    auto reader = std::make_unique<Reader>();
    reader->no_body = method == "HEAD";
    asio::steady_timer timer(io_);
    timer.expires_at(asio::steady_timer::time_point(std::chrono::microseconds(until)));
    bool handed = false, connected = socket != nullptr;
    auto work = [&]() -> awaitable<void> {
      try {
        if (!socket) {
          socket = std::make_unique<Socket>(io_);
          co_await socket->async_connect({asio::ip::make_address("127.0.0.1"), heads_[head].port},
                                         use_awaitable);
          socket->set_option(asio::ip::tcp::no_delay(true));
          connected = true;
        }
        std::string out = method + " /" + volume + '/' + object +
                          " HTTP/1.1\r\nHost: head\r\nYewmount-Patience-Ms: " +
                          std::to_string(std::max<std::int64_t>(1, patience / 1000)) + "\r\n";
        if (method == "PUT") {
          out += "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
          const std::string body = content(object, static_cast<std::size_t>(bytes));
          out += mid ? body.substr(0, body.size() / 2) : body;
        } else {
          out += "\r\n";
        }
        co_await asio::async_write(*socket, asio::buffer(out), use_awaitable);
        handed = true;
        if (mid) co_return;
        std::array<char, 16384> part;
        while (!reader->reply.whole) {
          const std::size_t n = co_await socket->async_read_some(asio::buffer(part), use_awaitable);
          if (!reader->feed(part.data(), n)) co_return;
        }
      } catch (const std::system_error&) {
      }
    };
    try {
      co_await (work() || timer.async_wait(use_awaitable));
    } catch (const std::exception&) {
    }
    const bool in_time = monotonic_now() < until;
    Reply r = std::move(reader->reply);
    r.connected = connected;
    // Broken before an answer, or nothing until the time was over: told apart, for only one is the head's
    // doing.
    r.handed = !r.whole && !in_time;
    if (r.whole && reader->keep) heads_[head].idle.push_back(std::move(socket));
    static_cast<void>(handed);
    co_return r;
  }

  asio::io_context& io_;
  Record record_;
  std::mt19937 random_;
  std::string name_;
  std::vector<HeadAt> heads_;
  std::vector<Volume> volumes_;
  std::map<std::string, int> sizes_;
  std::int64_t begin_ = 0, until_ = 0, slack_ = 0, longest_lag_ = 0;
  std::uint64_t ops_ = 0;
  int open_ = 0, preload_ = 0;
};

}  // namespace
}  // namespace yewmount::standins

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-client: scripted open-loop clients"};
  std::string script, record;
  app.add_option("--script", script, "JSON script (schema/client.json)")->required();
  app.add_option("--record", record, "JSON lines of what was sent and came back")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    standins::Clients clients(io, settings::load(script, "client"), record);
    clients.run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-client: " << e.what() << std::endl;
    return 2;
  }
}
