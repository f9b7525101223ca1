#include "catalogue/client.h"

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr auto kAgain = std::chrono::milliseconds(100);  // between two connects to a catalogue that is away

}  // namespace

Client::Client(asio::io_context& io, ClientProvision given) : io_(io), given_(std::move(given)), again_(io) {
  connect();
}

Client::~Client() {
  *alive_ = false;
  if (link_) link_->close();
}

void Client::connect() {
  if (connecting_ || link_) return;
  connecting_ = true;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  const asio::ip::tcp::endpoint at(net::parse_loopback_address(given_.address), given_.port);
  socket->async_connect(at, [this, socket, alive = alive_](std::error_code error) {
    if (!*alive) return;
    connecting_ = false;
    if (!error) {
      link_ = std::make_shared<net::Link>(std::move(*socket), *this);
      wire::encode(link_->out(), wire::Hello{wire::Role::head, given_.head_name, -1, 0});
      link_->start();
      link_->flush();
      return;
    }
    again_.expires_after(kAgain);
    again_.async_wait([this, alive](std::error_code stopped) {
      if (!stopped && *alive) connect();
    });
  });
}

const wire::Object* Client::kept(std::string_view volume, std::string_view name, std::int64_t now) {
  key_.assign(volume);
  key_ += '\0';
  key_ += name;
  const auto it = kept_.find(key_);
  return it != kept_.end() && now < it->second.until ? &it->second.object : nullptr;
}

void Client::keep(const std::string& volume, const std::string& name, const wire::Object& object) {
  if (given_.keep <= 0 || given_.keep_most == 0) return;
  std::string key = volume;
  key += '\0';
  key += name;
  const auto [it, fresh] = kept_.insert_or_assign(key, Kept{object, monotonic_now() + given_.keep});
  if (!fresh) return;
  kept_order_.push_back(std::move(key));
  while (kept_order_.size() > given_.keep_most) {
    kept_.erase(kept_order_.front());
    kept_order_.pop_front();
  }
}

void Client::send(Call& call) {
  if (!greeted_) return;
  link_->out() += call.frame;
  call.sent = true;
  call.ends = link_->bytes_appended();
}

void Client::look(std::string_view volume, std::string_view name, std::int64_t until, Then then) {
  const std::uint64_t number = ++last_;
  Call& call = calls_[number];
  call.until = until;
  call.volume = volume, call.name = name;
  call.then = std::move(then);
  wire::encode(call.frame, wire::Lookup{number, volume, name});
  send(call);
}

void Client::walk(std::string_view after_volume, std::string_view after_name, int most, std::int64_t until,
                  Then then) {
  const std::uint64_t number = ++last_;
  Call& call = calls_[number];
  call.until = until;
  call.then = std::move(then);
  wire::encode(call.frame, wire::Scan{number, after_volume, after_name, most});
  send(call);
}

void Client::alter(wire::ChangeRequest change, std::int64_t until, Then then) {
  const std::uint64_t number = ++last_;
  Call& call = calls_[number];
  call.change = true;
  call.until = until;
  call.volume = change.volume, call.name = change.name;
  call.then = std::move(then);
  change.call_id = number;
  wire::encode(call.frame, change);
  send(call);
}

void Client::end(std::uint64_t number, Result&& result) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Call call = std::move(it->second);
  calls_.erase(it);
  call.then(std::move(result));
}

void Client::expire(std::int64_t now) {
  std::vector<std::pair<std::uint64_t, Result>> due;
  for (const auto& [number, call] : calls_)
    if (now >= call.until) {
      Result r;
      r.fate = call.sent ? Fate::unknown : Fate::unreachable;
      due.emplace_back(number, r);
    }
  for (auto& [number, result] : due) end(number, std::move(result));
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
      greeted_ = true;
      // Looks may be asked again; a change that was handed over on an earlier link never is.
      for (auto& [number, call] : calls_)
        if (!call.sent) send(call);
      return;
    }
    case wire::FrameType::lookup_reply: {
      wire::LookupReply found;
      wire::decode(frame, found);
      result.fate = found.exists ? Fate::done : Fate::absent;
      result.now = std::move(found.object);
      if (const auto it = calls_.find(found.call_id); it != calls_.end() && found.exists)
        keep(it->second.volume, it->second.name, result.now);
      return end(found.call_id, std::move(result));
    }
    case wire::FrameType::scan_reply: {
      wire::ScanReply walked;
      wire::decode(frame, walked);
      result.fate = Fate::done;
      result.end = walked.at_end;
      result.entries = std::move(walked.entries);
      return end(walked.call_id, std::move(result));
    }
    case wire::FrameType::change_reply: {
      wire::ChangeReply altered;
      wire::decode(frame, altered);
      static constexpr Fate fates[] = {Fate::done, Fate::conflict, Fate::absent, Fate::unwritable};
      result.fate = fates[static_cast<int>(altered.result)];
      result.now = std::move(altered.current);
      result.before = std::move(altered.previous);
      if (const auto it = calls_.find(altered.call_id); it != calls_.end()) {
        if (result.fate == Fate::done && result.now.stamp > 0)
          keep(it->second.volume, it->second.name, result.now);
        else if (!it->second.name.empty() && kept(it->second.volume, it->second.name, 0))
          kept_[key_].until = 0;
      }
      return end(altered.call_id, std::move(result));
    }
    default:
      throw wire::MalformedFrame("a head takes no frame of this type from a catalogue");
  }
}

void Client::on_closed(net::Link& link, const std::string& why) {
  logs::warn("catalogue lost", {{"why", why}});
  const std::uint64_t handed = link.bytes_written();
  greeted_ = false;
  link_.reset();
  std::vector<std::uint64_t> unknown;
  for (auto& [number, call] : calls_) {
    if (!call.sent) continue;
    if (call.change && call.ends <= handed)
      unknown.push_back(number);
    else
      call.sent = false;  // a look, or a change whose last byte never left
  }
  for (std::uint64_t number : unknown) {
    Result r;
    r.fate = Fate::unknown;
    end(number, std::move(r));
  }
  again_.expires_after(kAgain);
  again_.async_wait([this, alive = alive_](std::error_code stopped) {
    if (!stopped && *alive) connect();
  });
}

}  // namespace yewmount::catalogue
