//! Metrics of the host, exported in the Prometheus text format.

use base::Ms;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use wire::StageCost;

/// The host's instruments.
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    answers: Counter<u64>,
    malformed: Counter<u64>,
    duration: Histogram<u64>,
    stage_run: Histogram<u64>,
    stage_cost: Counter<f64>,
    crossed: Counter<u64>,
    mismatches: Counter<u64>,
    dropped: Counter<u64>,
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
            answers: meter.u64_counter("requests").build(),
            malformed: meter.u64_counter("requests_malformed").build(),
            duration: meter.u64_histogram("request_ms").build(),
            stage_run: meter.u64_histogram("stage_run_ms").build(),
            stage_cost: meter.f64_counter("stage_cost").build(),
            crossed: meter.u64_counter("stage_crossed_bytes").build(),
            mismatches: meter.u64_counter("answers_mismatched").build(),
            dropped: meter.u64_counter("pieces_dropped").build(),
            provider,
        })
    }

    /// Counts a final reply by result: `whole`, `replayed` or the code of a refusal. The share of
    /// `whole` and `replayed` is the share of requests that met their deadline, since an answer
    /// past its deadline is a refusal.
    pub(crate) fn answered(&self, pipeline: &str, result: &'static str, took: Ms) {
        let labels =
            [KeyValue::new("pipeline", pipeline.to_owned()), KeyValue::new("result", result)];
        self.answers.add(1, &labels);
        self.duration.record(took.0, &labels);
    }

    /// Counts a request that was rejected as invalid.
    pub(crate) fn malformed(&self, code: &'static str) {
        self.malformed.add(1, &[KeyValue::new("code", code)]);
    }

    /// Records the run time, cost and transfer of a stage that ended with a result.
    pub(crate) fn stage(&self, pipeline: &str, cost: &StageCost) {
        let labels = [
            KeyValue::new("pipeline", pipeline.to_owned()),
            KeyValue::new("stage", cost.stage.clone()),
        ];
        self.stage_run.record(cost.run_ms, &labels);
        self.stage_cost.add(cost.cost, &labels);
        self.crossed.add(cost.crossed_bytes, &labels);
    }

    /// Counts a response that belongs to another request or attempt.
    pub(crate) fn mismatch(&self) {
        self.mismatches.add(1, &[]);
    }

    /// Counts a late or duplicate piece that was dropped.
    pub(crate) fn dropped(&self) {
        self.dropped.add(1, &[]);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // An error in one metric family is ignored, so that the others remain readable.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }

    /// Stops the instruments.
    pub(crate) fn close(&self) {
        // The error can be ignored: nothing is buffered, since the text is produced on request.
        let _ = self.provider.shutdown();
    }
}
