// yewmount-client: scripted open-loop HTTP clients. Arrival times follow the script and never depend on the
// answers. Records every request, its outcome and its latency.
#include <http_parser.h>

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <random>

#include "settings/json_schema.h"
#include "standins/support.h"

namespace yewmount::standins {
namespace {

using asio::awaitable;
using asio::use_awaitable;
using nlohmann::json;
using Socket = asio::ip::tcp::socket;
using namespace asio::experimental::awaitable_operators;

// One kind of request in the mix of a volume. Times are microseconds.
struct RequestKind {
  std::string method;
  double weight = 1;
  int min_bytes = 1;
  int max_bytes = 1;
  std::int64_t patience = 0;  // how long the client waits for an answer
  int max_retries = 0;
  std::int64_t retry_delay = 0;           // 0: retries at once
  double hang_up_probability = 0;         // of closing the connection before the answer
  double partial_upload_probability = 0;  // of closing the connection in the middle of the upload
};

// A period in which the request rate is multiplied by a factor.
struct Surge {
  std::int64_t from;
  std::int64_t to;
  double factor;
};

struct Volume {
  std::string name;
  std::vector<int> heads;
  double rate = 1;
  std::vector<RequestKind> mix;
  std::vector<Surge> surges;
  std::vector<std::int64_t> lead_changes;  // when the next head of the list becomes the most used one
  std::vector<std::string> objects;        // created according to 201 answers
  int key_count = 0;                       // >0: writes use only this many keys
};

struct Reply {
  bool has_extra = false;  // a second answer followed on the same connection
  bool is_complete = false;
  bool is_connected = true;
  bool has_timed_out = false;
  int status = 0;
  std::string answer;
  std::string bio;
  std::string may_have_run;
  std::string body;
  std::int64_t retry_after_ms = -1;
};

struct HeadEndpoint {
  std::string name;
  std::uint16_t port = 0;
  std::vector<std::unique_ptr<Socket>> idle_connections;
};

// Returns reproducible content for an object, derived from its name.
std::string make_content(const std::string& name, std::size_t bytes) {
  std::string content;
  content.reserve(bytes);
  std::uint64_t hash = 1469598103934665603ULL;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  while (content.size() < bytes) {
    hash ^= hash << 13;
    hash ^= hash >> 7;
    hash ^= hash << 17;
    content += static_cast<char>('a' + hash % 26);
  }
  return content;
}

// Parses one HTTP response with the headers that the records need.
class ResponseReader {
 public:
  ResponseReader() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      auto& r = of(p);
      if (r.is_in_value_) r.finish_header();
      r.is_in_value_ = false;
      r.name_.append(at, n);
      return 0;
    };
    settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      of(p).is_in_value_ = true;
      of(p).value_.append(at, n);
      return 0;
    };
    settings_.on_headers_complete = [](http_parser* p) {
      auto& r = of(p);
      if (r.is_in_value_) r.finish_header();
      r.reply.status = static_cast<int>(p->status_code);
      return r.has_no_body ? 1 : 0;
    };
    settings_.on_body = [](http_parser* p, const char* at, std::size_t n) {
      of(p).reply.body.append(at, n);
      return 0;
    };
    settings_.on_message_complete = [](http_parser* p) {
      of(p).reply.has_extra |= of(p).reply.is_complete;
      of(p).reply.is_complete = true;
      of(p).is_keep_alive = http_should_keep_alive(p) != 0;
      return 0;
    };
  }
  // Returns false on a parse error.
  bool feed(const char* at, std::size_t n) {
    http_parser_execute(&parser_, &settings_, at, n);
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
  }
  Reply reply;
  bool is_keep_alive = false;
  bool has_no_body = false;

 private:
  static ResponseReader& of(http_parser* p) { return *static_cast<ResponseReader*>(p->data); }
  void finish_header() {
    for (char& c : name_) c = static_cast<char>(std::tolower(c));
    if (name_ == "yewmount-answer") reply.answer = value_;
    if (name_ == "yewmount-bio") reply.bio = value_;
    if (name_ == "yewmount-may-have-run") reply.may_have_run = value_;
    if (name_ == "yewmount-retry-after-ms") reply.retry_after_ms = std::atoll(value_.c_str());
    name_.clear();
    value_.clear();
  }
  http_parser parser_;
  http_parser_settings settings_;
  std::string name_;
  std::string value_;
  bool is_in_value_ = false;
};

