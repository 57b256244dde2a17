//! Pushes the figures by Prometheus remote write, in a thread that can hold up no call. What is kept, sent,
//! dropped and tried again is decided by `nettleferry-remote-write`; what survives a crash by `nettleferry-wal`. Here
//! they are wired to the clock, the disk and the socket.
//!
//! A round: the registry is read, written to the spool as one record (or some, where it is long), offered to the
//! queue. A record is acknowledged when the last of its samples is gone from the queue. At the start what was
//! not acknowledged is offered again with its old times and values; the series of the last life, which the
//! spool keeps as a record without samples, get a staleness marker; then new rounds begin with a new created
//! timestamp. Nothing is written for the time away. A life that ends in order writes a last round and the
//! markers itself, and tries for `farewell` to deliver them.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use nettleferry::Micros;
use nettleferry_config::settings::RemoteWriteSettings;
use nettleferry_metrics::{LATENCY_NAME, Metrics, RemoteWriteState, WalState, sample};
use nettleferry_net::post::{Answer as Heard, PostError, Poster};
use nettleferry_proto::remote_write::{self, NativeHistogram, Series, SeriesKind, Version};
use nettleferry_remote_write::{
    Acceptance, Backoff, HeapSize, Limits, Negotiation, ProtocolVersion, Queue, RecordTracker, Response,
    SampleClock,
};
use nettleferry_wal::{
    DirectoryStorage, Limits as WalLimits, Position, RecoveredRecord, WalError, WriteAheadLog,
};
use tracing::{info, warn};

use nettleferry_net::clock::{Clock, wall};

type Sample = nettleferry_remote_write::Sample<Value>;
type Batch = nettleferry_remote_write::Batch<Value>;

/// Series of one spool record at the most: bounds its length.
const RECORD_SERIES: usize = 2_000;
/// Bytes that a record of the spool may unpack to.
const MOST_RECORD: usize = 8 << 20;

/// What a sample tells.
#[derive(Clone, Debug)]
enum Value {
    Number(f64),
    Native(Arc<NativeHistogram>),
}

impl HeapSize for Value {
    fn heap_size(&self) -> usize {
        match self {
            Self::Number(_) => 0,
            Self::Native(native) => {
                size_of::<NativeHistogram>() + native.buckets.len() * size_of::<(i32, u64)>()
            }
        }
    }
}

