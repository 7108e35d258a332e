//! The process's own clock, log and metrics.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    time::Duration,
};

use fulmarpier_state::{
    clock::Timestamp,
    refusal::Reason, //
};
use fulmarpier_transport::{
    clock::Clock,
    log::{
        Level,
        Log, //
    },
    metrics::Registry,
};

#[tokio::test(start_paused = true)]
async fn the_clock_follows_the_runtime() {
    let clock = Clock::at(Timestamp::from_millis(1_000));
    tokio::time::advance(Duration::from_millis(250)).await;
    assert_eq!(clock.now(), Timestamp::from_millis(1_250));
    let later = Timestamp::from_millis(4_000);
    tokio::time::sleep_until(clock.instant(later)).await;
    assert_eq!(clock.now().as_millis(), 4_000);
    assert!(clock.instant(Timestamp::MAX) > clock.instant(later));
}

/// Collects what is written.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn each_event_is_one_line_of_pairs() {
    let sink = Sink::default();
    let log = Log::to(sink.clone(), "gate", Level::Info);
    slog::info!(log.logger(), "drained"; "open" => 0, "why" => "an order\nof the operator");
    slog::debug!(log.logger(), "too fine");
    drop(log);
    let text = String::from_utf8(sink.0.lock().expect("a lock").clone()).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    for pair in ["level=INFO", "msg=drained", "program=gate", "open=0"] {
        assert!(text.contains(pair), "{text}");
    }
}

/// Blocks each write until told to go on.
struct Blocked(mpsc::Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is gone, writes pass.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_that_can_not_keep_up_counts_what_it_drops() {
    let (go, wait) = mpsc::channel();
    let log = Log::to(Blocked(wait), "gate", Level::Info);
    for n in 0..10_000 {
        slog::info!(log.logger(), "flood"; "n" => n);
    }
    let dropped = log.dropped();
    assert!((1..10_000).contains(&dropped), "{dropped}");
    drop(go);
}

#[test]
fn every_reason_has_its_counter_from_the_start() {
    let metrics = Registry::new("gate", &["lost-answer"]).expect("metrics");
    metrics.refused(Reason::QueueFull);
    metrics.retried("lost-answer");
    let histogram = metrics.histogram("fulmarpier_wait_seconds", "Waiting time.");
    histogram.record(0.0004, &[]);
    let text = metrics.render().expect("text");
    for reason in Reason::ALL {
        let count = u8::from(*reason == Reason::QueueFull);
        let line = format!("fulmarpier_refusals_total{{reason=\"{reason}\"}} {count}");
        assert!(text.contains(&line), "no {line} in\n{text}");
    }
    assert!(
        text.contains("fulmarpier_retries_total{reason=\"lost-answer\"} 1"),
        "{text}"
    );
    assert!(
        text.contains("fulmarpier_wait_seconds_bucket{le=\"0.0005\"} 1"),
        "{text}"
    );
}
