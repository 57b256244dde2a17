//! Where metrics are scraped, and sending them by Prometheus remote write.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form};

/// Most series of calls.
pub const MAX_SERIES: u64 = 100_000;

/// Where and how metrics are exported.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// Where they can be scraped; `None`: nowhere.
    pub scrape: Option<SocketAddr>,
    /// Whether calls are counted; else those series stay at zero, which shows what counting costs.
    pub count_calls: bool,
    /// Most series of calls.
    pub max_series: usize,
    /// Remote write; `None`: samples are not sent.
    pub remote_write: Option<RemoteWriteSettings>,
}

/// Prometheus remote write.
#[derive(Clone, Debug, PartialEq)]
pub struct RemoteWriteSettings {
    /// The receiver.
    pub receiver: SocketAddr,
    /// The path of its endpoint.
    pub path: String,
    /// Interval of samples.
    pub sample_interval: Micros,
    /// Labels added to every series.
    pub labels: Vec<Label>,
    /// Folder of the write-ahead log.
    pub wal_folder: PathBuf,
    /// Greatest size of the write-ahead log, bytes.
    pub wal_bytes: u64,
    /// Greatest size of the queue in memory, bytes.
    pub queue_bytes: usize,
    /// Samples older than this are dropped.
    pub max_sample_age: Micros,
    /// Most batches in flight.
    pub shards: usize,
    /// Most samples of a batch.
    pub batch_samples: usize,
    /// Longest wait of a sample for its batch to fill.
    pub batch_age: Micros,
    /// Longest wait for a response.
    pub timeout: Micros,
    /// Wait before version 2.0 is tried again at a receiver that did not understand it; it grows with each attempt, to
    /// twelve times as long.
    pub renegotiate_after: Micros,
    /// Longest time that a controller takes at shutdown to send its last samples.
    pub flush_timeout: Micros,
}

/// A label of a series.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Shortest interval of samples.
const MIN_SAMPLE_INTERVAL: Micros = 10_000;
/// Most batches in flight.
const MAX_SHARDS: u64 = 64;
/// Most samples of a batch.
const MAX_BATCH_SAMPLES: u64 = 100_000;

/// Reads `(figures ...)`.
pub(super) fn metrics(top: &mut Form) -> MetricsSettings {
    let mut form = top.list_or_empty("figures");
    let series = form.value_or("series", 5_000u64);
    if series == 0 || series > MAX_SERIES {
        form.error(format!("(series {series}): from 1 to {MAX_SERIES}"));
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
        form.error("(path ...) begins with / and holds no blanks");
    }
    let sample_interval = form.micros_or("every", 15_000_000);
    let batch_age = form.micros_or("batch-age", 5_000_000);
    if sample_interval < MIN_SAMPLE_INTERVAL {
        form.error("(every ...): 10ms at the least");
    }
    let wal_folder: Option<String> = form.required("spool");
    let (shards, batch) = (form.value_or("shards", 4u64), form.value_or("batch", 2_000u64));
    if !(1..=MAX_SHARDS).contains(&shards) || !(1..=MAX_BATCH_SAMPLES).contains(&batch) {
        form.error("(shards ...) is from 1 to 64, (batch ...) from 1 to 100000");
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
            let valid = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
                && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
            if !valid || name.starts_with("__") {
                label.error(format!("label {name}: letters, digits and _, not a digit first, not __ first"));
            }
        }
        labels.extend(pair);
        label.finish();
    }
    labels
}
