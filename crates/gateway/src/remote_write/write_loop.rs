//! The loop of the remote-write thread: rounds of samples, batches, responses, and the flush at shutdown.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nettleferry::Micros;
use nettleferry_config::settings::RemoteWriteSettings;
use nettleferry_metrics::{LATENCY_NAME, Metrics, RemoteWriteState, sample};
use nettleferry_net::clock::{Clock, wall};
use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use nettleferry_proto::remote_write::{self, NativeHistogram, Series, SeriesKind, Version};
use nettleferry_remote_write::{
    Acceptance, Backoff, Limits, Negotiation, ProtocolVersion, Queue, Response, SampleClock,
};
use nettleferry_wal::{Position, RecoveredRecord};
use tracing::{info, warn};

use super::log::{MAX_RECORD_SERIES, SampleLog};
use super::response::InterpretedResponse;
use super::sample::{Batch, Sample, SampleValue};
use super::series::SeriesTable;

/// Most bytes that a record of the log may decompress to.
const MAX_RECORD_BYTES: usize = 8 << 20;
/// The longest wait before version 2.0 is tried again, in first waits.
const MAX_RENEGOTIATION_FACTOR: u64 = 12;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A batch that waits for its response.
struct PendingBatch {
    batch: Batch,
    version: Version,
}

/// Buffers that are used again with each step.
#[derive(Default)]
struct Buffers {
    due: Vec<Batch>,
    ended: Vec<(usize, Result<Answer, Http1Error>)>,
}

/// The state of the thread.
pub(super) struct WriteLoop {
    settings: RemoteWriteSettings,
    metrics: Arc<Metrics>,
    clock: Clock,
    client: Http1Client,
    queue: Queue<SampleValue>,
    log: SampleLog,
    series: SeriesTable,
    /// The time of the last round, milliseconds since 1970.
    last_sample_time_ms: i64,
    sample_clock: SampleClock,
    negotiation: Negotiation,
    /// By lane.
    pending_batches: BTreeMap<usize, PendingBatch>,
    /// Batches of which the receiver wrote less than it accepted.
    short_writes: u64,
}

impl WriteLoop {
    /// Opens the log, and restores what the last incarnation left.
    pub(super) fn new(settings: RemoteWriteSettings, metrics: Arc<Metrics>) -> io::Result<Self> {
        let (log, recovered) = SampleLog::open(settings.wal_folder.clone(), settings.wal_bytes)?;
        let clock = Clock::start();
        let limits = Limits {
            shards: settings.shards,
            batch_samples: settings.batch_samples,
            batch_age: settings.batch_age,
            bytes: settings.queue_bytes,
            max_age: settings.max_sample_age,
            ..Limits::default()
        };
        let queue = Queue::new(limits, rand::random());
        let timeout = Duration::from_micros(settings.timeout);
        let client = Http1Client::new(settings.receiver, settings.shards, timeout)?;
        let first = settings.renegotiate_after;
        let backoff = Backoff { first, max: first.saturating_mul(MAX_RENEGOTIATION_FACTOR) };
        let mut write_loop = Self {
            settings,
            metrics,
            clock,
            client,
            queue,
            log,
            series: SeriesTable::new(),
            last_sample_time_ms: i64::MIN,
            sample_clock: SampleClock::new(clock.now(), wall(), 0),
            negotiation: Negotiation::new(backoff),
            pending_batches: BTreeMap::new(),
            short_writes: 0,
        };
        write_loop.restore(recovered);
        Ok(write_loop)
    }

    /// Ends the wait of the loop from another thread.
    pub(super) fn waker(&self) -> Arc<mio::Waker> {
        self.client.waker()
    }

