//! A Prometheus remote-write receiver for tests, for versions 1.0 and 2.0 of the protocol. It stores the samples that
//! it receives, checks them for errors of the sender, and can reject requests, and delay or break off its responses.

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

/// The behaviour of the receiver towards requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Accepts every valid request.
    Accept,
    /// Accepts version 1.0 and responds 415 to version 2.0.
    Version1Only,
    /// Responds with this status and stores nothing. The second value, if present, is sent as Retry-After in seconds.
    Answer(u16, Option<u32>),
    /// Stores the samples but responds 500, as when the acknowledgement is lost.
    LoseAcknowledgement,
    /// Stores the samples but breaks off the response within the status line.
    CutAnswer,
    /// Closes the connection after this many bytes of a request.
    CutRequest(usize),
    /// Accepts every valid request after this delay.
    Slow(Duration),
    /// Responds 400 and stores nothing if a label of any series in the request has this value.
    RejectLabelValue(String),
    /// Decodes every request as version 1.0, even if its content type says version 2.0.
    AssumeVersion1,
}

/// A received sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedSample {
    /// Time of the sample, Unix time in milliseconds.
    pub at_ms: i64,
    /// Value of the sample.
    pub value: f64,
    /// Created timestamp that was sent with the series, Unix time in milliseconds.
    pub created_ms: Option<i64>,
}

/// Names and values of the labels of a series, in the order in which they were sent.
pub type SeriesLabels = Vec<(String, String)>;

/// The data that the receiver has stored, and the errors that it has found.
#[derive(Clone, Debug, Default)]
pub struct ReceivedData {
    /// Samples by series, in order of arrival, without repeated ones.
    pub series: BTreeMap<SeriesLabels, Vec<ReceivedSample>>,
    /// Native histograms by series, with their times, in order of arrival, without repeated ones.
    pub natives: BTreeMap<SeriesLabels, Vec<(i64, NativeHistogram)>>,
    /// Number of requests whose samples were stored, by protocol version: 2.0, then 1.0.
    pub requests: [u64; 2],
    /// Number of requests that were rejected because of the [`Mode`].
    pub rejected: u64,
    /// Number of samples and histograms that were received again with the same time and value.
    pub repeated: u64,
    /// Errors of the sender: a second value for the same time, a time before that of the last sample, labels out of
    /// order, a time in the future or before the created timestamp, and, for counters with an unchanged created
    /// timestamp, a decrease or a sample after the staleness marker.
    pub faults: Vec<String>,
    /// The alert rules that are evaluated over the samples, if any.
    pub watch: Option<Watch>,
}

/// Maximum time, in milliseconds, by which a sample may lie in the future. Sender and receiver share the clock of one
/// machine, so only rounding has to be allowed for.
const FUTURE_MS: i64 = 2_000;

fn now_ms() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since_epoch.as_millis()).unwrap_or(i64::MAX)
}

impl ReceivedData {
    /// Returns the samples of all series with this metric name that have all of these labels, in order of arrival
    /// within each series.
    pub fn find(&self, name: &str, labels: &[(&str, &str)]) -> Vec<ReceivedSample> {
        let has_label = |all: &[(String, String)], name: &str, value: &str| {
            all.iter().any(|(n, v)| n == name && v == value)
        };
        let matching = self.series.iter().filter(|(all, _)| {
            has_label(all, "__name__", name) && labels.iter().all(|(n, v)| has_label(all, n, v))
        });
        matching.flat_map(|(_, samples)| samples.iter().copied()).collect()
    }

    /// Stores the samples and histograms of a series, and records the errors of the sender.
    fn receive(&mut self, series: Series) {
        let name = format!("{:?}", series.labels);
        if !series.labels.windows(2).all(|w| w[0].0 < w[1].0) {
            self.faults.push(format!("labels out of order: {name}"));
        }
        let now = now_ms();
        let times = series.samples.iter().map(|s| s.0).chain(series.native_histograms.iter().map(|n| n.0));
        for at_ms in times {
            if at_ms > now + FUTURE_MS || series.created_ms.is_some_and(|created| created > at_ms) {
                self.faults.push(format!(
                    "{name} at {at_ms}: in the future at {now}, or before the created timestamp {:?}",
                    series.created_ms
                ));
            }
        }
        self.receive_histograms(&name, &series);
        self.receive_samples(&name, &series);
    }

