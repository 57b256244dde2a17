//! The loop of the remote-write thread: samples the registry, sends batches, handles responses, and flushes at
//! shutdown.

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

/// Maximum decompressed size of a record of the log, bytes.
const MAX_RECORD_BYTES: usize = 8 << 20;
/// Longest wait before version 2.0 is tried again, as a multiple of the first wait.
const MAX_RENEGOTIATION_FACTOR: u64 = 12;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A batch that was sent and has no response yet.
struct PendingBatch {
    batch: Batch,
    version: Version,
}

/// Buffers that are reused across iterations of the loop.
#[derive(Default)]
struct Buffers {
    /// Batches to be sent now.
    due: Vec<Batch>,
    /// Lanes whose request has ended, with the response or the error.
    ended: Vec<(usize, Result<Answer, Http1Error>)>,
}

/// State of the remote-write thread.
pub(super) struct WriteLoop {
    settings: RemoteWriteSettings,
    metrics: Arc<Metrics>,
    clock: Clock,
    client: Http1Client,
    queue: Queue<SampleValue>,
    log: SampleLog,
    series: SeriesTable,
    /// Time of the newest samples so far, milliseconds since 1970.
    last_sample_time_ms: i64,
    sample_clock: SampleClock,
    negotiation: Negotiation,
    /// Batches without a response, by lane. Each shard of the queue has a lane, which is an HTTP connection of its own.
    pending_batches: BTreeMap<usize, PendingBatch>,
    /// Number of batches that the receiver accepted and wrote only in part.
    short_writes: u64,
}

