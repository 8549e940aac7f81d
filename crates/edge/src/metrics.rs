//! The metrics of an edge host, as Prometheus text.

use base::Ms;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Label under which the prediction error of all stages of a request together is recorded.
pub(crate) const ALL_STAGES: &str = "all";

/// The metric instruments of the host. The number of label values is bounded by the declared routes
/// and services.
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    answers: Counter<u64>,
    time: Histogram<u64>,
    refusals: Counter<u64>,
    sends: Counter<u64>,
    retries: Counter<u64>,
    retry_hosts: Gauge<u64>,
    read_times: Histogram<u64>,
    resent_pieces: Counter<u64>,
    streams: Counter<u64>,
    known_streams: Gauge<u64>,
    caller_bytes: Gauge<u64>,
    poison_parts: Gauge<u64>,
    poison_requests: Gauge<u64>,
    targets_ended: Counter<u64>,
    stages: Histogram<u64>,
    errors: Histogram<u64>,
    calls: Histogram<u64>,
    admissions: Counter<u64>,
    waits: Histogram<u64>,
    load_ages: Histogram<u64>,
    rejected_calls: Counter<u64>,
    room_used: Gauge<u64>,
    room_foreign: Gauge<u64>,
    passed: Counter<u64>,
    tunnels: Counter<u64>,
    connections: Counter<u64>,
    caller_connections: Counter<u64>,
    target_connections: Gauge<u64>,
    connection_quota: Gauge<u64>,
    connection_queue: Gauge<u64>,
    connection_resets: Counter<u64>,
    connection_proofs: Counter<u64>,
    store: Counter<u64>,
    restored: Counter<u64>,
    era: Gauge<u64>,
    notices: Counter<u64>,
    pauses: Histogram<u64>,
    paces: Histogram<u64>,
}