class ClientRunner {
 public:
  ClientRunner(asio::io_context& io, const json& script, const std::string& record)
      : io_(io), record_(record), random_(script.at("seed").get<unsigned>()) {
    length_ = std::llround(script.at("length_ms").get<double>() * 1000);
    slack_ = std::llround(script.value("slack_ms", 300.0) * 1000);
    name_ = script.at("name").get<std::string>();
    for (const json& h : script.at("heads"))
      heads_.push_back({h.at("name").get<std::string>(), h.at("port").get<std::uint16_t>(), {}});
    preload_count_ = script.value("preload", 4);
    const auto us = [](const json& j, const char* key, double otherwise) {
      return std::llround(j.value(key, otherwise) * 1000);
    };
    for (const json& v : script.at("volumes")) {
      Volume volume;
      volume.name = v.at("name").get<std::string>();
      volume.heads = v.at("heads").get<std::vector<int>>();
      volume.rate = v.at("rate").get<double>();
      volume.key_count = v.value("keys", 0);
      for (const json& m : v.at("mix")) {
        RequestKind kind;
        kind.method = m.at("method").get<std::string>();
        kind.weight = m.value("weight", 1.0);
        kind.min_bytes = m.value("least_bytes", 1);
        kind.max_bytes = m.value("most_bytes", kind.min_bytes);
        kind.patience = us(m, "patience_ms", 2000);
        kind.max_retries = m.value("retries", 0);
        kind.retry_delay = us(m, "wait_ms", 0);
        kind.hang_up_probability = m.value("leave", 0.0);
        kind.partial_upload_probability = m.value("hang_up_mid_upload", 0.0);
        volume.mix.push_back(kind);
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
      for (int i = 0; i < preload_count_; ++i) asio::co_spawn(io_, create_object(v, i), asio::detached);
    io_.run();
    io_.restart();
    begin_ = monotonic_now();
    record_.append({{"ev", "begin"}, {"client", name_}});
    record_.flush();
    std::cout << json{{"began", begin_}}.dump() << std::endl;
    for (std::size_t v = 0; v < volumes_.size(); ++v)
      asio::co_spawn(io_, generate_arrivals(v), asio::detached);
    asio::co_spawn(io_, flush_periodically(), asio::detached);
    io_.run();
    record_.append({{"ev", "end"}, {"client", name_}, {"longest_lag_us", longest_lag_}});
    record_.flush();
  }

 private:
  double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }
  awaitable<void> sleep_until(std::int64_t at) {
    asio::steady_timer timer(io_);
    timer.expires_at(asio::steady_timer::time_point(std::chrono::microseconds(at)));
    co_await timer.async_wait(use_awaitable);
  }

  awaitable<void> flush_periodically() {
    while (monotonic_now() < begin_ + length_ + 8'000'000 &&
           (open_operations_ > 0 || monotonic_now() < begin_ + length_)) {
      record_.flush();
      co_await sleep_until(monotonic_now() + 20'000);
    }
  }

  // Creates an object for reads to find from the start, retrying until it succeeds.
  awaitable<void> create_object(std::size_t v, int i) {
    Volume& volume = volumes_[v];
    const std::string object = "pre-" + name_ + '-' + std::to_string(i);
    const int bytes = volume.mix.front().max_bytes;
    for (int attempt = 0; attempt < 40; ++attempt) {
      co_await sleep_until(monotonic_now() + 1000 + random_() % 100'000);
      const Reply r = co_await exchange(volume.heads[i % volume.heads.size()], "PUT", volume.name, object,
                                        bytes, 5'000'000, 0, false);
      if (r.is_complete && r.status == 201) {
        record_.append({{"ev", "stands"},
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

  awaitable<void> generate_arrivals(std::size_t v) {
    std::int64_t at = begin_;
    while (true) {
      Volume& volume = volumes_[v];
      double rate = volume.rate;
      for (const Surge& s : volume.surges)
        if (at - begin_ >= s.from && at - begin_ < s.to) rate *= s.factor;
      at += std::llround(std::exponential_distribution<>(rate / 1e6)(random_));
      if (at >= begin_ + length_) co_return;
      co_await sleep_until(at);
      longest_lag_ = std::max(longest_lag_, monotonic_now() - at);
      asio::co_spawn(io_, run_operation(v, at), asio::detached);
    }
  }

  awaitable<void> run_operation(std::size_t v, std::int64_t intended) {
    ++open_operations_;
    const std::uint64_t op = ++last_operation_;
    Volume& volume = volumes_[v];
    double total_weight = 0;
    for (const RequestKind& k : volume.mix) total_weight += k.weight;
    double pick = random_fraction() * total_weight;
    std::size_t which = 0;
    while (which + 1 < volume.mix.size() && pick >= volume.mix[which].weight)
      pick -= volume.mix[which++].weight;
    const RequestKind kind = volume.mix[which];
    std::string object;
    int bytes = kind.min_bytes + static_cast<int>(random_fraction() * (kind.max_bytes - kind.min_bytes + 1));
    if (kind.method == "PUT") {
      object = volume.key_count > 0 ? "key-" + std::to_string(random_() % volume.key_count)
                                    : name_ + '-' + std::to_string(op);
    } else {
      if (volume.objects.empty()) {
        --open_operations_;
        co_return;
      }
      // Recently written objects are read most often.
      const std::size_t n = volume.objects.size();
      object = random_fraction() < 0.4 ? volume.objects[n - 1 - random_() % std::min<std::size_t>(n, 8)]
                                       : volume.objects[random_() % n];
      if (kind.method == "DELETE") std::erase(volume.objects, object);
    }
    const std::string key = volume.name + '/' + object;
    std::size_t chosen = 0;
    for (int attempt = 0; attempt <= kind.max_retries; ++attempt) {
      const auto lead =
          static_cast<std::size_t>(std::count_if(volume.lead_changes.begin(), volume.lead_changes.end(),
                                                 [&](std::int64_t at) { return intended - begin_ >= at; }));
      // Heads are chosen unevenly, the leading one most often. A retry goes to the same head.
      if (attempt == 0)
        chosen = (static_cast<std::size_t>(random_fraction() * random_fraction() *
                                           static_cast<double>(volume.heads.size())) +
                  lead) %
                 volume.heads.size();
      const int head = volume.heads[chosen];
      const bool hangs_up = random_fraction() < kind.hang_up_probability;
      const bool is_partial_upload =
          kind.method == "PUT" && random_fraction() < kind.partial_upload_probability;
      record_.append({{"ev", "sent"},
                      {"client", name_},
                      {"op", op},
                      {"try", attempt},
                      {"head", heads_[head].name},
                      {"method", kind.method},
                      {"volume", volume.name},
                      {"object", object},
                      {"bytes", bytes},
                      {"intended", attempt == 0 ? intended : monotonic_now()},
                      {"patience", kind.patience}});
      const std::int64_t hang_up_after =
          hangs_up ? 1 + static_cast<std::int64_t>(random_fraction() * 100'000) : 0;
      const Reply r = co_await exchange(head, kind.method, volume.name, object, bytes, kind.patience,
                                        hang_up_after, is_partial_upload);
      const char* ev = hangs_up && !r.is_complete ? "left"
                       : is_partial_upload        ? "left"
                       : r.is_complete            ? "answer"
                       : !r.is_connected          ? "refused"
                       : r.has_timed_out          ? "silent"
                                                  : "broken";
      nlohmann::ordered_json line = {
          {"ev", ev},       {"client", name_},           {"op", op},
          {"try", attempt}, {"head", heads_[head].name}, {"lag", monotonic_now() - intended}};
      if (r.is_complete) {
        line["status"] = r.status;
        if (r.has_extra) line["extra"] = true;
        line["answer"] = r.answer;
        if (!r.bio.empty()) line["bio"] = r.bio;
        if (!r.may_have_run.empty()) line["may_have_run"] = r.may_have_run;
        if (r.status == 200 && kind.method == "GET") {
          const auto size = sizes_.find(key);
          line["wrong"] = volume.key_count == 0 && size != sizes_.end() &&
                          r.body != make_content(object, static_cast<std::size_t>(size->second));
        }
      }
      record_.append(line);
      if (r.is_complete && kind.method == "PUT" && (r.status == 201 || r.status == 204)) {
        record_.append({{"ev", "stands"},
                        {"client", name_},
                        {"volume", volume.name},
                        {"object", object},
                        {"bytes", bytes}});
        if (r.status == 201) volume.objects.push_back(object);
        sizes_[key] = bytes;
      }
      // After a shed or a failed connect any request may be retried; after a failure only a read.
      const bool may_retry =
          (r.is_complete && (r.answer == "shed" || (r.answer == "not-taken" && r.status == 503))) ||
          !r.is_connected || (kind.method == "GET" && (!r.is_complete || r.answer == "failed"));
      if (!may_retry || hangs_up || is_partial_upload) break;
      if (kind.retry_delay > 0) co_await sleep_until(monotonic_now() + kind.retry_delay);
    }
    --open_operations_;
  }

  // Sends one request. Ends with the complete answer, a broken connection, or a timeout: when the client
  // hangs up early, or its patience and the slack have passed.
  awaitable<Reply> exchange(int head, std::string method, std::string volume, std::string object, int bytes,
                            std::int64_t patience, std::int64_t hang_up_after, bool is_partial_upload) {
    Reply failed;
    const std::int64_t deadline = monotonic_now() + (hang_up_after > 0 ? hang_up_after : patience + slack_);
    std::unique_ptr<Socket> socket;
    while (!socket && !heads_[head].idle_connections.empty()) {
      socket = std::move(heads_[head].idle_connections.back());
      heads_[head].idle_connections.pop_back();
      char byte;  // a connection that the head has closed is discarded
      if (::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN)
        socket.reset();
    }
    auto reader = std::make_unique<ResponseReader>();
    reader->has_no_body = method == "HEAD";
    asio::steady_timer timer(io_);
    timer.expires_at(asio::steady_timer::time_point(std::chrono::microseconds(deadline)));
    bool is_sent = false;
    bool is_connected = socket != nullptr;
    auto send_and_receive = [&]() -> awaitable<void> {
      try {
        if (!socket) {
          socket = std::make_unique<Socket>(io_);
          co_await socket->async_connect({asio::ip::make_address("127.0.0.1"), heads_[head].port},
                                         use_awaitable);
          socket->set_option(asio::ip::tcp::no_delay(true));
          is_connected = true;
        }
        std::string out = method + " /" + volume + '/' + object +
                          " HTTP/1.1\r\nHost: head\r\nYewmount-Patience-Ms: " +
                          std::to_string(std::max<std::int64_t>(1, patience / 1000)) + "\r\n";
        if (method == "PUT") {
          out += "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
          const std::string body = make_content(object, static_cast<std::size_t>(bytes));
          out += is_partial_upload ? body.substr(0, body.size() / 2) : body;
        } else {
          out += "\r\n";
        }
        co_await asio::async_write(*socket, asio::buffer(out), use_awaitable);
        is_sent = true;
        if (is_partial_upload) co_return;
        std::array<char, 16384> buffer;
        while (!reader->reply.is_complete) {
          const std::size_t n = co_await socket->async_read_some(asio::buffer(buffer), use_awaitable);
          if (!reader->feed(buffer.data(), n)) co_return;
        }
      } catch (const std::system_error&) {
      }
    };
    try {
      co_await (send_and_receive() || timer.async_wait(use_awaitable));
    } catch (const std::exception&) {
    }
    const bool in_time = monotonic_now() < deadline;
    Reply r = std::move(reader->reply);
    r.is_connected = is_connected;
    // A timeout is told apart from a connection closed before the answer, because only the latter is caused
    // by the head.
    r.has_timed_out = !r.is_complete && !in_time;
    if (r.is_complete && reader->is_keep_alive) heads_[head].idle_connections.push_back(std::move(socket));
    static_cast<void>(is_sent);
    co_return r;
  }

  asio::io_context& io_;
  RecordWriter record_;
  std::mt19937 random_;
  std::string name_;
  std::vector<HeadEndpoint> heads_;
  std::vector<Volume> volumes_;
  std::map<std::string, int> sizes_;
  std::int64_t begin_ = 0;
  std::int64_t length_ = 0;
  std::int64_t slack_ = 0;        // added to the patience before a missing answer is recorded
  std::int64_t longest_lag_ = 0;  // of an arrival behind its scheduled time
  std::uint64_t last_operation_ = 0;
  int open_operations_ = 0;
  int preload_count_ = 0;
};

}  // namespace
}  // namespace yewmount::standins

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-client: scripted open-loop clients"};
  std::string script;
  std::string record;
  app.add_option("--script", script, "JSON script (schema/client.json)")->required();
  app.add_option("--record", record, "file of JSON lines to record requests and answers in")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    standins::ClientRunner clients(io, settings::load(script, "client"), record);
    clients.run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-client: " << e.what() << std::endl;
    return 2;
  }
}
