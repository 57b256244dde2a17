//! Pushes the figures by Prometheus remote write, in a thread that can hold up no call. What is kept, sent,
//! dropped and tried again is decided by `nettleferry-push`; what survives a crash by `nettleferry-spool`. Here
//! they are wired to the clock, the disk and the socket.
//!
//! A round: the registry is read, written to the spool as one record (or some, where it is long), offered to the
//! queue. A record is acknowledged when the last of its samples is gone from the queue. At the start what was
//! not acknowledged is offered again with its old times and values; the series of the last life, which the
//! spool keeps as a record without samples, get a staleness marker; then new rounds begin with a new created
//! timestamp. Nothing is written for the time away.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use nettleferry::Micros;
use nettleferry_config::settings::Push;
use nettleferry_figures::{Figures, sample};
use nettleferry_net::post::{Answer as Heard, PostError, Poster};
use nettleferry_proto::remote_write::{self, Kind, Series, Version};
use nettleferry_push::{Answer, Batch, Keeper, Limits, Queue, Sample};
use nettleferry_spool::{FolderDisk, Limits as SpoolLimits, Position, Spool, SpoolError};
use tracing::{info, warn};

use crate::clock::Clock;

/// Series of one spool record at the most: bounds its length.
const RECORD_SERIES: usize = 2_000;
/// Bytes that a record of the spool may unpack to.
const MOST_RECORD: usize = 8 << 20;

