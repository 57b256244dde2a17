//! A stand-in for a Prometheus remote-write receiver, versions 1.0 and 2.0: it keeps what it takes, judges it,
//! and is away, strict or forgetful as told.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use nettleferry_net::http1::{Http1, Http1Limits, Reply, Request, Stop};
use nettleferry_proto::remote_write::{self, Series, Version};

/// How it behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It takes what comes.
    Take,
    /// It takes version 1.0 alone.
    OnlyOne,
    /// It answers with this status and takes nothing; with Retry-After, seconds, where told.
    Answer(u16, Option<u32>),
    /// It takes what comes and answers 500: the acknowledgement is lost.
    Forget,
}

/// A sample as it was taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Taken {
    /// Its time.
    pub at_ms: i64,
    /// Its value.
    pub value: f64,
    /// Its series' created timestamp as told with it.
    pub created_ms: Option<i64>,
}

/// What it has taken and found.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Samples by series, in the order in which they came, repeats left out.
    pub series: BTreeMap<Vec<(String, String)>, Vec<Taken>>,
    /// Requests by version: 2.0, 1.0.
    pub requests: [u64; 2],
    /// Requests that it did not take.
    pub turned_away: u64,
    /// Samples that came again with the same value.
    pub repeated: u64,
    /// What no sender should do: another value for a time, a time before the last, labels out of order.
    pub faults: Vec<String>,
}

impl Kept {
    /// Samples of the series of a name whose labels hold all of these, in order.
    pub fn find(&self, name: &str, labels: &[(&str, &str)]) -> Vec<Taken> {
        let is = |all: &[(String, String)], name: &str, value: &str| {
            all.iter().any(|(n, v)| n == name && v == value)
        };
        let ours = self
            .series
            .iter()
            .filter(|(all, _)| is(all, "__name__", name) && labels.iter().all(|(n, v)| is(all, n, v)));
        ours.flat_map(|(_, taken)| taken.iter().copied()).collect()
    }

    fn take(&mut self, series: Series) {
        let name = format!("{:?}", series.labels);
        if !series.labels.windows(2).all(|w| w[0].0 < w[1].0) {
            self.faults.push(format!("labels out of order: {name}"));
        }
        let taken = self.series.entry(series.labels).or_default();
        for (at_ms, value) in series.samples {
            match taken.iter().find(|t| t.at_ms == at_ms) {
                Some(old) if old.value.to_bits() == value.to_bits() => self.repeated += 1,
                Some(old) => self.faults.push(format!("{name} at {at_ms}: {} and then {value}", old.value)),
                None if taken.last().is_some_and(|l| l.at_ms > at_ms) => {
                    self.faults.push(format!("{name}: {at_ms} came after a later one"));
                }
                None => taken.push(Taken { at_ms, value, created_ms: series.created_ms }),
            }
        }
    }
}

/// A running receiver; it ends when dropped.
pub struct Receiver {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    kept: Arc<Mutex<Kept>>,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

/// Bytes that a body may unpack to.
const MOST_BODY: usize = 64 << 20;

impl Receiver {
    /// Starts one.
    pub fn start(mode: Mode) -> io::Result<Self> {
        let limits = Http1Limits { body_bytes: 16 << 20, ..Http1Limits::default() };
        let mut server = Http1::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits)?;
        let (address, stop) = (server.local()?, server.stop());
        let mode = Arc::new(Mutex::new(mode));
        let kept = Arc::new(Mutex::new(Kept::default()));
        let (m, k) = (Arc::clone(&mode), Arc::clone(&kept));
        let thread = std::thread::Builder::new().name("receiver".to_owned()).spawn(move || {
            let ended = server.run(|request| {
                let mode = *lock(&m);
                reply(request, mode, &mut lock(&k))
            });
            if let Err(error) = ended {
                eprintln!("stand-in receiver: {error}");
            }
        })?;
        Ok(Self { address, mode, kept, stop, thread: Some(thread) })
    }

    /// Tells it to behave otherwise from now on.
    pub fn be(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }

    /// What it has taken and found.
    pub fn kept(&self) -> Kept {
        lock(&self.kept).clone()
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.stop.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

fn reply(request: &Request<'_>, mode: Mode, kept: &mut Kept) -> Reply {
    if let Mode::Answer(status, after) = mode {
        kept.turned_away += 1;
        let headers = after.map(|s| ("Retry-After", s.to_string())).into_iter().collect();
        return Reply { headers, ..Reply::text(status, "as told\n") };
    }
    let kind = request.header("content-type").unwrap_or("");
    let version = match kind {
        k if k == Version::Two.content_type() => Version::Two,
        k if k == Version::One.content_type() || k == "application/x-protobuf" => Version::One,
        _ => return Reply::text(415, "no such message\n"),
    };
    if version == Version::Two && mode == Mode::OnlyOne {
        kept.turned_away += 1;
        return Reply::text(415, "version 1.0 alone\n");
    }
    if request.header("content-encoding") != Some("snappy") {
        return Reply::text(415, "snappy alone\n");
    }
    let series = match remote_write::read(version, request.body, MOST_BODY) {
        Ok(series) => series,
        Err(error) => return Reply::text(400, format!("{error}\n")),
    };
    kept.requests[usize::from(version == Version::One)] += 1;
    let samples: usize = series.iter().map(|s| s.samples.len()).sum();
    for s in series {
        kept.take(s);
    }
    if mode == Mode::Forget {
        return Reply::text(500, "forgotten\n");
    }
    let headers = vec![
        ("X-Prometheus-Remote-Write-Samples-Written", samples.to_string()),
        ("X-Prometheus-Remote-Write-Histograms-Written", "0".to_owned()),
        ("X-Prometheus-Remote-Write-Exemplars-Written", "0".to_owned()),
    ];
    Reply { headers, ..Reply::text(204, "") }
}
