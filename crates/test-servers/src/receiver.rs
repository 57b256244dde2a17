//! A Prometheus remote-write receiver for tests, versions 1.0 and 2.0: it stores what it receives, checks it, and is
//! unavailable, strict or forgetful on demand.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nettleferry_alerts::rules::Rule;
use nettleferry_net::http1::{Http1Limits, Http1Server, Reply, Request, Stop};
use nettleferry_proto::remote_write::{self, NativeHistogram, Series, SeriesKind, Version};

use crate::watch::Watch;

/// How it behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It takes what comes.
    Accept,
    /// It takes version 1.0 alone.
    Version1Only,
    /// It answers with this status and receives nothing; with Retry-After, seconds, where given.
    Answer(u16, Option<u32>),
    /// It takes what comes and answers 500: the acknowledgement is lost.
    LoseAcknowledgement,
    /// It takes what comes, and its answer breaks off in its first line.
    CutAnswer,
    /// It closes a connection after so many bytes of a request.
    CutRequest(usize),
    /// It takes what comes, so much later.
    Slow(Duration),
    /// It answers 400 and takes nothing where a series has this value of any label.
    RejectLabelValue(String),
    /// It reads version 1.0 whatever it is sent, and does not look at the content type.
    AssumeVersion1,
}

/// A sample as it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSample {
    /// Its time.
    pub at_ms: i64,
    /// Its value.
    pub value: f64,
    /// Its series' created timestamp as sent with it.
    pub created_ms: Option<i64>,
}

/// Labels of a series, in order.
pub type SeriesLabels = Vec<(String, String)>;

/// What it has received and found.
#[derive(Clone, Debug, Default)]
pub struct ReceivedData {
    /// Samples by series, in the order in which they came, repeats left out.
    pub series: BTreeMap<SeriesLabels, Vec<ReceivedSample>>,
    /// Native histograms by series, likewise.
    pub natives: BTreeMap<SeriesLabels, Vec<(i64, NativeHistogram)>>,
    /// Requests by version: 2.0, 1.0.
    pub requests: [u64; 2],
    /// Requests that it rejected.
    pub rejected: u64,
    /// Samples that came again with the same value.
    pub repeated: u64,
    /// What no sender should do: another value for a time, a time before the last, labels out of order; and what
    /// it can't have: times to come, counters that fall within a life, samples of a life after its end.
    pub faults: Vec<String>,
    /// Rules under evaluation.
    pub watch: Option<Watch>,
}

/// A sample may be from so far in the future: clocks on one machine, and a moment's rounding.
const FUTURE_MS: i64 = 2_000;

fn now_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}

impl ReceivedData {
    /// Samples of the series of a name whose labels hold all of these, in order.
    pub fn find(&self, name: &str, labels: &[(&str, &str)]) -> Vec<ReceivedSample> {
        let is = |all: &[(String, String)], name: &str, value: &str| {
            all.iter().any(|(n, v)| n == name && v == value)
        };
        let ours = self
            .series
            .iter()
            .filter(|(all, _)| is(all, "__name__", name) && labels.iter().all(|(n, v)| is(all, n, v)));
        ours.flat_map(|(_, taken)| taken.iter().copied()).collect()
    }

    fn receive(&mut self, series: Series) {
        let name = format!("{:?}", series.labels);
        if !series.labels.windows(2).all(|w| w[0].0 < w[1].0) {
            self.faults.push(format!("labels out of order: {name}"));
        }
        let now = now_ms();
        let times = series.samples.iter().map(|s| s.0).chain(series.natives.iter().map(|n| n.0));
        for at_ms in times {
            if at_ms > now + FUTURE_MS || series.created_ms.is_some_and(|created| created > at_ms) {
                self.faults.push(format!("{name} at {at_ms}: to come, or before it was created ({now})"));
            }
        }
        if !series.natives.is_empty() {
            let taken = self.natives.entry(series.labels.clone()).or_default();
            for (at_ms, native) in series.natives {
                let same = |old: &NativeHistogram| {
                    old.sum.to_bits() == native.sum.to_bits()
                        && (old.count, &old.buckets) == (native.count, &native.buckets)
                };
                match taken.iter().find(|t| t.0 == at_ms) {
                    Some((_, old)) if same(old) => self.repeated += 1,
                    None if taken.last().is_none_or(|l| l.0 < at_ms) => taken.push((at_ms, native)),
                    _ => self.faults.push(format!("{name} at {at_ms}: another histogram, or too late")),
                }
            }
        }
        if series.samples.is_empty() {
            return;
        }
        let taken = self.series.entry(series.labels.clone()).or_default();
        for (at_ms, value) in series.samples {
            match taken.iter().find(|t| t.at_ms == at_ms) {
                Some(old) if old.value.to_bits() == value.to_bits() => self.repeated += 1,
                Some(old) => self.faults.push(format!("{name} at {at_ms}: {} and then {value}", old.value)),
                None if taken.last().is_some_and(|l| l.at_ms > at_ms) => {
                    self.faults.push(format!("{name}: {at_ms} came after a later one"));
                }
                None => {
                    let one = ReceivedSample { at_ms, value, created_ms: series.created_ms };
                    let counter = series.kind == SeriesKind::Counter && series.created_ms.is_some();
                    if counter && let Some(last) = taken.last().filter(|l| l.created_ms == one.created_ms) {
                        if remote_write::is_stale(last.value) {
                            self.faults.push(format!("{name} at {at_ms}: its life had ended"));
                        } else if value < last.value {
                            self.faults.push(format!("{name} at {at_ms}: {value} after {}", last.value));
                        }
                    }
                    taken.push(one);
                    if let Some(watch) = &mut self.watch {
                        watch.add(&series.labels, at_ms, value);
                    }
                }
            }
        }
    }
}