/// The push's thread. Dropped, it ends as a life ends in order; see [`Pusher::abandon`].
pub struct Pusher {
    told: Arc<AtomicBool>,
    /// No last words.
    abandoned: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Pusher {
    /// Starts it. A spool that can't be opened is an error: the operator told us to keep samples there.
    pub fn start(settings: RemoteWriteSettings, metrics: Arc<Metrics>) -> io::Result<Self> {
        let mut work = Work::new(settings, metrics)?;
        let (told, abandoned) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let waker = work.poster.waker();
        let (stop, at_once) = (Arc::clone(&told), Arc::clone(&abandoned));
        let thread = std::thread::Builder::new().name("push".to_owned()).spawn(move || {
            if let Err(error) = work.run(&stop).and_then(|()| work.farewell(&at_once)) {
                warn!(%error, "pushing has ended");
            }
        })?;
        Ok(Self { told, abandoned, waker, thread: Some(thread) })
    }

    /// Ends it without last words: what is not acknowledged is sent by the next life, which closes the series.
    pub fn abandon(self) {
        self.abandoned.store(true, Ordering::Release);
    }
}

impl Drop for Pusher {
    fn drop(&mut self) {
        self.told.store(true, Ordering::Release);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Known {
    labels: Vec<(String, String)>,
    kind: SeriesKind,
    /// A series of native histograms.
    native: bool,
    /// Created timestamps of earlier lives of which samples are kept, in order.
    before: Vec<i64>,
}

struct Work {
    settings: RemoteWriteSettings,
    metrics: Arc<Metrics>,
    clock: Clock,
    poster: Poster,
    queue: Queue<Value>,
    spool: WriteAheadLog<DirectoryStorage>,
    record_tracker: RecordTracker<Position>,
    series: Vec<Known>,
    numbers: HashMap<Vec<(String, String)>, u64>,
    /// This life's counters began then.
    created_ms: i64,
    last_ms: i64,
    sample_clock: SampleClock,
    negotiation: Negotiation,
    /// What is out on a lane, and in which version.
    out: BTreeMap<usize, (Batch, Version)>,
    /// Batches of which the receiver wrote less than it took.
    short: u64,
    spool_ails: bool,
    spool_failures: u64,
    roster: Vec<Position>,
}

impl Work {
    fn new(settings: RemoteWriteSettings, metrics: Arc<Metrics>) -> io::Result<Self> {
        let limits =
            WalLimits { bytes: settings.wal_bytes, segment_bytes: (settings.wal_bytes / 16).max(1 << 16) };
        let disk = DirectoryStorage::open(settings.wal_folder.clone())?;
        let (spool, found) = WriteAheadLog::open(disk, limits).map_err(|e| match e {
            WalError::Io(error) => error,
            other => io::Error::other(other.to_string()),
        })?;
        let clock = Clock::start();
        let queue = Queue::new(
            Limits {
                shards: settings.shards,
                batch_samples: settings.batch_samples,
                batch_age: settings.batch_age,
                bytes: settings.queue_bytes,
                max_age: settings.max_sample_age,
                ..Limits::default()
            },
            rand::random(),
        );
        let poster =
            Poster::new(settings.receiver, settings.shards, Duration::from_micros(settings.timeout))?;
        let ask_again = settings.renegotiate_after;
        let mut work = Self {
            settings,
            metrics,
            clock,
            poster,
            queue,
            spool,
            record_tracker: RecordTracker::default(),
            series: Vec::new(),
            numbers: HashMap::new(),
            // Until what earlier lives left is read, all is theirs.
            created_ms: i64::MAX,
            last_ms: i64::MIN,
            sample_clock: SampleClock::new(clock.now(), wall(), 0),
            negotiation: Negotiation::new(Backoff { first: ask_again, max: ask_again.saturating_mul(12) }),
            out: BTreeMap::new(),
            short: 0,
            spool_ails: false,
            spool_failures: 0,
            roster: Vec::new(),
        };
        work.restore(found.records);
        Ok(work)
    }

    /// What the last life left.
    fn restore(&mut self, records: Vec<RecoveredRecord>) {
        let now = self.clock.now();
        let (mut rosters, mut samples) = (Vec::new(), 0);
        let mut ended: Vec<u64> = Vec::new();
        for RecoveredRecord { position, payload: bytes } in records {
            let Ok(series) = remote_write::decode(Version::Two, &bytes, MOST_RECORD) else {
                // Its sum is right, so that it is not ours: another version's spool.
                warn!("a record of the spool can't be read and is let go");
                let _ = self.spool.acknowledge(position);
                continue;
            };
            let roster = series.iter().all(|s| s.samples.is_empty() && s.natives.is_empty());
            let mut times: BTreeMap<i64, usize> = BTreeMap::new();
            for s in &series {
                let number = self.number(&s.labels, s.kind);
                if let (Some(known), Some(created)) = (self.series.get_mut(number as usize), s.created_ms)
                    && let Err(place) = known.before.binary_search(&created)
                {
                    known.before.insert(place, created);
                }
                if roster {
                    ended.push(number);
                }
                for at_ms in s.samples.iter().map(|s| s.0).chain(s.natives.iter().map(|n| n.0)) {
                    *times.entry(at_ms).or_default() += 1;
                }
            }
            for (at_ms, count) in times {
                self.record_tracker.add(at_ms, position, count);
            }
            for s in series {
                let number = self.number(&s.labels, s.kind);
                let numbers = s.samples.into_iter().map(|(at, value)| (at, Value::Number(value)));
                let natives = s.natives.into_iter().map(|(at, value)| (at, Value::Native(Arc::new(value))));
                for (at_ms, value) in numbers.chain(natives) {
                    samples += 1;
                    self.last_ms = self.last_ms.max(at_ms);
                    self.queue.offer(now, Sample { series: number, at_ms, value });
                }
            }
            if roster {
                rosters.push(position);
            }
        }
        if samples > 0 {
            info!(samples, "samples of the last life are sent again");
        }
        // The wall may have stepped back between the lives.
        let last = u64::try_from(self.last_ms).map_or(0, |ms| ms.saturating_mul(1000));
        self.sample_clock = SampleClock::new(now, wall(), last);
        ended.sort_unstable();
        ended.dedup();
        self.close(ended);
        for roster in rosters {
            self.disk(|spool| spool.acknowledge(roster));
        }
        self.created_ms = self.time();
    }

    /// Staleness markers for series that have ended.
    fn close(&mut self, ended: Vec<u64>) {
        if ended.is_empty() {
            return;
        }
        let at_ms = self.time();
        let end = |series: u64| {
            let native = self.series.get(series as usize).is_some_and(|known| known.native);
            let value = if native {
                Value::Native(Arc::new(NativeHistogram::stale(nettleferry_metrics::NATIVE_SCHEMA)))
            } else {
                Value::Number(remote_write::stale())
            };
            Sample { series, at_ms, value }
        };
        let markers = ended.into_iter().map(end).collect();
        self.keep(markers);
    }

    /// The time of a round, never twice the same.
    fn time(&mut self) -> i64 {
        let now = self.sample_clock.now(self.clock.now(), wall());
        self.last_ms = ms(now).max(self.last_ms.saturating_add(1));
        self.last_ms
    }

    fn number(&mut self, labels: &[(String, String)], kind: SeriesKind) -> u64 {
        if let Some(number) = self.numbers.get(labels) {
            return *number;
        }
        let number = self.series.len() as u64;
        let native =
            kind == SeriesKind::Histogram && labels.iter().any(|(n, v)| n == "__name__" && v == LATENCY_NAME);
        self.series.push(Known { labels: labels.to_vec(), kind, native, before: Vec::new() });
        self.numbers.insert(labels.to_vec(), number);
        number
    }

    fn disk<T>(
        &mut self,
        work: impl FnOnce(&mut WriteAheadLog<DirectoryStorage>) -> Result<T, WalError>,
    ) -> Option<T> {
        match work(&mut self.spool) {
            Ok(done) => {
                if std::mem::take(&mut self.spool_ails) {
                    info!("the spool's disk works again");
                }
                Some(done)
            }
            Err(error) => {
                self.spool_failures += 1;
                // Told once; meanwhile samples live in memory alone.
                if !std::mem::replace(&mut self.spool_ails, true) {
                    warn!(%error, "the spool fails: samples that are not yet acknowledged would not survive a crash");
                }
                None
            }
        }
    }

    /// Samples of one time: to the spool, then to the queue.
    fn keep(&mut self, samples: Vec<Sample>) {
        let now = self.clock.now();
        for part in samples.chunks(RECORD_SERIES) {
            let series = self.described(part);
            let Ok(record) = remote_write::encode(Version::Two, &series) else { continue };
            if let Some(position) = self.disk(|spool| spool.append(&record)) {
                self.record_tracker.add(part[0].at_ms, position, part.len());
            }
        }
        self.disk(WriteAheadLog::sync);
        for sample in samples {
            self.queue.offer(now, sample);
        }
        self.let_go();
    }

    /// Samples as series, each with its samples in order.
    fn described(&self, samples: &[Sample]) -> Vec<Series> {
        let mut places: HashMap<(u64, Option<i64>), usize> = HashMap::new();
        let mut all: Vec<Series> = Vec::new();
        for s in samples {
            let Some(known) = self.series.get(s.series as usize) else { continue };
            // A life's samples and another's have created timestamps of their own.
            let created = if s.at_ms >= self.created_ms {
                Some(self.created_ms)
            } else {
                known.before.iter().rev().find(|created| **created <= s.at_ms).copied()
            };
            let created_ms = created.filter(|_| known.kind != SeriesKind::Gauge);
            let at = *places.entry((s.series, created_ms)).or_insert_with(|| {
                all.push(Series {
                    labels: known.labels.clone(),
                    samples: Vec::new(),
                    natives: Vec::new(),
                    kind: known.kind,
                    created_ms,
                });
                all.len() - 1
            });
            match &s.value {
                Value::Number(value) => all[at].samples.push((s.at_ms, *value)),
                Value::Native(native) => all[at].natives.push((s.at_ms, NativeHistogram::clone(native))),
            }
        }
        all
    }

    /// Records whose samples are gone are acknowledged.
    fn let_go(&mut self) {
        let gone: Vec<i64> = self.queue.drain_completed().collect();
        for at_ms in gone {
            for position in self.record_tracker.complete_sample(at_ms) {
                self.disk(|spool| spool.acknowledge(position));
            }
        }
    }

    fn round(&mut self, first: bool) {
        self.tell();
        let Ok(text) = self.metrics.text() else { return };
        let at_ms = self.time();
        let mut samples = Vec::new();
        for s in sample::parse(&text) {
            let kind = match s.kind {
                sample::SeriesKind::Counter => SeriesKind::Counter,
                sample::SeriesKind::Gauge => SeriesKind::Gauge,
                sample::SeriesKind::Histogram => SeriesKind::Histogram,
            };
            let series = self.labelled(s.labels, kind);
            samples.push(Sample { series, at_ms, value: Value::Number(s.value) });
        }
        // The plain version carries classic buckets alone.
        if self.negotiation.version() == ProtocolVersion::Preferred {
            let metrics = Arc::clone(&self.metrics);
            for (class, told) in metrics.native_histograms() {
                let labels = [("__name__", LATENCY_NAME), ("class", class)];
                let labels = labels.map(|(n, v)| (n.to_owned(), v.to_owned())).to_vec();
                let series = self.labelled(labels, SeriesKind::Histogram);
                let nettleferry_metrics::NativeHistogram { schema, count, sum, buckets } = told;
                let native = NativeHistogram { schema, count, sum, buckets };
                samples.push(Sample { series, at_ms, value: Value::Native(Arc::new(native)) });
            }
        }
        // It goes on to a new segment, or was let go with its old one when the spool was full.
        let newest = self.spool.newest();
        if first || self.roster.iter().any(|p| p.segment < newest || !self.spool.contains(*p)) {
            self.write_roster(&samples);
        }
        self.keep(samples);
    }

    /// The number of a series of ours, with the labels of the settings.
    fn labelled(&mut self, mut labels: Vec<(String, String)>, kind: SeriesKind) -> u64 {
        labels.extend(self.settings.labels.iter().map(|label| (label.name.clone(), label.value.clone())));
        labels.sort();
        self.number(&labels, kind)
    }

    /// The roster: series without samples, which the next life is to close. It is written anew when the spool
    /// has gone on to another segment, so that it holds none back.
    fn write_roster(&mut self, samples: &[Sample]) {
        let mut series = self.described(samples);
        for s in &mut series {
            s.samples.clear();
            s.natives.clear();
        }
        let mut written = Vec::new();
        for part in series.chunks(RECORD_SERIES) {
            let Ok(record) = remote_write::encode(Version::Two, part) else { continue };
            written.extend(self.disk(|spool| spool.append(&record)));
        }
        if !written.is_empty() {
            for old in std::mem::replace(&mut self.roster, written) {
                self.disk(|spool| spool.acknowledge(old));
            }
        }
    }

    /// The push's own figures.
    fn tell(&self) {
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
            oldest_age_seconds: self.queue.oldest_age(self.clock.now()) / 1_000_000,
            version_changes: self.negotiation.changes(),
            splits: c.splits,
            short_writes: self.short,
            clock_offset_seconds: self.sample_clock.offset() as f64 / 1e6,
        });
        self.metrics.set_wal(&WalState {
            bytes: self.spool.bytes(),
            limit_bytes: self.settings.wal_bytes,
            failures: self.spool_failures,
        });
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut round = self.clock.now();
        let mut first = true;
        let (mut heard, mut due) = (Vec::new(), Vec::new());
        while !stop.load(Ordering::Acquire) {
            let now = self.clock.now();
            if now >= round {
                self.round(std::mem::take(&mut first));
                // Rounds missed while the machine slept are not made up for.
                round = round.saturating_add(self.settings.sample_interval).max(now);
            }
            self.step(round, &mut due, &mut heard)?;
        }
        Ok(())
    }