impl WriteLoop {
    /// Opens the log, offers the unacknowledged samples of the previous incarnation again, and marks its series as
    /// stale.
    pub(super) fn new(settings: RemoteWriteSettings, metrics: Arc<Metrics>) -> io::Result<Self> {
        let (log, recovered) = SampleLog::open(settings.wal_folder.clone(), settings.wal_bytes)?;
        let clock = Clock::start();
        let limits = Limits {
            shards: settings.shards,
            batch_samples: settings.batch_samples,
            batch_age: settings.batch_age,
            max_bytes: settings.queue_bytes,
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

    /// Returns a handle with which another thread interrupts the wait of the loop.
    pub(super) fn waker(&self) -> Arc<mio::Waker> {
        self.client.waker()
    }

    /// Offers the samples of the previous incarnation to the queue again, and writes staleness markers for its series.
    fn restore(&mut self, records: Vec<RecoveredRecord>) {
        let now = self.clock.now();
        let (mut rosters, mut samples) = (Vec::new(), 0);
        let mut ended: Vec<u64> = Vec::new();
        for RecoveredRecord { position, payload } in records {
            let Ok(series) = remote_write::decode(Version::Two, &payload, MAX_RECORD_BYTES) else {
                // The checksum was verified, so another version of the program wrote this record.
                warn!("unreadable record of the samples' write-ahead log is dropped");
                self.log.discard(position);
                continue;
            };
            let is_roster =
                series.iter().all(|one| one.samples.is_empty() && one.native_histograms.is_empty());
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
        // The wall clock may have been set back since the previous incarnation wrote its samples.
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

    /// Adds the series of a recovered record to the table, and tracks its samples. Returns the numbers of the series.
    fn register_series(&mut self, position: Position, series: &[Series]) -> Vec<u64> {
        let mut numbers = Vec::new();
        let mut times: BTreeMap<i64, usize> = BTreeMap::new();
        for one in series {
            let number = self.series.number(&one.labels, one.kind);
            if let Some(created_ms) = one.created_ms {
                self.series.add_earlier_created(number, created_ms);
            }
            numbers.push(number);
            let natives = one.native_histograms.iter().map(|(at_ms, _)| *at_ms);
            for at_ms in one.samples.iter().map(|(at_ms, _)| *at_ms).chain(natives) {
                *times.entry(at_ms).or_default() += 1;
            }
        }
        for (at_ms, count) in times {
            self.log.track_recovered(at_ms, position, count);
        }
        numbers
    }

    /// Offers recovered samples to the queue. Returns their number.
    fn requeue(&mut self, now: Micros, series: Vec<Series>) -> u64 {
        let mut offered = 0;
        for one in series {
            let number = self.series.number(&one.labels, one.kind);
            let values = one.samples.into_iter().map(|(at_ms, value)| (at_ms, SampleValue::Number(value)));
            let natives = one
                .native_histograms
                .into_iter()
                .map(|(at_ms, value)| (at_ms, SampleValue::Native(Arc::new(value))));
            for (at_ms, value) in values.chain(natives) {
                offered += 1;
                self.last_sample_time_ms = self.last_sample_time_ms.max(at_ms);
                self.queue.offer(now, Sample { series: number, at_ms, value });
            }
        }
        offered
    }

    /// Writes a staleness marker for each of these series.
    fn write_staleness_markers(&mut self, ended: Vec<u64>) {
        if ended.is_empty() {
            return;
        }
        let at_ms = self.next_sample_time();
        let marker = |series: u64| Sample { series, at_ms, value: self.series.stale_value(series) };
        let markers = ended.into_iter().map(marker).collect();
        self.enqueue(markers);
    }

    /// Returns the time for new samples, milliseconds since 1970. It is always later than that of earlier samples.
    fn next_sample_time(&mut self) -> i64 {
        let now = self.sample_clock.now(self.clock.now(), wall());
        self.last_sample_time_ms = millis(now).max(self.last_sample_time_ms.saturating_add(1));
        self.last_sample_time_ms
    }

    /// Writes samples, all of the same time, to the log, and then offers them to the queue.
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

    /// Acknowledges the records whose samples have all left the queue.
    fn complete_samples(&mut self) {
        let completed: Vec<i64> = self.queue.drain_completed().collect();
        for at_ms in completed {
            self.log.complete_sample(at_ms);
        }
    }

    /// Takes a sample of each series of the registry. `first`: this is the first round, which writes the roster.
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
        // Version 1.0 cannot carry native histograms, only classic buckets.
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

    /// Returns the number of a series of this controller, to whose labels those of the settings are added.
    fn own_series(&mut self, mut labels: Vec<(String, String)>, kind: SeriesKind) -> u64 {
        labels.extend(self.settings.labels.iter().map(|label| (label.name.clone(), label.value.clone())));
        labels.sort();
        self.series.number(&labels, kind)
    }

    /// Updates the metrics about remote write itself: its queue, its log, and the protocol version.
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

    /// Samples and sends until `stop` is set. Fails where waiting for responses fails.
    pub(super) fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut next_round = self.clock.now();
        let mut first = true;
        let mut buffers = Buffers::default();
        while !stop.load(Ordering::Acquire) {
            let now = self.clock.now();
            if now >= next_round {
                self.sample_round(std::mem::take(&mut first));
                // Rounds that were missed, as while the machine was suspended, are skipped.
                next_round = next_round.saturating_add(self.settings.sample_interval).max(now);
            }
            self.send_and_poll(next_round, &mut buffers)?;
        }
        Ok(())
    }

    /// Sends the batches that are due, then waits for responses until the next batch is due, or until `until`, and
    /// handles them.
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

    /// Ends a graceful shutdown: takes a last round of samples, writes a staleness marker for each series, and sends
    /// what is queued for up to the flush timeout. Samples that are not sent remain in the log. Where `abandoned` is
    /// set, nothing is flushed.
    pub(super) fn flush(&mut self, abandoned: &AtomicBool) -> io::Result<()> {
        if !abandoned.load(Ordering::Acquire) {
            self.sample_round(false);
            self.write_staleness_markers(self.series.numbers());
            // The markers are in the log now, so the next incarnation does not need the roster.
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
            // The batch holds only native histograms, sampled before the fallback to 1.0, which cannot carry them.
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
            // Encoding would fail again, so the batch is rejected instead of being retried.
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