/// A running receiver; it ends when dropped.
pub struct Receiver {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    data: Arc<Mutex<ReceivedData>>,
    cut: Arc<AtomicUsize>,
    stop: Stop,
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// How often the clock of rules is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Bytes that a body may unpack to.
const MAX_BODY_BYTES: usize = 64 << 20;

impl Receiver {
    /// Starts a receiver on a free port.
    ///
    /// # Errors
    /// The system refuses a socket or a thread.
    pub fn start(mode: Mode) -> io::Result<Self> {
        let limits = Http1Limits { body_bytes: 16 << 20, ..Http1Limits::default() };
        let mut server = Http1Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits)?;
        let (address, stop, cut) = (server.local_addr()?, server.stop(), server.cut_requests());
        cut.store(request_limit(&mode), Ordering::Relaxed);
        let mode = Arc::new(Mutex::new(mode));
        let data = Arc::new(Mutex::new(ReceivedData::default()));
        let (m, k) = (Arc::clone(&mode), Arc::clone(&data));
        let thread = std::thread::Builder::new().name("receiver".to_owned()).spawn(move || {
            let ended = server.run(|request| {
                let mode = lock(&m).clone();
                if let Mode::Slow(span) = mode {
                    std::thread::sleep(span);
                }
                reply(request, &mode, &mut lock(&k))
            });
            if let Err(error) = ended {
                eprintln!("test receiver: {error}");
            }
        })?;
        Ok(Self { address, mode, data, cut, stop, ended: Arc::default(), threads: vec![thread] })
    }

    /// Evaluates rules from now on, on its own clock, by which a second is `speed` seconds of theirs.
    pub fn watch(&mut self, rules: Vec<Rule>, speed: u32) -> io::Result<()> {
        lock(&self.data).watch = Some(Watch::new(rules, now_ms(), speed));
        let (data, ended) = (Arc::clone(&self.data), Arc::clone(&self.ended));
        let thread = std::thread::Builder::new().name("rules".to_owned()).spawn(move || {
            while !ended.load(Ordering::Acquire) {
                if let Some(watch) = &mut lock(&data).watch {
                    watch.tick(now_ms());
                }
                std::thread::sleep(TICK);
            }
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Changes its behaviour from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.cut.store(request_limit(&mode), Ordering::Relaxed);
        *lock(&self.mode) = mode;
    }

    /// What it has received and found.
    pub fn data(&self) -> ReceivedData {
        lock(&self.data).clone()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.stop.stop();
        self.ended.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

fn request_limit(mode: &Mode) -> usize {
    if let Mode::CutRequest(bytes) = mode { *bytes } else { usize::MAX }
}

fn reply(request: &Request<'_>, mode: &Mode, data: &mut ReceivedData) -> Reply {
    if let Mode::Answer(status, after) = *mode {
        data.rejected += 1;
        let headers = after.map(|s| ("Retry-After", s.to_string())).into_iter().collect();
        return Reply { headers, ..Reply::text(status, "as told\n") };
    }
    let kind = request.header("content-type").unwrap_or("");
    let version = match kind {
        k if k == Version::Two.content_type() => Version::Two,
        k if k == Version::One.content_type() || k == "application/x-protobuf" => Version::One,
        _ => return Reply::text(415, "no such message\n"),
    };
    let blind = *mode == Mode::AssumeVersion1;
    let version = if blind { Version::One } else { version };
    if version == Version::Two && *mode == Mode::Version1Only {
        data.rejected += 1;
        return Reply::text(415, "version 1.0 alone\n");
    }
    if request.header("content-encoding") != Some("snappy") {
        return Reply::text(415, "snappy alone\n");
    }
    let series = match remote_write::decode(version, request.body, MAX_BODY_BYTES) {
        Ok(series) => series,
        Err(error) => return Reply::text(400, format!("{error}\n")),
    };
    if let Mode::RejectLabelValue(value) = mode
        && let Some(bad) = series.iter().find(|s| s.labels.iter().any(|(_, v)| v == value))
    {
        data.rejected += 1;
        return Reply::text(400, format!("bad series {:?}\n", bad.labels));
    }
    data.requests[usize::from(version == Version::One)] += 1;
    let samples: usize = series.iter().map(|s| s.samples.len()).sum();
    let natives: usize = series.iter().map(|s| s.natives.len()).sum();
    for s in series {
        data.receive(s);
    }
    match mode {
        Mode::LoseAcknowledgement => return Reply::text(500, "forgotten\n"),
        Mode::CutAnswer => return Reply { cut: Some(9), ..Reply::text(204, "") },
        _ if version == Version::One => return Reply::text(204, ""),
        _ => {}
    }
    let headers = vec![
        ("X-Prometheus-Remote-Write-Samples-Written", samples.to_string()),
        ("X-Prometheus-Remote-Write-Histograms-Written", natives.to_string()),
        ("X-Prometheus-Remote-Write-Exemplars-Written", "0".to_owned()),
    ];
    Reply { headers, ..Reply::text(204, "") }
}