    /// Sends what is due, and hears what comes until something else is due, at `until` at the latest.
    fn step(
        &mut self,
        until: Micros,
        due: &mut Vec<Batch>,
        heard: &mut Vec<(usize, Result<Heard, PostError>)>,
    ) -> io::Result<()> {
        self.queue.due(self.clock.now(), due);
        for batch in due.drain(..) {
            self.send(batch);
        }
        self.let_go();
        let now = self.clock.now();
        let next = self.queue.next_due(now).map_or(until, |at| at.min(until));
        let wait = Duration::from_micros(next.saturating_sub(now));
        self.poster.poll(Some(wait), heard)?;
        for (lane, answer) in heard.drain(..) {
            self.answered(lane, answer);
        }
        self.let_go();
        Ok(())
    }

    /// The last words of a life that ends in order: what was counted since the last round, the end of each
    /// series, and some time to deliver them. What is not delivered is in the spool.
    fn farewell(&mut self, abandoned: &AtomicBool) -> io::Result<()> {
        if !abandoned.load(Ordering::Acquire) {
            self.round(false);
            self.close((0..self.series.len() as u64).collect());
            // The markers are as durable as the roster was.
            for roster in std::mem::take(&mut self.roster) {
                self.disk(|spool| spool.acknowledge(roster));
            }
            self.queue.flush();
            let until = self.clock.now() + self.settings.flush_timeout;
            let (mut heard, mut due) = (Vec::new(), Vec::new());
            while self.queue.len() > 0 && self.clock.now() < until && !abandoned.load(Ordering::Acquire) {
                self.step(until, &mut due, &mut heard)?;
            }
            if self.queue.len() > 0 {
                info!(samples = self.queue.len(), "not delivered: the next life sends them");
            }
        }
        self.disk(WriteAheadLog::sync);
        Ok(())
    }