    /// Offers the samples of the last incarnation again, and closes its series.
    fn restore(&mut self, records: Vec<RecoveredRecord>) {
        let now = self.clock.now();
        let (mut rosters, mut samples) = (Vec::new(), 0);
        let mut ended: Vec<u64> = Vec::new();
        for RecoveredRecord { position, payload } in records {
            let Ok(series) = remote_write::decode(Version::Two, &payload, MAX_RECORD_BYTES) else {
                // Its checksum is right: another version of the program wrote it.
                warn!("unreadable record of the samples' write-ahead log is dropped");
                self.log.discard(position);
                continue;
            };
            let is_roster = series.iter().all(|one| one.samples.is_empty() && one.natives.is_empty());
            let numbers = self.register_series(position, &series);
            if is_roster {
                ended.extend(numbers);
            }
            samples += self.requeue(now, series);
            if is_roster {
                rosters.push(position);
            }
        }
        if samples > 0 {
            info!(samples, "samples of the last incarnation are sent again");
        }
        // The wall clock may have stepped back between the incarnations.
        let last = u64::try_from(self.last_sample_time_ms).map_or(0, |ms| ms.saturating_mul(1000));
        self.sample_clock = SampleClock::new(now, wall(), last);
        ended.sort_unstable();
        ended.dedup();
        self.write_staleness_markers(ended);
        for roster in rosters {
            self.log.acknowledge(roster);
        }
        self.series.created_ms = self.next_sample_time();
    }

    /// Adds the series of a recovered record, and tracks its samples. Returns the numbers of the series.
    fn register_series(&mut self, position: Position, series: &[Series]) -> Vec<u64> {
        let mut numbers = Vec::new();
        let mut times: BTreeMap<i64, usize> = BTreeMap::new();
        for one in series {
            let number = self.series.number(&one.labels, one.kind);
            if let Some(created_ms) = one.created_ms {
                self.series.add_earlier_created(number, created_ms);
            }
            numbers.push(number);
            let natives = one.natives.iter().map(|(at_ms, _)| *at_ms);
            for at_ms in one.samples.iter().map(|(at_ms, _)| *at_ms).chain(natives) {
                *times.entry(at_ms).or_default() += 1;
            }
        }
        for (at_ms, count) in times {
            self.log.track_recovered(at_ms, position, count);
        }
        numbers
    }

    /// Offers recovered samples to the queue. Returns how many.
    fn requeue(&mut self, now: Micros, series: Vec<Series>) -> u64 {
        let mut offered = 0;
        for one in series {
            let number = self.series.number(&one.labels, one.kind);
            let values = one.samples.into_iter().map(|(at_ms, value)| (at_ms, SampleValue::Number(value)));
            let natives =
                one.natives.into_iter().map(|(at_ms, value)| (at_ms, SampleValue::Native(Arc::new(value))));
            for (at_ms, value) in values.chain(natives) {
                offered += 1;
                self.last_sample_time_ms = self.last_sample_time_ms.max(at_ms);
                self.queue.offer(now, Sample { series: number, at_ms, value });
            }
        }
        offered
    }

    /// Writes staleness markers for series that have ended.
    fn write_staleness_markers(&mut self, ended: Vec<u64>) {
        if ended.is_empty() {
            return;
        }
        let at_ms = self.next_sample_time();
        let marker = |series: u64| Sample { series, at_ms, value: self.series.stale_value(series) };
        let markers = ended.into_iter().map(marker).collect();
        self.enqueue(markers);
    }

    /// The time of a round, which is later than that of the last one.
    fn next_sample_time(&mut self) -> i64 {
        let now = self.sample_clock.now(self.clock.now(), wall());
        self.last_sample_time_ms = millis(now).max(self.last_sample_time_ms.saturating_add(1));
        self.last_sample_time_ms
    }

    /// Writes samples of one time to the log, and then offers them to the queue.
    fn enqueue(&mut self, samples: Vec<Sample>) {
        let now = self.clock.now();
        for part in samples.chunks(MAX_RECORD_SERIES) {
            let series = self.series.to_series(part);
            self.log.append_samples(part[0].at_ms, &series, part.len());
        }
        self.log.sync();
        for sample in samples {
            self.queue.offer(now, sample);
        }
        self.complete_samples();
    }

    /// Acknowledges records whose samples have left the queue.
    fn complete_samples(&mut self) {
        let completed: Vec<i64> = self.queue.drain_completed().collect();
        for at_ms in completed {
            self.log.complete_sample(at_ms);
        }
    }