impl Metrics {
    /// Creates the instruments.
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("siskinwheel");
        Ok(Self {
            registry,
            answers: meter.u64_counter("edge_answers").build(),
            time: meter.u64_histogram("edge_answer_ms").build(),
            refusals: meter.u64_counter("edge_refusals").build(),
            sends: meter.u64_counter("edge_sends").build(),
            retries: meter.u64_counter("edge_retries").build(),
            retry_hosts: meter.u64_gauge("edge_retry_hosts").build(),
            read_times: meter.u64_histogram("edge_send_read_ms").build(),
            resent_pieces: meter.u64_counter("edge_pieces_resent").build(),
            streams: meter.u64_counter("edge_streams_went_on").build(),
            known_streams: meter.u64_gauge("edge_known_streams").build(),
            caller_bytes: meter.u64_gauge("edge_caller_bytes").build(),
            poison_parts: meter.u64_gauge("edge_poison_parts").build(),
            poison_requests: meter.u64_gauge("edge_poison_requests").build(),
            targets_ended: meter.u64_counter("edge_targets_ended").build(),
            stages: meter.u64_histogram("edge_stage_ms").build(),
            errors: meter.u64_histogram("edge_prediction_error_ms").build(),
            calls: meter.u64_histogram("edge_call_pieces").build(),
            admissions: meter.u64_counter("edge_admissions").build(),
            waits: meter.u64_histogram("edge_predicted_wait_ms").build(),
            load_ages: meter.u64_histogram("edge_load_age_ms").build(),
            rejected_calls: meter.u64_counter("edge_calls_rejected").build(),
            room_used: meter.u64_gauge("edge_room_used_bytes").build(),
            room_foreign: meter.u64_gauge("edge_room_foreign_bytes").build(),
            passed: meter.u64_counter("edge_passed_on").build(),
            tunnels: meter.u64_counter("edge_tunnels").build(),
            store: meter.u64_counter("edge_store_calls").build(),
            restored: meter.u64_counter("edge_store_restored").build(),
            era: meter.u64_gauge("edge_store_era").build(),
            notices: meter.u64_counter("edge_target_notices").build(),
            pauses: meter.u64_histogram("edge_pause_ms").build(),
            paces: meter.u64_histogram("edge_target_pace_percent").build(),
            connections: meter.u64_counter("edge_connections_refused").build(),
            caller_connections: meter.u64_counter("edge_caller_connections_closed").build(),
            target_connections: meter.u64_gauge("edge_target_connections").build(),
            connection_quota: meter.u64_gauge("edge_connection_quota").build(),
            connection_queue: meter.u64_gauge("edge_connection_queue").build(),
            connection_resets: meter.u64_counter("edge_connection_resets").build(),
            connection_proofs: meter.u64_counter("edge_connection_proofs").build(),
            provider,
        })
    }

    /// Counts a response, or the first event of one, that a caller got after `took`.
    pub(crate) fn answered(&self, route: &str, took: Ms, latency_goal: Ms) {
        let time = if took <= latency_goal { "on_time" } else { "late" };
        let route = KeyValue::new("route", route.to_owned());
        self.answers.add(1, &[route.clone(), KeyValue::new("time", time)]);
        self.time.record(took.0, &[route]);
    }

    /// Counts a request that the host itself refused.
    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a send to a target by its outcome.
    pub(crate) fn sent(&self, route: &str, outcome: &'static str) {
        let route = KeyValue::new("route", route.to_owned());
        self.sends.add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry that a request wanted: `granted` or `denied` by the retry budget.
    pub(crate) fn retry(&self, service: &str, result: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.retries.add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records the number of hosts among which this host divides the slack of the retry budget.
    pub(crate) fn retry_hosts(&self, hosts: usize) {
        self.retry_hosts.record(hosts as u64, &[]);
    }

    /// Records the time from a send until its target was shown to have read it.
    pub(crate) fn send_read(&self, service: &str, took: Ms) {
        self.read_times.record(took.0, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts pieces that are sent to targets once more, by the `cause`.
    pub(crate) fn pieces_resent(&self, service: &str, cause: &'static str, pieces: usize) {
        let service = KeyValue::new("service", service.to_owned());
        self.resent_pieces.add(pieces as u64, &[service, KeyValue::new("cause", cause)]);
    }

    /// Counts a stream that goes on at another run: resumed by this `host` within its answer, or
    /// taken up by its `caller`.
    pub(crate) fn stream_went_on(&self, by: &'static str) {
        self.streams.add(1, &[KeyValue::new("by", by)]);
    }

    /// Records the number of streams whose software version this host knows.
    pub(crate) fn known_streams(&self, streams: usize) {
        self.known_streams.record(streams as u64, &[]);
    }

    /// Records the bytes that are held for those who connect to this host.
    pub(crate) fn caller_bytes(&self, bytes: u64) {
        self.caller_bytes.record(bytes, &[]);
    }

    /// Records the numbers of parts of prompts and of requests that are refused because they end
    /// targets.
    pub(crate) fn quarantined(&self, parts: usize, requests: usize) {
        self.poison_parts.record(parts as u64, &[]);
        self.poison_requests.record(requests as u64, &[]);
    }

    /// Counts an end of a target, by what proves it.
    pub(crate) fn target_ended(&self, proof: &'static str) {
        self.targets_ended.add(1, &[KeyValue::new("proof", proof)]);
    }

    /// Records the time that a stage took from its submission.
    pub(crate) fn stage(&self, service: &str, took: Ms) {
        self.stages.record(took.0, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records the difference between the expected time and the time taken. `what` is a service, or
    /// [`ALL_STAGES`].
    pub(crate) fn predicted(&self, what: &str, expected: Ms, took: Ms) {
        let side = if took > expected { "later" } else { "sooner" };
        let error = took.0.abs_diff(expected.0);
        let what = KeyValue::new("service", what.to_owned());
        self.errors.record(error, &[what, KeyValue::new("side", side)]);
    }

    /// Counts a request with stages: `admitted`, admitted because a load is unknown
    /// (`load_unknown`), or `rejected`.
    pub(crate) fn admission(&self, result: &'static str) {
        self.admissions.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the wait that a new request was predicted to have at a service, and the age of the
    /// load by which it was.
    pub(crate) fn wait_predicted(&self, service: &str, wait: Ms, age: Ms) {
        self.waits.record(wait.0, &[KeyValue::new("service", service.to_owned())]);
        self.load_ages.record(age.0, &[]);
    }

    /// Records the number of pieces of a call that was sent.
    pub(crate) fn call(&self, service: &str, pieces: usize) {
        self.calls.record(pieces as u64, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a call that a target rejected as full, by what it lacked.
    pub(crate) fn call_rejected(&self, service: &str, lack: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.rejected_calls.add(1, &[service, KeyValue::new("lack", lack)]);
    }

    /// Records the memory for results in use at the targets of a service, by this host's calls and
    /// by others, bytes.
    pub(crate) fn room(&self, service: &str, used: u64, foreign: u64) {
        let service = KeyValue::new("service", service.to_owned());
        self.room_used.record(used, std::slice::from_ref(&service));
        self.room_foreign.record(foreign, &[service]);
    }

    /// Counts a call to the platform's store: `read` for the configuration, `list` or `watch` for
    /// targets and other records, `write` for software versions.
    pub(crate) fn store_call(&self, call: &'static str) {
        self.store.add(1, &[KeyValue::new("call", call)]);
    }

    /// Counts a return of the store from an older copy.
    pub(crate) fn store_restored(&self) {
        self.restored.add(1, &[]);
    }

    /// Records the newest era of the store that this host has heard of.
    pub(crate) fn store_era(&self, era: u64) {
        self.era.record(era, &[]);
    }

    /// Counts a change that a target of a service reported about itself.
    pub(crate) fn notice(&self, service: &str, what: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.notices.add(1, &[service, KeyValue::new("what", what)]);
    }

    /// Records the pace that a target of a service reported, percent.
    pub(crate) fn pace(&self, service: &str, percent: u32) {
        self.paces.record(u64::from(percent), &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a stage that was passed on to another region.
    pub(crate) fn passed_on(&self, service: &str) {
        self.passed.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a connection to a target of a service through another host: `opened` or `failed`.
    pub(crate) fn tunnel(&self, service: &str, result: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.tunnels.add(1, &[service, KeyValue::new("result", result)]);
    }

    /// Records a time for which this host did not run.
    pub(crate) fn paused(&self, pause: Ms) {
        self.pauses.record(pause.0, &[]);
    }

    /// Counts a caller's connection that was refused.
    pub(crate) fn refused_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts the end of a caller's connection, by its reason.
    pub(crate) fn caller_connection_closed(&self, end: &'static str) {
        self.caller_connections.add(1, &[KeyValue::new("end", end)]);
    }

    /// Records, for the targets of a service together, the open connections, this host's quota of
    /// them, and how many requests wait for one.
    pub(crate) fn connections_open(&self, service: &str, open: u64, quota: u64, waiting: u64) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.target_connections.record(open, &service);
        self.connection_quota.record(quota, &service);
        self.connection_queue.record(waiting, &service);
    }

    /// Counts a new connection that a target of a service has reset.
    pub(crate) fn connection_reset(&self, service: &str) {
        self.connection_resets.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a health check on a new connection: `proved` or `failed`.
    pub(crate) fn connection_proof(&self, service: &str, result: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.connection_proofs.add(1, &[service, KeyValue::new("result", result)]);
    }

    /// All metrics in Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // A metric family that can't be encoded doesn't affect the others.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }

    /// Shuts the instruments down.
    pub(crate) fn close(&self) {
        // Nothing is buffered: the text is produced on request.
        let _ = self.provider.shutdown();
    }
}
