// The head's scrubber: walks the catalogue, reads its own part of it whole as block I/Os that earn little,
// and tells what is damaged. When it may go on is background::Scheduler's to say.
#include <unistd.h>

#include "base/base.h"
#include "head/daemon.h"
#include "settings/json_schema.h"

namespace yewmount::head {
namespace {

constexpr int kPage = 50;                  // objects of a look
constexpr Micros kWalkWithin = 2'000'000;  // for the catalogue's answer
constexpr Micros kSaveEvery = 5'000'000;   // a round goes on at most so far back after a kill
constexpr std::size_t kFoundKept = 100;

}  // namespace

void Daemon::start_scrub() {
  const settings::ScrubSettings& s = given_.scrub;
  if (s.group < 0) return;
  background::Options p;
  const double burst = 2.0 * given_.rules.max_units;
  p.class_budgets.fill({s.units_per_second, burst});
  p.total_budget = {s.units_per_second, burst};
  p.min_calm = s.calm_from;
  p.recovery_interval_us = s.rest;
  scrub_ = std::make_unique<Scrub>(
      Scrub{.scheduler = background::Scheduler(p, started_), .round = {}, .page = {}, .found = {}});
  background::PassProgress& round = scrub_->round;
  round.started_wall_us = wall_now();
  std::string text;
  if (const std::string why = read_file(s.cursor_file, text); !why.empty()) {
    if (::access(s.cursor_file.c_str(), F_OK) == 0) throw std::runtime_error(why);
    return;
  }
  // Damaged, it says nothing that could be trusted: the round begins anew, which harms nothing.
  try {
    const nlohmann::json j = settings::parse(text, s.cursor_file);
    round.number = j.at("round"), round.volume = j.at("volume"), round.object = j.at("object");
    round.objects = j.at("objects"), round.extents = j.at("extents"), round.damaged = j.at("damaged");
    round.missing = j.at("missing"), round.previous_objects = j.at("last_objects");
    round.started_wall_us = j.at("began_wall_us");
  } catch (const std::exception& e) {
    round = {.volume = {}, .object = {}, .started_wall_us = wall_now()};
    logs::error("scrub begins anew", {{"why", e.what()}});
  }
}

void Daemon::save_scrub() {
  const background::PassProgress& r = scrub_->round;
  const nlohmann::json j = {{"round", r.number},
                            {"volume", r.volume},
                            {"object", r.object},
                            {"objects", r.objects},
                            {"extents", r.extents},
                            {"damaged", r.damaged},
                            {"missing", r.missing},
                            {"last_objects", r.previous_objects},
                            {"began_wall_us", r.started_wall_us}};
  if (const std::string why = write_file(given_.scrub.cursor_file, j.dump() + "\n"); !why.empty())
    logs::error("scrub cursor not written", {{"why", why}});
}

void Daemon::scrub_turn(Micros now) {
  Scrub& s = *scrub_;
  s.scheduler.report_foreground(now, rules_->footprint().headroom);
  if (now < s.next_round) return;
  s.scheduler.set_demand(now, background::TaskClass::scrub, true);
  const bool starved = s.scheduler.is_starved(now, background::TaskClass::scrub);
  if (starved && !s.told_starved)
    logs::warn("scrub yields for long", {{"round", s.round.number}, {"objects", s.round.objects}});
  s.told_starved = starved;
  if (now - s.saved >= kSaveEvery) {
    s.saved = now;
    save_scrub();
  }
  if (s.walking || s.reading) return;
  if (!s.page.empty()) return scrub_step(now);
  if (s.last_page) {
    logs::info("scrub round over", {{"round", s.round.number},
                                    {"objects", s.round.objects},
                                    {"extents", s.round.extents},
                                    {"damaged", s.round.damaged},
                                    {"missing", s.round.missing}});
    s.round.start_next(wall_now());
    s.last_page = false;
    s.next_round = now + given_.scrub.pause_between_rounds;
    s.scheduler.set_demand(now, background::TaskClass::scrub, false);
    return save_scrub();
  }
  s.walking = true;
  catalogue_.scan(s.round.volume, s.round.object, kPage, now + kWalkWithin,
                  [this](catalogue::Result&& page) { scrub_page(std::move(page)); });
}

void Daemon::scrub_page(catalogue::Result&& page) {
  Scrub& s = *scrub_;
  s.walking = false;
  if (page.status != catalogue::Status::done) return;  // it is away: asked again
  s.last_page = page.at_end;
  s.extent = 0;
  for (wire::ScanReply::Entry& e : page.entries) s.page.push_back(std::move(e));
}

// The next extent of this head's part: objects by their hash, so that heads share the work without a word. A
// head that is away leaves its part to wait for it; the round's number and end tell so.
void Daemon::scrub_step(Micros now) {
  Scrub& s = *scrub_;
  while (!s.page.empty()) {
    const wire::ScanReply::Entry& e = s.page.front();
    const auto heads = static_cast<std::uint64_t>(given_.rules.heads);
    const bool own =
        stable_hash(e.volume + '/' + e.name) % heads == static_cast<std::uint64_t>(given_.rules.own_number);
    while (own && s.extent < e.object.extents.size() && e.object.extents[s.extent].checksum == 0) ++s.extent;
    if (own && s.extent < e.object.extents.size()) break;
    s.round.advance(e.volume, e.name);
    s.page.pop_front();
    s.extent = 0;
  }
  if (s.page.empty()) return;
  const wire::ScanReply::Entry& e = s.page.front();
  const wire::PlacedExtent p = e.object.extents[s.extent];
  if (!s.scheduler.try_start(now, background::TaskClass::scrub, given_.units_for(p.length))) return;
  const int at = open_exchange();
  Exchange& x = exchanges_[at];
  x.background = true;
  x.group = given_.scrub.group;
  x.ask.volume = e.volume, x.ask.object = e.name;
  x.object.stamp = e.object.stamp;
  x.object.extents.push_back(p);
  s.reading = true;
  take(at, wire::IoKind::read, x.group, p, 0, p.length, {}, &Daemon::scrub_read);
}

void Daemon::scrub_read(int at, Final final, std::string_view) {
  Scrub& s = *scrub_;
  Exchange& x = exchanges_[at];
  const wire::PlacedExtent p = x.object.extents.front();
  const bool done = final == Final::ended || final == Final::missing || x.damaged;
  s.reading = false;
  s.scheduler.finish(monotonic_now(), background::TaskClass::scrub, done);
  const char* what = x.damaged ? "damaged" : final == Final::missing ? "missing" : nullptr;
  const std::string volume = x.ask.volume, object = x.ask.object;
  const std::uint64_t stamp = x.object.stamp;
  over(at);
  if (!done) return;  // shed or failed for want of time: this extent again, later
  ++s.extent;
  ++s.round.extents;
  if (!what) return;
  // A new version may have taken its place since the page was read; only what still stands is a finding.
  catalogue_.find(volume, object, monotonic_now() + kWalkWithin,
                  [this, volume, object, stamp, p, what = std::string(what)](catalogue::Result&& now) {
                    if (now.status != catalogue::Status::done || now.current.stamp != stamp) return;
                    ++(what == "damaged" ? scrub_->round.damaged : scrub_->round.missing);
                    nlohmann::json one = {
                        {"what", what},
                        {"volume", volume},
                        {"object", object},
                        {"extent", std::to_string(p.extent.head) + '-' + std::to_string(p.extent.serial)},
                        {"shard", p.shard},
                        {"round", scrub_->round.number}};
                    logs::error("scrub found", one);
                    scrub_->found.push_back(std::move(one));
                    if (scrub_->found.size() > kFoundKept) scrub_->found.pop_front();
                  });
}

nlohmann::json Daemon::scrub_report() const {
  const Scrub& s = *scrub_;
  const Micros now = monotonic_now(), wall = wall_now();
  const Micros end = s.round.estimated_end(wall);
  return {{"round", s.round.number},
          {"state", now < s.next_round          ? "between rounds"
                    : s.scheduler.is_yielding() ? "yielding"
                                                : "scrubbing"},
          {"starved", s.scheduler.is_starved(now, background::TaskClass::scrub)},
          {"pace", s.scheduler.rate_factor()},
          {"objects", s.round.objects},
          {"objects_last_round", s.round.previous_objects},
          {"extents", s.round.extents},
          {"damaged", s.round.damaged},
          {"missing", s.round.missing},
          {"expected_end_in_s", end > 0 ? nlohmann::json((end - wall) / 1'000'000) : nlohmann::json()},
          {"found", s.found}};
}

}  // namespace yewmount::head