    /// Stores the native histograms of a series. Errors of the sender are recorded under `name`.
    fn receive_histograms(&mut self, name: &str, series: &Series) {
        if series.native_histograms.is_empty() {
            return;
        }
        let received = self.natives.entry(series.labels.clone()).or_default();
        for (at_ms, native) in &series.native_histograms {
            let same = |old: &NativeHistogram| {
                old.sum.to_bits() == native.sum.to_bits()
                    && (old.count, &old.buckets) == (native.count, &native.buckets)
            };
            match received.iter().find(|r| r.0 == *at_ms) {
                Some((_, old)) if same(old) => self.repeated += 1,
                None if received.last().is_none_or(|l| l.0 < *at_ms) => {
                    received.push((*at_ms, native.clone()));
                }
                _ => self.faults.push(format!(
                    "{name} at {at_ms}: histogram received with another value, or after a later one"
                )),
            }
        }
    }

    /// Stores the samples of a series. Errors of the sender are recorded under `name`.
    fn receive_samples(&mut self, name: &str, series: &Series) {
        if series.samples.is_empty() {
            return;
        }
        let received = self.series.entry(series.labels.clone()).or_default();
        for &(at_ms, value) in &series.samples {
            match received.iter().find(|r| r.at_ms == at_ms) {
                Some(old) if old.value.to_bits() == value.to_bits() => self.repeated += 1,
                Some(old) => {
                    self.faults.push(format!("{name} at {at_ms}: received value {}, then {value}", old.value))
                }
                None if received.last().is_some_and(|l| l.at_ms > at_ms) => {
                    self.faults.push(format!("{name} at {at_ms}: received after a later sample"));
                }
                None => {
                    let sample = ReceivedSample { at_ms, value, created_ms: series.created_ms };
                    let counter = series.kind == SeriesKind::Counter && series.created_ms.is_some();
                    if counter
                        && let Some(last) = received.last().filter(|l| l.created_ms == sample.created_ms)
                    {
                        if remote_write::is_stale(last.value) {
                            self.faults
                                .push(format!("{name} at {at_ms}: received after the staleness marker"));
                        } else if value < last.value {
                            self.faults.push(format!(
                                "{name} at {at_ms}: counter decreased to {value} from {}",
                                last.value
                            ));
                        }
                    }
                    received.push(sample);
                    if let Some(watch) = &mut self.watch {
                        watch.add(&series.labels, at_ms, value);
                    }
                }
            }
        }
    }
}

/// A running receiver. Dropping it stops its threads.
pub struct Receiver {
    /// The address on which the receiver listens.
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    data: Arc<Mutex<ReceivedData>>,
    /// Number of bytes of a request after which the server closes the connection.
    request_limit: Arc<AtomicUsize>,
    stop: Stop,
    /// Set when the receiver is dropped. Ends the thread that evaluates alert rules.
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Interval at which the alert rules are checked for due evaluations.
const RULES_INTERVAL: Duration = Duration::from_millis(20);

/// Number of bytes sent of a response that is broken off: `HTTP/1.1 `, the status line up to the status.
const STATUS_LINE_PREFIX_BYTES: usize = 9;

/// Maximum size of a decompressed request body.
const MAX_BODY_BYTES: usize = 64 << 20;

impl Receiver {
    /// Starts a receiver on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// If a socket or a thread cannot be created.
    pub fn start(mode: Mode) -> io::Result<Self> {
        let limits = Http1Limits { body_bytes: 16 << 20, ..Http1Limits::default() };
        let mut server = Http1Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits)?;
        let (address, stop, limit) = (server.local_addr()?, server.stop(), server.cut_requests());
        limit.store(request_limit(&mode), Ordering::Relaxed);
        let mode = Arc::new(Mutex::new(mode));
        let data = Arc::new(Mutex::new(ReceivedData::default()));
        let (thread_mode, thread_data) = (Arc::clone(&mode), Arc::clone(&data));
        let thread = std::thread::Builder::new().name("receiver".to_owned()).spawn(move || {
            let result = server.run(|request| {
                let mode = lock(&thread_mode).clone();
                if let Mode::Slow(delay) = mode {
                    std::thread::sleep(delay);
                }
                reply(request, &mode, &mut lock(&thread_data))
            });
            if let Err(error) = result {
                eprintln!("the test receiver's server failed: {error}");
            }
        })?;
        let (request_limit, stopped) = (limit, Arc::default());
        Ok(Self { address, mode, data, request_limit, stop, stopped, threads: vec![thread] })
    }

