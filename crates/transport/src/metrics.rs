//! The process's metrics: OpenTelemetry instruments, read out as Prometheus text.

use fulmarpier_state::refusal::Reason;
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        Meter,
        MeterProvider,
        UpDownCounter, //
    },
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::TextEncoder;

/// Bounds in seconds that suit decisions of microseconds as well as waits of minutes.
pub const LATENCY_BOUNDS: &[f64] = &[
    0.000_01, 0.000_05, 0.000_1, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0,
    30.0, 120.0, 600.0,
];

/// The content type of [`Registry::render`].
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The ways in which metrics can fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter could not be built.
    #[error("the metrics can't be set up")]
    Setup(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The instruments could not be read out.
    #[error("the metrics can't be read out")]
    Render(#[from] prometheus::Error),
}

/// All instruments of one process.
#[derive(Clone, Debug)]
pub struct Registry {
    prometheus: prometheus::Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    refusals: Counter<u64>,
    retries: Counter<u64>,
}

impl Registry {
    /// Sets up the metrics of a program, with a counter at zero for each reason of a refusal and for
    /// each of the given reasons of a retry.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::refusal::Reason;
    /// use fulmarpier_transport::metrics::Registry;
    ///
    /// let metrics = Registry::new("gate", &["lost-answer"])?;
    /// metrics.refused(Reason::QueueFull);
    /// assert!(metrics.render()?.contains(r#"reason="queue-full"} 1"#));
    /// # Ok::<(), fulmarpier_transport::metrics::Error>(())
    /// ```
    ///
    /// See also [`Self::refused`] and [`Self::retried`].
    ///
    /// # Errors
    ///
    /// Fails where the exporter can't be built.
    pub fn new(program: &'static str, retries: &[&'static str]) -> Result<Self, Error> {
        let prometheus = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(prometheus.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .without_units()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(program);
        let registry = Self {
            refusals: meter
                .u64_counter("fulmarpier_refusals")
                .with_description("Refusals by reason.")
                .build(),
            retries: meter
                .u64_counter("fulmarpier_retries")
                .with_description("Retries by reason.")
                .build(),
            prometheus,
            provider,
            meter,
        };
        for reason in Reason::ALL {
            registry.refusals.add(0, &[reason_label(reason.word())]);
        }
        for word in retries {
            registry.retries.add(0, &[reason_label(word)]);
        }
        Ok(registry)
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[reason_label(reason.word())]);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: &'static str) {
        self.retries.add(1, &[reason_label(reason)]);
    }

    /// Makes a counter, at zero from the start; `_total` is added to its name.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        let counter = self
            .meter
            .u64_counter(name)
            .with_description(description)
            .build();
        counter.add(0, &[]);
        counter
    }

    /// Makes a gauge.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter
            .u64_gauge(name)
            .with_description(description)
            .build()
    }

    /// Makes a gauge of a time in seconds.
    pub fn seconds(&self, name: &'static str, description: &'static str) -> Gauge<f64> {
        self.meter
            .f64_gauge(name)
            .with_description(description)
            .build()
    }

    /// Makes a counter that also falls, as for requests in progress.
    pub fn level(&self, name: &'static str, description: &'static str) -> UpDownCounter<i64> {
        let level = self
            .meter
            .i64_up_down_counter(name)
            .with_description(description)
            .build();
        level.add(0, &[]);
        level
    }

    /// Makes a histogram of seconds with [`LATENCY_BOUNDS`].
    pub fn histogram(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_description(description)
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build()
    }

    /// Returns all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails where an instrument can't be encoded.
    pub fn render(&self) -> Result<String, Error> {
        let families = self.prometheus.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }

    /// Stops the collection; instruments may still be called and do nothing.
    pub fn close(&self) {
        // A second close fails and changes nothing.
        let _ = self.provider.shutdown();
    }
}

fn reason_label(word: &'static str) -> KeyValue {
    KeyValue::new("reason", word)
}
