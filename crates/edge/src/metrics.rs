//! What an edge host counts, as Prometheus text.

use base::Ms;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Name under which the error of a request's stages together is counted.
pub(crate) const ALL_STAGES: &str = "all";

/// The host's instruments. Labels are bounded by the declared routes and services.
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    answers: Counter<u64>,
    time: Histogram<u64>,
    refusals: Counter<u64>,
    sends: Counter<u64>,
    stages: Histogram<u64>,
    errors: Histogram<u64>,
    calls: Histogram<u64>,
    passed: Counter<u64>,
    connections: Counter<u64>,
    store: Counter<u64>,
    notices: Counter<u64>,
}

impl Metrics {
    /// Sets the instruments up.
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
            stages: meter.u64_histogram("edge_stage_ms").build(),
            errors: meter.u64_histogram("edge_prediction_error_ms").build(),
            calls: meter.u64_histogram("edge_call_pieces").build(),
            passed: meter.u64_counter("edge_passed_on").build(),
            store: meter.u64_counter("edge_store_calls").build(),
            notices: meter.u64_counter("edge_target_notices").build(),
            connections: meter.u64_counter("edge_connections_refused").build(),
            provider,
        })
    }

    /// A caller got its answer, or the first event of it, after `took`.
    pub(crate) fn answered(&self, route: &str, took: Ms, aim: Ms) {
        let time = if took <= aim { "on_time" } else { "late" };
        let route = KeyValue::new("route", route.to_owned());
        self.answers.add(1, &[route.clone(), KeyValue::new("time", time)]);
        self.time.record(took.0, &[route]);
    }

    /// A caller got an answer of the system's own.
    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// A send to a target ended so.
    pub(crate) fn sent(&self, route: &str, outcome: &'static str) {
        let route = KeyValue::new("route", route.to_owned());
        self.sends.add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// A stage took so long from handing it in.
    pub(crate) fn stage(&self, service: &str, took: Ms) {
        self.stages.record(took.0, &[KeyValue::new("service", service.to_owned())]);
    }

    /// What was expected to take `expected` took `took`. `what` is a service, or [`ALL_STAGES`].
    pub(crate) fn predicted(&self, what: &str, expected: Ms, took: Ms) {
        let side = if took > expected { "later" } else { "sooner" };
        let error = took.0.abs_diff(expected.0);
        let what = KeyValue::new("service", what.to_owned());
        self.errors.record(error, &[what, KeyValue::new("side", side)]);
    }

    /// A call with so many pieces was sent.
    pub(crate) fn call(&self, service: &str, pieces: usize) {
        self.calls.record(pieces as u64, &[KeyValue::new("service", service.to_owned())]);
    }

    /// The platform's store was called: `read` of the configuration, `list` or `watch` of targets.
    pub(crate) fn store_call(&self, call: &'static str) {
        self.store.add(1, &[KeyValue::new("call", call)]);
    }

    /// A target of a service said something of itself that was news.
    pub(crate) fn notice(&self, service: &str, what: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        self.notices.add(1, &[service, KeyValue::new("what", what)]);
    }

    /// A stage was passed on to another region.
    pub(crate) fn passed_on(&self, service: &str) {
        self.passed.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// A caller's connection was turned away.
    pub(crate) fn refused_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// All of it.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // A family that can't be encoded leaves the others readable.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }

    /// Stops the instruments.
    pub(crate) fn close(&self) {
        // Nothing is buffered: the text is made when it is asked for.
        let _ = self.provider.shutdown();
    }
}
