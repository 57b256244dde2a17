//! The export of metrics: the endpoint for scraping, and Prometheus remote write.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form};

/// The upper limit of [`MetricsSettings::max_series`].
pub const MAX_SERIES: u64 = 100_000;

/// The settings of the export of metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// The address at which metrics can be scraped; `None` if there is no such endpoint.
    pub scrape: Option<SocketAddr>,
    /// Whether calls are counted. If not, the series that count calls stay at zero, so that the cost of counting can be
    /// measured by comparison.
    pub count_calls: bool,
    /// The maximum number of series that count calls, from 1 to [`MAX_SERIES`].
    pub max_series: usize,
    /// Prometheus remote write; `None` if samples are not sent.
    pub remote_write: Option<RemoteWriteSettings>,
}

/// The settings of Prometheus remote write. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteWriteSettings {
    /// The address of the receiver.
    pub receiver: SocketAddr,
    /// The path of the receiver's endpoint.
    pub path: String,
    /// The interval at which metrics are sampled.
    pub sample_interval: Micros,
    /// Labels that are added to each series.
    pub labels: Vec<Label>,
    /// The folder of the write-ahead log of unacknowledged samples.
    pub wal_folder: PathBuf,
    /// The maximum size of the write-ahead log, bytes; the oldest samples are dropped.
    pub wal_bytes: u64,
    /// The maximum size of the queue in memory, bytes; the oldest samples are dropped.
    pub queue_bytes: usize,
    /// The age at which samples are dropped.
    pub max_sample_age: Micros,
    /// The maximum number of batches in flight.
    pub shards: usize,
    /// The maximum number of samples in a batch.
    pub batch_samples: usize,
    /// The longest time that a sample waits for its batch to fill.
    pub batch_age: Micros,
    /// The timeout of a request to the receiver.
    pub timeout: Micros,
    /// The time before remote write 2.0 is tried again with a receiver that did not support it. It increases with each
    /// attempt, up to twelve times this value.
    pub renegotiate_after: Micros,
    /// The longest time that the controller spends at shutdown on sending the last samples.
    pub flush_timeout: Micros,
}

/// A label that is added to each series.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// The name of the label.
    pub name: String,
    /// The value of the label.
    pub value: String,
}

/// The shortest interval at which metrics are sampled, microseconds.
const MIN_SAMPLE_INTERVAL: Micros = 10_000;
/// The upper limit of [`RemoteWriteSettings::shards`].
const MAX_SHARDS: u64 = 64;
/// The upper limit of [`RemoteWriteSettings::batch_samples`].
const MAX_BATCH_SAMPLES: u64 = 100_000;

/// Reads `(figures ...)`.
pub(super) fn metrics(top: &mut Form) -> MetricsSettings {
    let mut form = top.list_or_empty("figures");
    let series = form.value_or("series", 5_000u64);
    if series == 0 || series > MAX_SERIES {
        form.error(format!("(series {series}): must be from 1 to {MAX_SERIES}"));
    }
    let remote_write = form.optional_list("push").and_then(remote_write);
    let settings = MetricsSettings {
        scrape: form.optional("scrape"),
        count_calls: form.value_or("count", true),
        max_series: series.clamp(1, MAX_SERIES) as usize,
        remote_write,
    };
    form.finish();
    settings
}

/// Reads `(push ...)`.
fn remote_write(mut form: Form) -> Option<RemoteWriteSettings> {
    let labels = labels(&mut form);
    let receiver = form.required("to");
    let path: String = form.value_or("path", "/api/v1/write".to_owned());
    if !path.starts_with('/') || path.contains(|c: char| c.is_whitespace() || c.is_control()) {
        form.error("(path ...) must begin with / and contain no whitespace or control characters");
    }
    let sample_interval = form.micros_or("every", 15_000_000);
    let batch_age = form.micros_or("batch-age", 5_000_000);
    if sample_interval < MIN_SAMPLE_INTERVAL {
        form.error("(every ...): must be at least 10ms");
    }
    let wal_folder: Option<String> = form.required("spool");
    let (shards, batch) = (form.value_or("shards", 4u64), form.value_or("batch", 2_000u64));
    if !(1..=MAX_SHARDS).contains(&shards) || !(1..=MAX_BATCH_SAMPLES).contains(&batch) {
        form.error("(shards ...) must be from 1 to 64, and (batch ...) from 1 to 100000");
    }
    let settings = RemoteWriteSettings {
        receiver: SocketAddr::from(([127, 0, 0, 1], 0)),
        path,
        sample_interval: sample_interval.max(MIN_SAMPLE_INTERVAL),
        labels,
        wal_folder: PathBuf::new(),
        wal_bytes: form.value_or("spool-size", Bytes(256 << 20)).0.max(1 << 20),
        queue_bytes: form.value_or("queue-size", Bytes(32 << 20)).0.max(64 << 10) as usize,
        max_sample_age: form.micros_or("age", 7_200_000_000),
        shards: shards.clamp(1, MAX_SHARDS) as usize,
        batch_samples: batch.clamp(1, MAX_BATCH_SAMPLES) as usize,
        batch_age,
        timeout: form.micros_or("timeout", 10_000_000),
        renegotiate_after: form.micros_or("ask-again", 300_000_000),
        flush_timeout: form.micros_or("farewell", 2_000_000),
    };
    form.finish();
    Some(RemoteWriteSettings { receiver: receiver?, wal_folder: PathBuf::from(wal_folder?), ..settings })
}

/// Reads all `(label NAME VALUE)`.
fn labels(form: &mut Form) -> Vec<Label> {
    let mut labels = Vec::new();
    for mut label in form.lists("label") {
        let (name, value) =
            (label.required_item::<String>("its name"), label.required_item::<String>("its value"));
        let pair = name.zip(value).map(|(name, value)| Label { name, value });
        if let Some(Label { name, .. }) = &pair {
            let has_valid_characters = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
                && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
            if !has_valid_characters || name.starts_with("__") {
                label.error(format!(
                    "label {name}: write letters, digits and _, with no digit and no __ at the beginning"
                ));
            }
        }
        labels.extend(pair);
        label.finish();
    }
    labels
}
