// Names and sources of the metrics.
#include "orioledoor/sidecar/node_metrics.h"

#include <utility>

#include "orioledoor/platform/platform_store.h"
#include "orioledoor/sidecar/reducer.h"
#include "orioledoor/telemetry/metrics.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/peer_transport.h"

namespace orioledoor::sidecar {
namespace {

void setGateMetrics(MetricsRegistry &Metrics, const routing::TargetGate &Gate) {
  Metrics.gauge("oriole_gate_running").set(Gate.queue().running());
  Metrics.gauge("oriole_gate_waiting")
      .set(static_cast<double>(Gate.queue().waiting()));
  Metrics.gauge("oriole_gate_slot_seconds")
      .set(static_cast<double>(Gate.queue().serviceTime().count()) / 1e6);
  Metrics.gauge("oriole_gate_rate_limit").set(Gate.rateLimit().value_or(0));
  Metrics.gauge("oriole_gate_cold").set(Gate.isCold() ? 1 : 0);
  Metrics.gauge("oriole_gate_cold_pace").set(Gate.coldPace());
  Metrics.gauge("oriole_gate_slowdown_percent").set(Gate.slowdownPercent());
  Metrics.counter("oriole_gate_starts_total").set(Gate.startedCalls());
  Metrics.counter("oriole_gate_repeats_refused_total")
      .set(Gate.refusedRepeats());
  Metrics.counter("oriole_gate_withdrawn_total").set(Gate.withdrawnCalls());
  Metrics.counter("oriole_gate_confirmations_total")
      .set(Gate.unconfirmedCalls());
  Metrics.gauge("oriole_gate_answer_committed_bytes")
      .set(static_cast<double>(Gate.committedAnswerBytes()));
  Metrics.gauge("oriole_gate_answers_waiting")
      .set(static_cast<double>(Gate.answerLink().waiting()));
  Metrics.counter("oriole_gate_refused_for_link_total")
      .set(Gate.refusedForLink());
  Metrics.counter("oriole_gate_refused_for_memory_total")
      .set(Gate.refusedForMemory());
  Metrics.counter("oriole_gate_answers_dropped_total")
      .set(Gate.droppedAnswers());
  Metrics.gauge("oriole_gate_hot_keys")
      .set(static_cast<double>(Gate.hotKeys().hotKeys()));
  Metrics.gauge("oriole_gate_evacuated")
      .set(Gate.state() == routing::TargetState::Evacuated ? 1 : 0);
  Metrics.counter("oriole_gate_placement_refused_total", "why=\"region\"")
      .set(Gate.regionRefusals());
  Metrics.counter("oriole_gate_placement_refused_total", "why=\"evacuated\"")
      .set(Gate.evacuationRefusals());
}

void setStoreMetrics(MetricsRegistry &Metrics,
                     const platform::PlatformStoreCounters &Store) {
  Metrics.counter("oriole_store_calls_total").set(Store.Calls);
  for (const auto &[Kind, Name] :
       {std::pair(platform::StoreCallKind::Read, "read"),
        std::pair(platform::StoreCallKind::StaleRead, "stale-read"),
        std::pair(platform::StoreCallKind::Write, "write"),
        std::pair(platform::StoreCallKind::Lease, "lease"),
        std::pair(platform::StoreCallKind::Renewal, "renewal"),
        std::pair(platform::StoreCallKind::Watch, "watch")})
    Metrics
        .counter("oriole_store_calls_by_kind_total",
                 "kind=\"" + std::string(Name) + "\"")
        .set(Store.CallsByKind[static_cast<std::size_t>(Kind)]);
  Metrics.counter("oriole_store_failures_total").set(Store.Failures);
  Metrics.counter("oriole_store_watch_interruptions_total")
      .set(Store.WatchInterruptions);
}

void setSpillMetrics(MetricsRegistry &Metrics,
                     const routing::TargetDirectory &Directory) {
  using routing::Distance;
  const routing::SpillCounters &Counters = Directory.spillCounters();
  for (const auto &[Ring, Name] :
       {std::pair(Distance::SameDomain, "same-domain"),
        std::pair(Distance::SameRegion, "same-region"),
        std::pair(Distance::OtherRegion, "other-region")})
    Metrics
        .counter("oriole_choices_total",
                 "distance=\"" + std::string(Name) + "\"")
        .set(Counters.ChoicesByRing[static_cast<std::size_t>(Ring)]);
  Metrics.counter("oriole_spill_steps_total").set(Counters.Steps);
  Directory.forEachSpill([&](const std::string &Service,
                             routing::RequestClassId RequestClass,
                             const routing::DomainSpill &State) {
    for (auto Boundary :
         {routing::SpillBoundary::Domain, routing::SpillBoundary::Region})
      Metrics
          .gauge("oriole_spill_share",
                 "service=\"" + Service + "\",class=\"" +
                     std::to_string(RequestClass) + "\",leaves=\"" +
                     routing::boundaryName(Boundary) + "\"")
          .set(static_cast<double>(State.share(Boundary)) /
               routing::SpillSteps);
  });
}

void setRetryMetrics(MetricsRegistry &Metrics,
                     const routing::RetryBudgets &Budgets, Instant Now) {
  Budgets.forEach(Now, [&](const std::string &Service,
                           const routing::RetryUse &Use, double Available) {
    std::string Label = "service=\"" + Service + "\"";
    for (std::size_t Reason = 0; Reason < routing::RetryReasonCount; ++Reason)
      Metrics
          .counter("oriole_retries_total",
                   Label + ",why=\"" +
                       routing::retryReasonName(
                           static_cast<routing::RetryReason>(Reason)) +
                       "\"")
          .set(Use.Taken[Reason]);
    Metrics.counter("oriole_retries_denied_total", Label).set(Use.Denied);
    Metrics.counter("oriole_inherited_repeats_total", Label)
        .set(static_cast<std::uint64_t>(Use.Inherited));
    Metrics.gauge("oriole_retry_budget", Label).set(Available);
  });
}

} // namespace

std::string renderMetrics(MetricsRegistry &Metrics,
                          const SidecarReducer &Reducer,
                          const platform::PlatformStoreCounters &Store,
                          const wire::TransportCounters &Peers,
                          const wire::HttpClientCounters &TargetClient,
                          const wire::HttpServer &Outbound, Instant Now) {
  setGateMetrics(Metrics, Reducer.gate());
  setStoreMetrics(Metrics, Store);
  setSpillMetrics(Metrics, Reducer.directory());
  setRetryMetrics(Metrics, Reducer.entry().retryBudgets(), Now);
  Metrics.gauge("oriole_entry_open")
      .set(static_cast<double>(Reducer.entry().openRequests()));
  Metrics.counter("oriole_entry_throttled_total")
      .set(Reducer.entry().throttledRequests());
  Metrics.counter("oriole_entry_early_repeats_total")
      .set(Reducer.entry().earlyRepeats());
  Metrics.counter("oriole_entry_hot_key_refused_total")
      .set(Reducer.entry().hotKeyRefusals());
  Metrics.counter("oriole_entry_placement_refused_total")
      .set(Reducer.entry().placementRefusals());
  for (std::size_t Cause = 0; Cause < routing::FailureCauseCount; ++Cause)
    Metrics
        .counter("oriole_entry_failed_total",
                 "cause=\"" +
                     std::string(routing::failureCauseName(
                         static_cast<routing::FailureCause>(Cause))) +
                     "\"")
        .set(Reducer.entry().failures(
            static_cast<routing::FailureCause>(Cause)));
  Metrics.counter("oriole_entry_failed_while_stopping_total")
      .set(Reducer.entry().failuresWhileStopping());
  Metrics.gauge("oriole_evacuated_domains")
      .set(static_cast<double>(Reducer.evacuatedDomains().size()));
  Metrics.gauge("oriole_nodes")
      .set(static_cast<double>(Reducer.membership().nodes().size()));
  Metrics.gauge("oriole_store_era")
      .set(static_cast<double>(Reducer.membership().era()));
  Metrics.counter("oriole_store_era_changes_total")
      .set(Reducer.storeEraChanges());
  Metrics.counter("oriole_key_map_repairs_total").set(Reducer.keyMapRepairs());
  Metrics.counter("oriole_peer_delayed_messages_total")
      .set(Reducer.delayedMessages());
  Metrics.counter("oriole_reports_refused_total").set(Reducer.refusedReports());
  Metrics.counter("oriole_entry_rejected_total")
      .set(Outbound.rejectedRequests());
  Metrics.counter("oriole_entry_abandoned_total")
      .set(Outbound.abandonedRequests());
  Metrics.counter("oriole_peer_connections_lost_total")
      .set(Peers.ConnectionsLost);
  Metrics.counter("oriole_peer_unacknowledged_frames_total")
      .set(Peers.FramesUnacknowledged);
  Metrics.counter("oriole_peer_frames_not_sent_total").set(Peers.FramesNotSent);
  Metrics.counter("oriole_peer_header_bytes_total").set(Peers.HeaderBytesOut);
  Metrics.counter("oriole_peer_batches_total").set(Peers.BatchesOut);
  Metrics.counter("oriole_target_connections_total")
      .set(TargetClient.Connections);
  const auto &Table = Reducer.entry().table();
  Metrics.gauge("oriole_config_version")
      .set(Table ? static_cast<double>(Table->Version) : 0);
  return Metrics.text();
}

} // namespace orioledoor::sidecar
