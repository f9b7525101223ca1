// Asynchronous catalogue client of a head. Caches lookups for a limited time, reconnects by itself, and
// reports for each failed change whether it may have been applied.
#pragma once
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/link.h"

namespace yewmount::catalogue {

enum class Status : std::uint8_t {
  done,
  absent,
  conflict,
  unwritable,   // the catalogue could not write: not applied
  unreachable,  // never sent: not applied
  unknown       // sent but not answered: may have been applied
};

struct Result {
  Status status = Status::unreachable;
  wire::Object current;
  wire::Object previous;
  bool at_end = false;  // of a scan: no objects remain after these
  std::vector<wire::ScanReply::Entry> entries{};
};

struct ClientOptions {
  std::string address;
  std::string head_name;
  std::uint16_t port = 0;
  std::int64_t cache_lifetime_us = 0;  // 0: nothing is cached
  std::size_t max_cached_objects = 0;
};

class Client : public net::LinkHandler {
 public:
  using Callback = std::function<void(Result&&)>;
  Client(asio::io_context& io, ClientOptions options);
  ~Client() override;

  // Returns the cached object, or null if find() has to ask the catalogue.
  const wire::Object* cached(std::string_view volume, std::string_view name, std::int64_t now);
  // Each call invokes its callback exactly once, at the latest when expire() sees the deadline passed, and
  // never from within find(), scan() or change(). Deadlines are monotonic microseconds.
  void find(std::string_view volume, std::string_view name, std::int64_t deadline, Callback callback);
  void scan(std::string_view after_volume, std::string_view after_name, int limit, std::int64_t deadline,
            Callback callback);
  void change(wire::ChangeRequest change, std::int64_t deadline, Callback callback);

  // Ends the calls whose deadline has passed; to be called regularly.
  void expire(std::int64_t now);
  void flush();
  // Whether the catalogue has completed the handshake.
  bool connected() const { return is_ready_; }

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& reason) override;

 private:
  struct Call {
    bool is_change = false;
    bool is_sent = false;
    std::uint64_t end_offset = 0;  // of its frame in the bytes appended to the link
    std::int64_t deadline = 0;
    std::string volume;
    std::string name;
    std::string frame;
    Callback callback;
  };
  struct CacheEntry {
    wire::Object object;
    std::int64_t expires_at;
  };
  void connect();
  void send(Call& call);
  void complete(std::uint64_t call_id, Result&& result);
  void add_to_cache(const std::string& volume, const std::string& name, const wire::Object& object);

  asio::io_context& io_;
  ClientOptions options_;
  asio::steady_timer reconnect_timer_;
  std::shared_ptr<net::Link> link_;
  bool is_ready_ = false;
  bool is_connecting_ = false;
  std::uint64_t last_call_id_ = 0;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::string, CacheEntry> cache_;
  std::deque<std::string> cache_order_;  // keys in insertion order, the oldest evicted first
  std::string cache_key_;                // of the last cached(), reused to avoid an allocation
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::catalogue
