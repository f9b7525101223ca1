// The head's scrubber: scans the catalogue, reads this head's share of the objects whole, as block I/Os of a
// low-gain group, and reports damaged and missing extents. background::Scheduler decides when it may proceed.
#include <unistd.h>

#include "base/base.h"
#include "head/daemon.h"
#include "settings/json_schema.h"

namespace yewmount::head {
namespace {

constexpr int kScanPageObjects = 50;
constexpr Micros kCatalogueTimeoutUs = 2'000'000;
constexpr Micros kCursorSaveIntervalUs = 5'000'000;  // work repeated at most after a kill
constexpr std::size_t kMaxReportedFindings = 100;

}  // namespace

void Daemon::start_scrub() {
  const settings::ScrubSettings& scrub_settings = settings_.scrub;
  if (scrub_settings.group < 0) return;
  background::Options options;
  const double burst = 2.0 * settings_.rules.max_units;
  options.class_budgets.fill({scrub_settings.units_per_second, burst});
  options.total_budget = {scrub_settings.units_per_second, burst};
  options.min_calm = scrub_settings.calm_from;
  options.recovery_interval_us = scrub_settings.rest;
  scrub_ = std::make_unique<ScrubState>(
      ScrubState{.background_scheduler = background::Scheduler(options, started_at_),
                 .pass = {},
                 .page = {},
                 .findings = {}});
  background::PassProgress& pass = scrub_->pass;
  pass.started_wall_us = wall_now();
  std::string text;
  if (const std::string why = read_file(scrub_settings.cursor_file, text); !why.empty()) {
    if (::access(scrub_settings.cursor_file.c_str(), F_OK) == 0) throw std::runtime_error(why);
    return;
  }
  // A damaged cursor can't be trusted in any part; the pass starts again, which only repeats work.
  try {
    const nlohmann::json j = settings::parse(text, scrub_settings.cursor_file);
    pass.number = j.at("round");
    pass.volume = j.at("volume");
    pass.object = j.at("object");
    pass.objects = j.at("objects");
    pass.extents = j.at("extents");
    pass.damaged = j.at("damaged");
    pass.missing = j.at("missing");
    pass.previous_objects = j.at("last_objects");
    pass.started_wall_us = j.at("began_wall_us");
  } catch (const std::exception& e) {
    pass = {.volume = {}, .object = {}, .started_wall_us = wall_now()};
    logs::error("invalid scrub cursor; starting the pass again", {{"why", e.what()}});
  }
}

void Daemon::save_scrub_cursor() {
  const background::PassProgress& pass = scrub_->pass;
  const nlohmann::json j = {{"round", pass.number},
                            {"volume", pass.volume},
                            {"object", pass.object},
                            {"objects", pass.objects},
                            {"extents", pass.extents},
                            {"damaged", pass.damaged},
                            {"missing", pass.missing},
                            {"last_objects", pass.previous_objects},
                            {"began_wall_us", pass.started_wall_us}};
  if (const std::string why = write_file(settings_.scrub.cursor_file, j.dump() + "\n"); !why.empty())
    logs::error("scrub cursor not written", {{"why", why}});
}

void Daemon::run_scrub(Micros now) {
  ScrubState& scrub = *scrub_;
  scrub.background_scheduler.report_foreground(now, scheduler_->footprint().headroom);
  if (now < scrub.next_pass_at) return;
  scrub.background_scheduler.set_demand(now, background::TaskClass::scrub, true);
  const bool starved = scrub.background_scheduler.is_starved(now, background::TaskClass::scrub);
  if (starved && !scrub.was_starved)
    logs::warn("scrub starved by foreground I/O",
               {{"round", scrub.pass.number}, {"objects", scrub.pass.objects}});
  scrub.was_starved = starved;
  if (now - scrub.saved_at >= kCursorSaveIntervalUs) {
    scrub.saved_at = now;
    save_scrub_cursor();
  }
  if (scrub.is_scanning || scrub.is_reading) return;
  if (!scrub.page.empty()) return scrub_next_extent(now);
  if (scrub.is_last_page) {
    logs::info("scrub pass finished", {{"round", scrub.pass.number},
                                       {"objects", scrub.pass.objects},
                                       {"extents", scrub.pass.extents},
                                       {"damaged", scrub.pass.damaged},
                                       {"missing", scrub.pass.missing}});
    scrub.pass.start_next(wall_now());
    scrub.is_last_page = false;
    scrub.next_pass_at = now + settings_.scrub.pause_between_rounds;
    scrub.background_scheduler.set_demand(now, background::TaskClass::scrub, false);
    return save_scrub_cursor();
  }
  scrub.is_scanning = true;
  catalogue_.scan(scrub.pass.volume, scrub.pass.object, kScanPageObjects, now + kCatalogueTimeoutUs,
                  [this](catalogue::Result&& page) { on_scrub_page(std::move(page)); });
}

void Daemon::on_scrub_page(catalogue::Result&& page) {
  ScrubState& scrub = *scrub_;
  scrub.is_scanning = false;
  if (page.status != catalogue::Status::done) return;  // the next iteration scans again
  scrub.is_last_page = page.at_end;
  scrub.extent_index = 0;
  for (wire::ScanReply::Entry& entry : page.entries) scrub.page.push_back(std::move(entry));
}

// Reads the next extent of this head's share, if the budget allows it. Heads divide the objects by hash,
// without coordination. The share of a head that is down is not scrubbed meanwhile; its report shows this by
// the pass number and the estimated end.
void Daemon::scrub_next_extent(Micros now) {
  ScrubState& scrub = *scrub_;
  while (!scrub.page.empty()) {
    const wire::ScanReply::Entry& entry = scrub.page.front();
    const auto heads = static_cast<std::uint64_t>(settings_.rules.heads);
    const bool is_own = stable_hash(entry.volume + '/' + entry.name) % heads ==
                        static_cast<std::uint64_t>(settings_.rules.own_number);
    while (is_own && scrub.extent_index < entry.object.extents.size() &&
           entry.object.extents[scrub.extent_index].checksum == 0)
      ++scrub.extent_index;
    if (is_own && scrub.extent_index < entry.object.extents.size()) break;
    scrub.pass.advance(entry.volume, entry.name);
    scrub.page.pop_front();
    scrub.extent_index = 0;
  }
  if (scrub.page.empty()) return;
  const wire::ScanReply::Entry& entry = scrub.page.front();
  const wire::PlacedExtent extent = entry.object.extents[scrub.extent_index];
  if (!scrub.background_scheduler.try_start(now, background::TaskClass::scrub,
                                            settings_.units_for(extent.length)))
    return;
  const int index = open_request();
  Request& request = requests_[index];
  request.is_background = true;
  request.group = settings_.scrub.group;
  request.http.volume = entry.volume;
  request.http.object = entry.name;
  request.object.stamp = entry.object.stamp;
  request.object.extents.push_back(extent);
  scrub.is_reading = true;
  enqueue_block_io(index, wire::IoKind::read, request.group, extent, 0, extent.length, {},
                   &Daemon::on_scrub_read);
}

void Daemon::on_scrub_read(int request_index, BioOutcome outcome, std::string_view) {
  ScrubState& scrub = *scrub_;
  Request& request = requests_[request_index];
  const wire::PlacedExtent extent = request.object.extents.front();
  const bool is_checked =
      outcome == BioOutcome::completed || outcome == BioOutcome::not_found || request.is_damaged;
  scrub.is_reading = false;
  scrub.background_scheduler.finish(monotonic_now(), background::TaskClass::scrub, is_checked);
  const char* what = request.is_damaged ? "damaged" : outcome == BioOutcome::not_found ? "missing" : nullptr;
  const std::string volume = request.http.volume;
  const std::string object = request.http.object;
  const std::uint64_t stamp = request.object.stamp;
  close_request(request_index);
  if (!is_checked) return;  // shed or out of time: the same extent is read again later
  ++scrub.extent_index;
  ++scrub.pass.extents;
  if (!what) return;
  // The object may have been replaced since the page was scanned; only extents of a current version count.
  catalogue_.find(
      volume, object, monotonic_now() + kCatalogueTimeoutUs,
      [this, volume, object, stamp, extent, what = std::string(what)](catalogue::Result&& lookup) {
        if (lookup.status != catalogue::Status::done || lookup.current.stamp != stamp) return;
        ++(what == "damaged" ? scrub_->pass.damaged : scrub_->pass.missing);
        nlohmann::json finding = {
            {"what", what},
            {"volume", volume},
            {"object", object},
            {"extent", std::to_string(extent.extent.head) + '-' + std::to_string(extent.extent.serial)},
            {"shard", extent.shard},
            {"round", scrub_->pass.number}};
        logs::error("scrub found a bad extent", finding);
        scrub_->findings.push_back(std::move(finding));
        if (scrub_->findings.size() > kMaxReportedFindings) scrub_->findings.pop_front();
      });
}

nlohmann::json Daemon::scrub_report() const {
  const ScrubState& scrub = *scrub_;
  const Micros now = monotonic_now();
  const Micros wall = wall_now();
  const Micros end = scrub.pass.estimated_end(wall);
  return {{"round", scrub.pass.number},
          {"state", now < scrub.next_pass_at                   ? "between rounds"
                    : scrub.background_scheduler.is_yielding() ? "yielding"
                                                               : "scrubbing"},
          {"starved", scrub.background_scheduler.is_starved(now, background::TaskClass::scrub)},
          {"pace", scrub.background_scheduler.rate_factor()},
          {"objects", scrub.pass.objects},
          {"objects_last_round", scrub.pass.previous_objects},
          {"extents", scrub.pass.extents},
          {"damaged", scrub.pass.damaged},
          {"missing", scrub.pass.missing},
          {"expected_end_in_s", end > 0 ? nlohmann::json((end - wall) / 1'000'000) : nlohmann::json()},
          {"found", scrub.findings}};
}

}  // namespace yewmount::head