    /// Starts to evaluate alert rules over the received samples, in a thread of its own. The clock of the rules runs
    /// `speed` times as fast as the wall clock.
    ///
    /// # Errors
    /// If a thread cannot be created.
    pub fn watch(&mut self, rules: Vec<Rule>, speed: u32) -> io::Result<()> {
        lock(&self.data).watch = Some(Watch::new(rules, now_ms(), speed));
        let (data, stopped) = (Arc::clone(&self.data), Arc::clone(&self.stopped));
        let thread = std::thread::Builder::new().name("rules".to_owned()).spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                if let Some(watch) = &mut lock(&data).watch {
                    watch.tick(now_ms());
                }
                std::thread::sleep(RULES_INTERVAL);
            }
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Sets the mode for all later requests.
    pub fn set_mode(&self, mode: Mode) {
        self.request_limit.store(request_limit(&mode), Ordering::Relaxed);
        *lock(&self.mode) = mode;
    }

    /// Returns a copy of the data and errors so far.
    pub fn data(&self) -> ReceivedData {
        lock(&self.data).clone()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.stop.stop();
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the number of bytes of a request after which the connection is closed.
fn request_limit(mode: &Mode) -> usize {
    if let Mode::CutRequest(bytes) = mode { *bytes } else { usize::MAX }
}

/// Responds to a request and stores its samples, according to the mode.
fn reply(request: &Request<'_>, mode: &Mode, data: &mut ReceivedData) -> Reply {
    if let Mode::Answer(status, retry_after) = *mode {
        data.rejected += 1;
        let headers = retry_after.map(|s| ("Retry-After", s.to_string())).into_iter().collect();
        return Reply {
            headers,
            ..Reply::text(status, format!("the test receiver responds {status} to all requests\n"))
        };
    }
    let content_type = request.header("content-type").unwrap_or("");
    let version = match content_type {
        t if t == Version::Two.content_type() => Version::Two,
        t if t == Version::One.content_type() || t == "application/x-protobuf" => Version::One,
        _ => return Reply::text(415, format!("unsupported content type {content_type:?}\n")),
    };
    let assume_version_1 = *mode == Mode::AssumeVersion1;
    let version = if assume_version_1 { Version::One } else { version };
    if version == Version::Two && *mode == Mode::Version1Only {
        data.rejected += 1;
        return Reply::text(415, "remote write 2.0 is not supported, only 1.0\n");
    }
    let encoding = request.header("content-encoding").unwrap_or("");
    if encoding != "snappy" {
        return Reply::text(415, format!("unsupported content encoding {encoding:?}, expected snappy\n"));
    }
    let series = match remote_write::decode(version, request.body, MAX_BODY_BYTES) {
        Ok(series) => series,
        Err(error) => return Reply::text(400, format!("{error}\n")),
    };
    if let Mode::RejectLabelValue(value) = mode
        && let Some(bad) = series.iter().find(|s| s.labels.iter().any(|(_, v)| v == value))
    {
        data.rejected += 1;
        return Reply::text(400, format!("rejected label value {value:?} in series {:?}\n", bad.labels));
    }
    data.requests[usize::from(version == Version::One)] += 1;
    let samples: usize = series.iter().map(|s| s.samples.len()).sum();
    let natives: usize = series.iter().map(|s| s.native_histograms.len()).sum();
    for s in series {
        data.receive(s);
    }
    match mode {
        Mode::LoseAcknowledgement => return Reply::text(500, "samples stored, acknowledgement withheld\n"),
        Mode::CutAnswer => return Reply { cut: Some(STATUS_LINE_PREFIX_BYTES), ..Reply::text(204, "") },
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