    /// Samples the registry.
    fn sample_round(&mut self, first: bool) {
        self.update_metrics();
        let Ok(text) = self.metrics.text() else { return };
        let at_ms = self.next_sample_time();
        let mut samples = Vec::new();
        for parsed in sample::parse(&text) {
            let kind = match parsed.kind {
                sample::SeriesKind::Counter => SeriesKind::Counter,
                sample::SeriesKind::Gauge => SeriesKind::Gauge,
                sample::SeriesKind::Histogram => SeriesKind::Histogram,
            };
            let series = self.own_series(parsed.labels, kind);
            samples.push(Sample { series, at_ms, value: SampleValue::Number(parsed.value) });
        }
        // The plain version carries classic buckets alone.
        if self.negotiation.version() == ProtocolVersion::Preferred {
            self.sample_native_histograms(at_ms, &mut samples);
        }
        if first || self.log.is_roster_outdated() {
            self.log.write_roster(self.series.to_series(&samples));
        }
        self.enqueue(samples);
    }

    fn sample_native_histograms(&mut self, at_ms: i64, samples: &mut Vec<Sample>) {
        let metrics = Arc::clone(&self.metrics);
        for (class, histogram) in metrics.native_histograms() {
            let labels = [("__name__", LATENCY_NAME), ("class", class)];
            let labels = labels.map(|(name, value)| (name.to_owned(), value.to_owned())).to_vec();
            let series = self.own_series(labels, SeriesKind::Histogram);
            let nettleferry_metrics::NativeHistogram { schema, count, sum, buckets } = histogram;
            let native = NativeHistogram { schema, count, sum, buckets };
            samples.push(Sample { series, at_ms, value: SampleValue::Native(Arc::new(native)) });
        }
    }

    /// The number of a series of this controller, with the labels of the settings.
    fn own_series(&mut self, mut labels: Vec<(String, String)>, kind: SeriesKind) -> u64 {
        labels.extend(self.settings.labels.iter().map(|label| (label.name.clone(), label.value.clone())));
        labels.sort();
        self.series.number(&labels, kind)
    }

    /// Updates the metrics of remote write itself.
    fn update_metrics(&self) {
        let c = self.queue.counters();
        self.metrics.set_remote_write(&RemoteWriteState {
            samples: [
                c.accepted,
                c.rejected,
                c.dropped_full,
                c.dropped_old,
                c.dropped_order,
                c.dropped_series,
            ],
            retries: c.retries,
            waiting_samples: self.queue.len(),
            oldest_age_seconds: self.queue.oldest_age(self.clock.now()) / MICROS_PER_SECOND,
            version_changes: self.negotiation.changes(),
            splits: c.splits,
            short_writes: self.short_writes,
            clock_offset_seconds: self.sample_clock.offset() as f64 / MICROS_PER_SECOND as f64,
        });
        self.metrics.set_wal(&self.log.state());
    }

