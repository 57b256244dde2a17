//! Where metrics are scraped, and pushing them by Prometheus remote write.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form};

/// Most series of calls.
pub const MOST_SERIES: u64 = 100_000;

/// Where and how figures are given.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Where they can be scraped; `None`: nowhere.
    pub scrape: Option<SocketAddr>,
    /// What happens to calls is counted; else those series stay at zero. For measuring what counting costs.
    pub count: bool,
    /// Series of calls at the most.
    pub series: usize,
    /// Pushing; `None`: they are not pushed.
    pub push: Option<Push>,
}

/// Pushing by Prometheus remote write.
#[derive(Clone, Debug, PartialEq)]
pub struct Push {
    /// The receiver.
    pub to: SocketAddr,
    /// Its path.
    pub path: String,
    /// How often figures are sampled.
    pub every: Micros,
    /// Labels added to every series.
    pub labels: Vec<(String, String)>,
    /// Folder of the spool.
    pub spool: PathBuf,
    /// Bytes of it at the most.
    pub spool_bytes: u64,
    /// Bytes of the queue in memory at the most.
    pub queue_bytes: usize,
    /// Samples older than this are dropped.
    pub age: Micros,
    /// Batches out at once at the most.
    pub shards: usize,
    /// Samples of a batch at the most.
    pub batch: usize,
    /// A sample waits so long at the most for its batch to fill.
    pub batch_age: Micros,
    /// An answer that takes longer has not come.
    pub timeout: Micros,
    /// A receiver that did not understand version 2.0 is asked again after so long, then ever more seldom, up to
    /// twelve times as long.
    pub ask_again: Micros,
    /// A controller that ends in order tries for so long to deliver its last samples.
    pub farewell: Micros,
}

/// Reads `(figures ...)`.
pub(super) fn figures(top: &mut Form) -> Figures {
    let mut form = top.group("figures");
    let series = form.or("series", 5_000u64);
    if series == 0 || series > MOST_SERIES {
        form.fault(format!("(series {series}): from 1 to {MOST_SERIES}"));
    }
    let push = form.sub("push").and_then(push);
    let series = series.clamp(1, MOST_SERIES) as usize;
    let figures = Figures { scrape: form.get("scrape"), count: form.or("count", true), series, push };
    form.end();
    figures
}

/// Reads `(push ...)`.
fn push(mut form: Form) -> Option<Push> {
    let labels = labels(&mut form);
    let to = form.must("to");
    let path: String = form.or("path", "/api/v1/write".to_owned());
    if !path.starts_with('/') || path.contains(|c: char| c.is_whitespace() || c.is_control()) {
        form.fault("(path ...) begins with / and holds no blanks");
    }
    let (every, batch_age) = (form.span_or("every", 15_000_000), form.span_or("batch-age", 5_000_000));
    if every < 10_000 {
        form.fault("(every ...): 10ms at the least");
    }
    let spool: Option<String> = form.must("spool");
    let (shards, batch) = (form.or("shards", 4u64), form.or("batch", 2_000u64));
    if shards == 0 || shards > 64 || batch == 0 || batch > 100_000 {
        form.fault("(shards ...) is from 1 to 64, (batch ...) from 1 to 100000");
    }
    let push = Push {
        to: SocketAddr::from(([127, 0, 0, 1], 0)),
        path,
        every: every.max(10_000),
        labels,
        spool: PathBuf::new(),
        spool_bytes: form.or("spool-size", Bytes(256 << 20)).0.max(1 << 20),
        queue_bytes: form.or("queue-size", Bytes(32 << 20)).0.max(64 << 10) as usize,
        age: form.span_or("age", 7_200_000_000),
        shards: shards.clamp(1, 64) as usize,
        batch: batch.clamp(1, 100_000) as usize,
        batch_age,
        timeout: form.span_or("timeout", 10_000_000),
        ask_again: form.span_or("ask-again", 300_000_000),
        farewell: form.span_or("farewell", 2_000_000),
    };
    form.end();
    Some(Push { to: to?, spool: PathBuf::from(spool?), ..push })
}

/// Reads all `(label NAME VALUE)`.
fn labels(form: &mut Form) -> Vec<(String, String)> {
    let mut labels = Vec::new();
    for mut label in form.all("label") {
        let pair = label.want::<String>("its name").zip(label.want::<String>("its value"));
        if let Some((name, _)) = &pair {
            let sound = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
                && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
            if !sound || name.starts_with("__") {
                label.fault(format!("label {name}: letters, digits and _, not a digit first, not __ first"));
            }
        }
        labels.extend(pair);
        label.end();
    }
    labels
}