/// The push's thread; it ends when this is dropped. What was not acknowledged by then is sent by the next life.
pub struct Pusher {
    told: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Pusher {
    /// Starts it. A spool that can't be opened is an error: the operator told us to keep samples there.
    pub fn start(settings: Push, figures: Arc<Figures>) -> io::Result<Self> {
        let mut work = Work::new(settings, figures)?;
        let (told, waker) = (Arc::new(AtomicBool::new(false)), work.poster.waker());
        let stop = Arc::clone(&told);
        let thread = std::thread::Builder::new().name("push".to_owned()).spawn(move || {
            if let Err(error) = work.run(&stop) {
                warn!(%error, "pushing has ended");
            }
        })?;
        Ok(Self { told, waker, thread: Some(thread) })
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
    kind: Kind,
    /// Created timestamp of samples of the last life, where there are any.
    before: Option<i64>,
}

struct Work {
    settings: Push,
    figures: Arc<Figures>,
    clock: Clock,
    poster: Poster,
    queue: Queue,
    spool: Spool<FolderDisk>,
    keeper: Keeper<Position>,
    series: Vec<Known>,
    numbers: HashMap<Vec<(String, String)>, u64>,
    /// This life's counters began then.
    created_ms: i64,
    last_ms: i64,
    version: Version,
    out: BTreeMap<usize, Batch>,
    spool_ails: bool,
    roster: Vec<Position>,
}

impl Work {
    fn new(settings: Push, figures: Arc<Figures>) -> io::Result<Self> {
        let limits = SpoolLimits {
            bytes: settings.spool_bytes,
            segment_bytes: (settings.spool_bytes / 16).max(1 << 16),
        };
        let disk = FolderDisk::open(settings.spool.clone())?;
        let (spool, found) = Spool::open(disk, limits).map_err(|e| match e {
            SpoolError::Io(error) => error,
            other => io::Error::other(other.to_string()),
        })?;
        let clock = Clock::start();
        let created_ms = ms(clock.now());
        let queue = Queue::new(
            Limits {
                shards: settings.shards,
                batch_samples: settings.batch,
                batch_age: settings.batch_age,
                bytes: settings.queue_bytes,
                age: settings.age,
                ..Limits::default()
            },
            rand::random(),
        );
        let poster = Poster::new(settings.to, settings.shards, Duration::from_micros(settings.timeout))?;
        let mut work = Self {
            settings,
            figures,
            clock,
            poster,
            queue,
            spool,
            keeper: Keeper::default(),
            series: Vec::new(),
            numbers: HashMap::new(),
            created_ms,
            last_ms: i64::MIN,
            version: Version::Two,
            out: BTreeMap::new(),
            spool_ails: false,
            roster: Vec::new(),
        };
        work.restore(found.records);
        Ok(work)
    }

    /// What the last life left.
    fn restore(&mut self, records: Vec<(Position, Vec<u8>)>) {
        let now = self.clock.now();
        let (mut rosters, mut samples) = (Vec::new(), 0);
        let mut ended: Vec<u64> = Vec::new();
        for (position, bytes) in records {
            let Ok(series) = remote_write::read(Version::Two, &bytes, MOST_RECORD) else {
                // Its sum is right, so that it is not ours: another version's spool.
                warn!("a record of the spool can't be read and is let go");
                let _ = self.spool.acknowledge(position);
                continue;
            };
            let roster = series.iter().all(|s| s.samples.is_empty());
            let mut times: BTreeMap<i64, usize> = BTreeMap::new();
            for s in &series {
                let number = self.number(&s.labels, s.kind);
                if let Some(known) = self.series.get_mut(number as usize) {
                    known.before = s.created_ms;
                }
                if roster {
                    ended.push(number);
                }
                for (at_ms, _) in &s.samples {
                    *times.entry(*at_ms).or_default() += 1;
                }
            }
            for (at_ms, count) in times {
                self.keeper.began(at_ms, position, count);
            }
            for s in &series {
                let number = self.number(&s.labels, s.kind);
                for (at_ms, value) in &s.samples {
                    samples += 1;
                    self.last_ms = self.last_ms.max(*at_ms);
                    self.queue.offer(now, Sample { series: number, at_ms: *at_ms, value: *value });
                }
            }
            if roster {
                rosters.push(position);
            }
        }
        if samples > 0 {
            info!(samples, "samples of the last life are sent again");
        }
        ended.sort_unstable();
        ended.dedup();
        if !ended.is_empty() {
            let at_ms = self.time();
            let markers =
                ended.into_iter().map(|series| Sample { series, at_ms, value: remote_write::stale() });
            self.keep(markers.collect());
        }
        for roster in rosters {
            self.disk(|spool| spool.acknowledge(roster));
        }
    }

    /// The time of a round: of the wall at the start and monotonic from there, never twice the same.
    fn time(&mut self) -> i64 {
        self.last_ms = ms(self.clock.now()).max(self.last_ms.saturating_add(1));
        self.last_ms
    }

    fn number(&mut self, labels: &[(String, String)], kind: Kind) -> u64 {
        if let Some(number) = self.numbers.get(labels) {
            return *number;
        }
        let number = self.series.len() as u64;
        self.series.push(Known { labels: labels.to_vec(), kind, before: None });
        self.numbers.insert(labels.to_vec(), number);
        number
    }

    fn disk<T>(&mut self, work: impl FnOnce(&mut Spool<FolderDisk>) -> Result<T, SpoolError>) -> Option<T> {
        match work(&mut self.spool) {
            Ok(done) => {
                if std::mem::take(&mut self.spool_ails) {
                    info!("the spool's disk works again");
                }
                Some(done)
            }
            Err(error) => {
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
            let Ok(record) = remote_write::write(Version::Two, &series) else { continue };
            if let Some(position) = self.disk(|spool| spool.append(&record)) {
                self.keeper.began(part[0].at_ms, position, part.len());
            }
        }
        self.disk(Spool::sync);
        for sample in samples {
            self.queue.offer(now, sample);
        }
        self.let_go();
    }

    /// Samples as series, each with its samples in order.
    fn described(&self, samples: &[Sample]) -> Vec<Series> {
        let mut places: HashMap<(u64, bool), usize> = HashMap::new();
        let mut all: Vec<Series> = Vec::new();
        for s in samples {
            let Some(known) = self.series.get(s.series as usize) else { continue };
            // A life's samples and another's have created timestamps of their own.
            let old = s.at_ms < self.created_ms;
            let at = *places.entry((s.series, old)).or_insert_with(|| {
                let created = if old { known.before } else { Some(self.created_ms) };
                let created_ms = if known.kind == Kind::Gauge { None } else { created };
                all.push(Series {
                    labels: known.labels.clone(),
                    samples: Vec::new(),
                    kind: known.kind,
                    created_ms,
                });
                all.len() - 1
            });
            all[at].samples.push((s.at_ms, s.value));
        }
        all
    }

    /// Records whose samples are gone are acknowledged.
    fn let_go(&mut self) {
        let gone: Vec<i64> = self.queue.gone().map(|s| s.at_ms).collect();
        for at_ms in gone {
            for position in self.keeper.gone(at_ms) {
                self.disk(|spool| spool.acknowledge(position));
            }
        }
    }

    fn round(&mut self, first: bool) {
        self.tell();
        let Ok(text) = self.figures.text() else { return };
        let at_ms = self.time();
        let mut samples = Vec::new();
        for s in sample::read(&text) {
            let kind = match s.kind {
                sample::Kind::Counter => Kind::Counter,
                sample::Kind::Gauge => Kind::Gauge,
                sample::Kind::Histogram => Kind::Histogram,
            };
            let mut labels = s.labels;
            labels.extend(self.settings.labels.iter().cloned());
            labels.sort();
            let series = self.number(&labels, kind);
            samples.push(Sample { series, at_ms, value: s.value });
        }
        let newest = self.spool.newest();
        if first || self.roster.iter().any(|p| p.segment < newest) {
            self.write_roster(&samples);
        }
        self.keep(samples);
    }

    /// The roster: series without samples, which the next life is to close. It is written anew when the spool
    /// has gone on to another segment, so that it holds none back.
    fn write_roster(&mut self, samples: &[Sample]) {
        let mut series = self.described(samples);
        for s in &mut series {
            s.samples.clear();
        }
        let mut written = Vec::new();
        for part in series.chunks(RECORD_SERIES) {
            let Ok(record) = remote_write::write(Version::Two, part) else { continue };
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
        let totals = [c.taken, c.refused, c.dropped_full, c.dropped_old, c.dropped_order, c.dropped_series];
        let oldest = self.queue.oldest(self.clock.now()) / 1_000_000;
        self.figures.push(totals, c.retries, self.queue.kept(), oldest);
        self.figures.spool(self.spool.bytes(), self.settings.spool_bytes, self.spool.counters().failed);
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
                round = round.saturating_add(self.settings.every).max(now);
            }
            self.queue.due(self.clock.now(), &mut due);
            for batch in due.drain(..) {
                self.send(batch);
            }
            self.let_go();
            let now = self.clock.now();
            let next = self.queue.next(now).map_or(round, |at| at.min(round));
            let wait = Duration::from_micros(next.saturating_sub(now));
            self.poster.turn(Some(wait), &mut heard)?;
            for (lane, answer) in heard.drain(..) {
                self.answered(lane, answer);
            }
            self.let_go();
        }
        self.disk(Spool::sync);
        Ok(())
    }

    fn send(&mut self, batch: Batch) {
        let lane = batch.shard;
        match remote_write::write(self.version, &self.described(&batch.samples)) {
            Ok(body) => {
                let headers = [
                    ("Content-Type", self.version.content_type()),
                    ("Content-Encoding", "snappy"),
                    ("X-Prometheus-Remote-Write-Version", self.version.header()),
                    ("User-Agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION"))),
                ];
                self.poster.post(lane, &self.settings.path, &headers, &body);
                self.out.insert(lane, batch);
            }
            // What can't be written can't be written later.
            Err(_) => self.queue.answered(self.clock.now(), lane, batch.number, Answer::Refused),
        }
    }

