#include "catalogue/client.h"

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr auto kReconnectDelay = std::chrono::milliseconds(100);

}  // namespace

Client::Client(asio::io_context& io, ClientOptions options)
    : io_(io), options_(std::move(options)), reconnect_timer_(io) {
  connect();
}

Client::~Client() {
  *is_alive_ = false;
  if (link_) link_->close();
}

void Client::connect() {
  if (is_connecting_ || link_) return;
  is_connecting_ = true;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  const asio::ip::tcp::endpoint endpoint(net::parse_loopback_address(options_.address), options_.port);
  socket->async_connect(endpoint, [this, socket, is_alive = is_alive_](std::error_code error) {
    if (!*is_alive) return;
    is_connecting_ = false;
    if (!error) {
      link_ = std::make_shared<net::Link>(std::move(*socket), *this);
      wire::encode(link_->out(), wire::Hello{wire::Role::head, options_.head_name, -1, 0});
      link_->start();
      link_->flush();
      return;
    }
    reconnect_timer_.expires_after(kReconnectDelay);
    reconnect_timer_.async_wait([this, is_alive](std::error_code canceled) {
      if (!canceled && *is_alive) connect();
    });
  });
}

const wire::Object* Client::cached(std::string_view volume, std::string_view name, std::int64_t now) {
  cache_key_.assign(volume);
  cache_key_ += '\0';
  cache_key_ += name;
  const auto it = cache_.find(cache_key_);
  return it != cache_.end() && now < it->second.expires_at ? &it->second.object : nullptr;
}

void Client::add_to_cache(const std::string& volume, const std::string& name, const wire::Object& object) {
  if (options_.cache_lifetime_us <= 0 || options_.max_cached_objects == 0) return;
  std::string key = volume;
  key += '\0';
  key += name;
  const auto [it, inserted] =
      cache_.insert_or_assign(key, CacheEntry{object, monotonic_now() + options_.cache_lifetime_us});
  if (!inserted) return;
  cache_order_.push_back(std::move(key));
  while (cache_order_.size() > options_.max_cached_objects) {
    cache_.erase(cache_order_.front());
    cache_order_.pop_front();
  }
}

void Client::send(Call& call) {
  if (!is_ready_) return;
  link_->out() += call.frame;
  call.is_sent = true;
  call.end_offset = link_->bytes_appended();
}

void Client::find(std::string_view volume, std::string_view name, std::int64_t deadline, Callback callback) {
  const std::uint64_t call_id = ++last_call_id_;
  Call& call = calls_[call_id];
  call.deadline = deadline;
  call.volume = volume;
  call.name = name;
  call.callback = std::move(callback);
  wire::encode(call.frame, wire::Lookup{call_id, volume, name});
  send(call);
}

void Client::scan(std::string_view after_volume, std::string_view after_name, int limit,
                  std::int64_t deadline, Callback callback) {
  const std::uint64_t call_id = ++last_call_id_;
  Call& call = calls_[call_id];
  call.deadline = deadline;
  call.callback = std::move(callback);
  wire::encode(call.frame, wire::Scan{call_id, after_volume, after_name, limit});
  send(call);
}

void Client::change(wire::ChangeRequest change, std::int64_t deadline, Callback callback) {
  const std::uint64_t call_id = ++last_call_id_;
  Call& call = calls_[call_id];
  call.is_change = true;
  call.deadline = deadline;
  call.volume = change.volume;
  call.name = change.name;
  call.callback = std::move(callback);
  change.call_id = call_id;
  wire::encode(call.frame, change);
  send(call);
}

void Client::complete(std::uint64_t call_id, Result&& result) {
  const auto it = calls_.find(call_id);
  if (it == calls_.end()) return;
  Call call = std::move(it->second);
  calls_.erase(it);
  call.callback(std::move(result));
}

void Client::expire(std::int64_t now) {
  std::vector<std::pair<std::uint64_t, Result>> due;
  for (const auto& [call_id, call] : calls_)
    if (now >= call.deadline) {
      Result result;
      result.status = call.is_sent ? Status::unknown : Status::unreachable;
      due.emplace_back(call_id, result);
    }
  for (auto& [call_id, result] : due) complete(call_id, std::move(result));
}

void Client::flush() {
  if (link_) link_->flush();
}

void Client::on_frame(net::Link&, const wire::Frame& frame) {
  Result result;
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      if (hello.role != wire::Role::catalogue) throw wire::MalformedFrame("no catalogue answers here");
      is_ready_ = true;
      // Lookups may be repeated; a change that was sent on an earlier connection is never sent again.
      for (auto& [call_id, call] : calls_)
        if (!call.is_sent) send(call);
      return;
    }
    case wire::FrameType::lookup_reply: {
      wire::LookupReply found;
      wire::decode(frame, found);
      result.status = found.exists ? Status::done : Status::absent;
      result.current = std::move(found.object);
      if (const auto it = calls_.find(found.call_id); it != calls_.end() && found.exists)
        add_to_cache(it->second.volume, it->second.name, result.current);
      return complete(found.call_id, std::move(result));
    }
    case wire::FrameType::scan_reply: {
      wire::ScanReply walked;
      wire::decode(frame, walked);
      result.status = Status::done;
      result.at_end = walked.at_end;
      result.entries = std::move(walked.entries);
      return complete(walked.call_id, std::move(result));
    }
    case wire::FrameType::change_reply: {
      wire::ChangeReply altered;
      wire::decode(frame, altered);
      static constexpr Status kStatuses[] = {Status::done, Status::conflict, Status::absent,
                                             Status::unwritable};
      result.status = kStatuses[static_cast<int>(altered.result)];
      result.current = std::move(altered.current);
      result.previous = std::move(altered.previous);
      if (const auto it = calls_.find(altered.call_id); it != calls_.end()) {
        if (result.status == Status::done && result.current.stamp > 0)
          add_to_cache(it->second.volume, it->second.name, result.current);
        else if (!it->second.name.empty() && cached(it->second.volume, it->second.name, 0))
          cache_[cache_key_].expires_at = 0;
      }
      return complete(altered.call_id, std::move(result));
    }
    default:
      throw wire::MalformedFrame("a head takes no frame of this type from a catalogue");
  }
}

void Client::on_closed(net::Link& link, const std::string& reason) {
  logs::warn("catalogue lost", {{"why", reason}});
  const std::uint64_t bytes_sent = link.bytes_written();
  is_ready_ = false;
  link_.reset();
  std::vector<std::uint64_t> unanswered;
  for (auto& [call_id, call] : calls_) {
    if (!call.is_sent) continue;
    if (call.is_change && call.end_offset <= bytes_sent)
      unanswered.push_back(call_id);
    else
      call.is_sent = false;  // a lookup, or a change that was not sent completely
  }
  for (std::uint64_t call_id : unanswered) {
    Result result;
    result.status = Status::unknown;
    complete(call_id, std::move(result));
  }
  reconnect_timer_.expires_after(kReconnectDelay);
  reconnect_timer_.async_wait([this, is_alive = is_alive_](std::error_code canceled) {
    if (!canceled && *is_alive) connect();
  });
}

}  // namespace yewmount::catalogue