    /// Runs until it is told to stop.
    pub(super) fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut next_round = self.clock.now();
        let mut first = true;
        let mut buffers = Buffers::default();
        while !stop.load(Ordering::Acquire) {
            let now = self.clock.now();
            if now >= next_round {
                self.sample_round(std::mem::take(&mut first));
                // Rounds missed while the machine slept are not made up for.
                next_round = next_round.saturating_add(self.settings.sample_interval).max(now);
            }
            self.send_and_poll(next_round, &mut buffers)?;
        }
        Ok(())
    }

    /// Sends what is due, and handles responses until something else is due, at `until` at the latest.
    fn send_and_poll(&mut self, until: Micros, buffers: &mut Buffers) -> io::Result<()> {
        self.queue.due(self.clock.now(), &mut buffers.due);
        for batch in buffers.due.drain(..) {
            self.send(batch);
        }
        self.complete_samples();
        let now = self.clock.now();
        let next = self.queue.next_due(now).map_or(until, |at| at.min(until));
        let wait = Duration::from_micros(next.saturating_sub(now));
        self.client.poll(Some(wait), &mut buffers.ended)?;
        for (lane, result) in buffers.ended.drain(..) {
            self.handle_result(lane, result);
        }
        self.complete_samples();
        Ok(())
    }

    /// Flushes at a graceful shutdown: the samples since the last round, the staleness marker of each series, and some
    /// time to send them. What is not sent stays in the log.
    pub(super) fn flush(&mut self, abandoned: &AtomicBool) -> io::Result<()> {
        if !abandoned.load(Ordering::Acquire) {
            self.sample_round(false);
            self.write_staleness_markers(self.series.numbers());
            // The markers are as durable as the roster was.
            self.log.drop_roster();
            self.queue.flush();
            let until = self.clock.now() + self.settings.flush_timeout;
            let mut buffers = Buffers::default();
            while !self.queue.is_empty() && self.clock.now() < until && !abandoned.load(Ordering::Acquire) {
                self.send_and_poll(until, &mut buffers)?;
            }
            if !self.queue.is_empty() {
                info!(samples = self.queue.len(), "samples are not sent: the next incarnation sends them");
            }
        }
        self.log.sync();
        Ok(())
    }

    fn send(&mut self, batch: Batch) {
        let lane = batch.shard;
        let version = match self.negotiation.next_version(self.clock.now(), lane) {
            ProtocolVersion::Preferred => Version::Two,
            ProtocolVersion::Plain => Version::One,
        };
        let series = self.series.to_series(&batch.samples);
        let empty = version == Version::One && series.iter().all(|one| one.samples.is_empty());
        match remote_write::encode(version, &series) {
            // Native histograms from before a fallback to 1.0, which can't carry them.
            Ok(_) if empty => {
                self.queue.handle_response(self.clock.now(), lane, batch.number, Response::Accepted);
            }
            Ok(body) => {
                let headers = [
                    ("Content-Type", version.content_type()),
                    ("Content-Encoding", "snappy"),
                    ("X-Prometheus-Remote-Write-Version", version.header()),
                    ("User-Agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION"))),
                ];
                self.client.post(lane, &self.settings.path, &headers, &body);
                self.pending_batches.insert(lane, PendingBatch { batch, version });
            }
            // What can't be encoded now can't be encoded later.
            Err(_) => {
                let now = self.clock.now();
                self.negotiation.handle_response(now, lane, Acceptance::Unknown);
                self.queue.handle_response(now, lane, batch.number, Response::Rejected);
            }
        }
    }

    fn handle_result(&mut self, lane: usize, result: Result<Answer, Http1Error>) {
        let Some(PendingBatch { batch, version }) = self.pending_batches.remove(&lane) else { return };
        let now = self.clock.now();
        let interpreted = match &result {
            Ok(answer) => InterpretedResponse::from_answer(answer, &batch, version),
            Err(_) => InterpretedResponse::no_response(),
        };
        self.short_writes += u64::from(interpreted.short_write);
        let before = self.negotiation.version();
        self.negotiation.handle_response(now, lane, interpreted.acceptance);
        match (before, self.negotiation.version()) {
            (ProtocolVersion::Preferred, ProtocolVersion::Plain) => {
                info!("receiver does not understand remote write 2.0: falling back to 1.0");
            }
            (ProtocolVersion::Plain, ProtocolVersion::Preferred) => {
                info!("receiver understands remote write 2.0");
            }
            _ => {}
        }
        self.queue.handle_response(now, lane, batch.number, interpreted.response);
        if let Ok(answer) = &result
            && matches!(interpreted.response, Response::Rejected | Response::Invalid)
        {
            let (status, samples) = (answer.status, batch.samples.len());
            let first = batch.samples.first().and_then(|sample| self.series.get(sample.series));
            warn!(status, samples, first = ?first.map(|known| &known.labels), "receiver rejected a batch or a part of one");
        }
    }
}

fn millis(micros: Micros) -> i64 {
    i64::try_from(micros / 1000).unwrap_or(i64::MAX)
}