    fn answered(&mut self, lane: usize, heard: Result<Heard, PostError>) {
        let Some(batch) = self.out.remove(&lane) else { return };
        let now = self.clock.now();
        let answer = match &heard {
            Ok(heard) => self.meaning(&batch, heard),
            Err(_) => Answer::NotNow { retry_after: None },
        };
        if answer == Answer::Refused
            && let Ok(heard) = &heard
        {
            warn!(
                status = heard.status,
                samples = batch.samples.len(),
                "the receiver refused a batch for good"
            );
        }
        self.queue.answered(now, lane, batch.number, answer);
    }

    /// What a status says: 2xx taken; 415 that version 2.0 is not spoken there (the batch goes again as 1.0);
    /// 429 and 5xx not now; any other refused for good.
    fn meaning(&mut self, batch: &Batch, heard: &Heard) -> Answer {
        let retry_after = heard.header("retry-after").and_then(|v| v.trim().parse::<u64>().ok());
        let retry_after = retry_after.map(|s| s.saturating_mul(1_000_000));
        match heard.status {
            200..300 => {
                // Version 2.0 wants to be told what was written; a receiver that says nothing spoke 1.0 of it.
                let written = heard.header("x-prometheus-remote-write-samples-written");
                let written = written.and_then(|v| v.trim().parse::<usize>().ok());
                if self.version == Version::Two && written.is_some_and(|n| n < batch.samples.len()) {
                    warn!(?written, sent = batch.samples.len(), "the receiver wrote less than it took");
                }
                Answer::Taken
            }
            415 if self.version == Version::Two => {
                info!("the receiver does not speak remote write 2.0: 1.0 from now on");
                self.version = Version::One;
                Answer::NotNow { retry_after: None }
            }
            429 | 500..600 => Answer::NotNow { retry_after },
            _ => Answer::Refused,
        }
    }
}

fn ms(now: Micros) -> i64 {
    i64::try_from(now / 1000).unwrap_or(i64::MAX)
}