    fn send(&mut self, batch: Batch) {
        let lane = batch.shard;
        let version = match self.negotiation.next_version(self.clock.now(), lane) {
            ProtocolVersion::Preferred => Version::Two,
            ProtocolVersion::Plain => Version::One,
        };
        let series = self.described(&batch.samples);
        let empty = version == Version::One && series.iter().all(|s| s.samples.is_empty());
        match remote_write::encode(version, &series) {
            // Native histograms of an earlier version 2.0, whose classic buckets have gone by themselves.
            Ok(_) if empty => {
                self.queue.handle_response(self.clock.now(), lane, batch.number, Response::Accepted)
            }
            Ok(body) => {
                let headers = [
                    ("Content-Type", version.content_type()),
                    ("Content-Encoding", "snappy"),
                    ("X-Prometheus-Remote-Write-Version", version.header()),
                    ("User-Agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION"))),
                ];
                self.poster.post(lane, &self.settings.path, &headers, &body);
                self.out.insert(lane, (batch, version));
            }
            // What can't be written can't be written later.
            Err(_) => {
                let now = self.clock.now();
                self.negotiation.handle_response(now, lane, Acceptance::Unknown);
                self.queue.handle_response(now, lane, batch.number, Response::Rejected);
            }
        }
    }

    fn answered(&mut self, lane: usize, heard: Result<Heard, PostError>) {
        let Some((batch, version)) = self.out.remove(&lane) else { return };
        let now = self.clock.now();
        let (answer, understood) = match &heard {
            Ok(heard) => self.meaning(&batch, version, heard),
            Err(_) => (Response::Unavailable { retry_after: None }, Acceptance::Unknown),
        };
        let before = self.negotiation.version();
        self.negotiation.handle_response(now, lane, understood);
        match (before, self.negotiation.version()) {
            (ProtocolVersion::Preferred, ProtocolVersion::Plain) => {
                info!("the receiver does not speak remote write 2.0: 1.0 for now")
            }
            (ProtocolVersion::Plain, ProtocolVersion::Preferred) => {
                info!("the receiver speaks remote write 2.0")
            }
            _ => {}
        }
        self.queue.handle_response(now, lane, batch.number, answer);
        if let Ok(heard) = &heard
            && matches!(answer, Response::Rejected | Response::Invalid)
        {
            let (status, samples) = (heard.status, batch.samples.len());
            let series = batch.samples.first().and_then(|s| self.series.get(s.series as usize));
            warn!(status, samples, first = ?series.map(|s| &s.labels), "the receiver refused a batch or a part of one");
        }
    }

    /// What a status says. 2xx: taken, though of version 2.0 only where the answer tells what was written:
    /// a receiver of 1.0 that does not look at the content type reads nothing in it. 415: this version is not
    /// spoken there. 429 and 5xx: not now. 400, 413 and 422: something in it is bad. Any other: refused for
    /// good.
    fn meaning(&mut self, batch: &Batch, version: Version, heard: &Heard) -> (Response, Acceptance) {
        let not_now = |retry_after| Response::Unavailable { retry_after };
        let written = |kind: &str| -> Option<usize> {
            heard.header(&format!("x-prometheus-remote-write-{kind}-written"))?.trim().parse().ok()
        };
        match (heard.status, version) {
            (200..300, Version::One) => (Response::Accepted, Acceptance::Unknown),
            (200..300, Version::Two) => match written("samples") {
                None => (not_now(None), Acceptance::NotUnderstood),
                Some(numbers) => {
                    let sent = batch.samples.iter().filter(|s| matches!(s.value, Value::Number(_))).count();
                    let natives = written("histograms").unwrap_or(0);
                    if numbers < sent || natives < batch.samples.len() - sent {
                        self.short += 1;
                        warn!(numbers, sent, natives, "the receiver wrote less than it took");
                    }
                    (Response::Accepted, Acceptance::Understood)
                }
            },
            (415, Version::Two) => (not_now(None), Acceptance::NotUnderstood),
            (429 | 500..600, _) => (not_now(retry_after(heard)), Acceptance::Unknown),
            (400 | 413 | 422, _) => (Response::Invalid, Acceptance::Unknown),
            _ => (Response::Rejected, Acceptance::Unknown),
        }
    }
}

/// Retry-After (RFC 9110, 10.2.3): seconds, or a date on the wall's clock.
fn retry_after(heard: &Heard) -> Option<Micros> {
    let told = heard.header("retry-after")?.trim();
    if let Ok(seconds) = told.parse::<u64>() {
        return Some(seconds.saturating_mul(1_000_000));
    }
    let at = httpdate::parse_http_date(told).ok()?;
    let wait = at.duration_since(SystemTime::now()).unwrap_or_default();
    Some(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}

fn ms(now: Micros) -> i64 {
    i64::try_from(now / 1000).unwrap_or(i64::MAX)
}
