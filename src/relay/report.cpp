// The counters and gauges of a head on the operators' platform, as they are logged; docs/operate/relay.md
// names them.
#include "base/base.h"
#include "relay/relay.h"

namespace yewmount::relay {
namespace {

// Returns the counts above 0 under their names.
template <std::size_t N>
nlohmann::ordered_json nonzero_counts(const std::array<std::string_view, N>& names,
                                      const std::array<std::uint64_t, N>& counts) {
  nlohmann::ordered_json result = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < N; ++i)
    if (counts[i] > 0) result[std::string(names[i])] = counts[i];
  return result;
}

}  // namespace

nlohmann::ordered_json Relay::report() const {
  const client_sessions::Counts& session_counts = sessions_.counts();
  const node_connections::Counts& node_counts = nodes_.counts();
  const Head::Footprint footprint = scheduler_->footprint();
  return {{"taken", counts_.accepted},
          {"ended", counts_.completed},
          {"shed", counts_.shed},
          {"failed", counts_.failed},
          {"left", counts_.abandoned},
          {"bad", counts_.malformed},
          {"full", counts_.over_memory},
          {"no_volume", counts_.over_volumes},
          {"repeated_ids", counts_.repeated_ids},
          {"reads_paused", session_counts.reads_paused + node_counts.reads_paused},
          {"refused_stalled", session_counts.refused_stalled},
          {"refused_waiting", session_counts.refused_waiting},
          {"refused_queued", session_counts.refused_queued},
          {"values_dropped", counts_.values_over_memory + session_counts.dropped_values},
          {"ended_for_memory", session_counts.ended_for_memory},
          {"submits", counts_.submits},
          {"further", counts_.later_submits},
          {"in_hand", footprint.active},
          {"held", footprint.queued},
          {"calm", footprint.headroom},
          {"clients", sessions_.size()},
          {"unread", session_counts.unreadable},
          {"turned_back", session_counts.rejected_connections},
          {"parted", session_counts.half_closed},
          {"lingered", session_counts.lingering_closes},
          {"connections", nodes_.connection_count()},
          {"opened", node_counts.opened},
          {"lost", node_counts.connections_lost},
          {"spoilt", node_counts.malformed_replies},
          {"strays", node_counts.unexpected_replies},
          {"waited_for_connection", node_counts.waited_for_connection},
          {"no_room", node_counts.no_connection_free},
          {"outcomes", nonzero_counts(kResultNames, counts_.results)},
          {"given_up", nonzero_counts(kRejectionReasonNames, counts_.rejections)},
          {"denied", nonzero_counts(kDenialReasonNames, node_counts.denied)},
          {"clients_closed", nonzero_counts(permits::kCloseReasons, session_counts.closed)},
          {"nodes_closed", nonzero_counts(node_connections::kCloseReasonNames, node_counts.closed)},
          {"violations",
           {{"late_answers", counts_.violations.late_answers},
            {"unasked_values", counts_.violations.unexpected_results},
            {"closed_unanswered", session_counts.closed_unanswered},
            {"answered_again", session_counts.duplicate_answers}}},
          {"memory", memory_report()},
          {"list", members_.version()},
          {"nodes", members_.node_count()},
          {"volumes", volumes_.size()},
          {"list_failures", members_.failures()},
          {"stood_still", counts_.pauses},
          {"longest_turn_us", counts_.longest_iteration}};
}

nlohmann::ordered_json Relay::memory_report() const {
  const ProcessMemory process = process_memory();
  const client_sessions::SessionTotals sessions = sessions_.totals();
  const Head::Footprint footprint = scheduler_->footprint();
  nlohmann::ordered_json report = {{"resident", process.resident},   {"heap_used", process.heap_used},
                                   {"heap_free", process.heap_free}, {"budget", budget_.limit()},
                                   {"budget_used", budget_.used()},  {"budget_peak", budget_.peak()}};
  for (std::size_t i = 0; i < memory::kUseCount; ++i)
    report[std::string(memory::kUseNames[i])] = budget_.used(static_cast<memory::Use>(i));
  report.update({{"client_output_pending", sessions.pending_output},
                 {"partial_commands", sessions.partial_commands},
                 {"sessions", sessions_.size()},
                 {"requests", footprint.active},
                 {"volumes", volumes_.size()},
                 {"recent_ids", recent_client_ids_.size()},
                 {"key_queues", footprint.key_queues},
                 {"timestamps", footprint.timestamps}});
  return report;
}

}  // namespace yewmount::relay
