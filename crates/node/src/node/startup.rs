//! Builds a node from its configuration, step by step.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use mio::Interest;
use nettleferry::{ListForm, Reports, SettingsError};
use nettleferry_engine::{Engine, EngineLimits};
use nettleferry_net::clock::Clock;
use nettleferry_net::retry::retry_startup;
use nettleferry_net::tcp::{Tcp, TcpLimits};
use nettleferry_platform::config::Config;
use nettleferry_platform::frames::MAX_PAYLOAD_BYTES;
use nettleferry_platform::resp::{MAX_BODY_BYTES, MAX_TEXT_BYTES};
use nettleferry_platform_settings::PlatformSettings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use tracing::info;

use super::lifecycle::COUNTERS_LOG_INTERVAL;
use super::{DIRECTORY, Node, SIGNALS};
use crate::class::ClassInfo;
use crate::directory::DiscoveryClient;
use crate::error::NodeError;
use crate::front::Front;
use crate::limits::{ACCEPTS_PER_ITERATION, Bounds, Counters};
use crate::pools::ConnectionPools;
use crate::start_times::StartTimes;

/// Bytes of a frame around its payload, at the most.
const FRAME_OVERHEAD: usize = 64;
/// Words of a response beside its body.
const RESPONSE_WORDS: usize = 4;

/// Spans that follow from the settings.
struct Spans {
    /// For which a connection to an invoker may be in the making.
    connect_timeout: Duration,
    /// The longest that a client waits, microseconds.
    longest_deadline: u64,
}

impl Spans {
    fn of(site: &PlatformSettings) -> Self {
        let stated = site.settings.limits.connect_timeout;
        let connect_timeout =
            if stated > 0 { Duration::from_micros(stated) } else { TcpLimits::default().connect_timeout };
        let longest_deadline = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        Self { connect_timeout, longest_deadline }
    }
}

struct Sockets {
    tcp: Tcp,
    signals: Option<Signals>,
    local_addr: SocketAddr,
}

impl Node {
    /// Builds a node by the configuration in this file, and listens. `signals`: it handles SIGHUP, SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// The configuration can't be read or is not valid, or the system refused a socket for longer than startup steps are
    /// retried.
    pub fn new(path: PathBuf, signals: bool) -> Result<Self, NodeError> {
        let began = Instant::now();
        let config = read_config_with_retry(&path)?;
        let config_read = Instant::now();
        let site = nettleferry_platform_settings::read(&config.settings)?;
        let spans = Spans::of(&site);
        let bounds = Bounds::of(&config.limits, site.open_calls);
        let sockets = open_sockets(&config, &tcp_limits(&spans, &bounds), signals)?;
        let sockets_opened = Instant::now();
        let front = build_front(&site, bounds);
        let pools = build_pools(&site, bounds);
        let classes = class_infos(&site);
        let discovery_token = sockets.tcp.source_token(DIRECTORY);
        let discovery = DiscoveryClient::new(config.resolver, discovery_token, config.known_events.number);
        let engine = build_engine(site, config.seed_number(), &spans, &bounds)?;
        let now = Instant::now();
        let mut node = Self {
            path,
            clock: Clock::start(),
            tcp: sockets.tcp,
            engine,
            front,
            pools,
            discovery,
            start_times: StartTimes::default(),
            signals: sockets.signals,
            classes,
            longest_deadline: Duration::from_micros(spans.longest_deadline),
            local_addr: sockets.local_addr,
            counters: Counters::default(),
            draining_since: None,
            kill_counts_from: None,
            last_client_activity: now,
            quiet_iteration: None,
            reload_at: None,
            next_counters_log: now + COUNTERS_LOG_INTERVAL,
            next_shutdown_log: now,
            next_signal_check: now,
            signals_checked_at: now,
            tcp_events: Vec::new(),
            client_events: Vec::new(),
            requests: VecDeque::new(),
            engine_events: Vec::new(),
            commands: Vec::new(),
        };
        node.apply_list(ListForm::Restored, &config.known_events.list()?);
        info!(
            config = ?config_read - began,
            sockets = ?sockets_opened - config_read,
            total = ?began.elapsed(),
            "started"
        );
        Ok(node)
    }
}

/// Opens the poll, the signals and the listener, in this order: from the moment in which clients can connect, no signal
/// ends the process.
fn open_sockets(config: &Config, limits: &TcpLimits, signals: bool) -> Result<Sockets, NodeError> {
    let mut tcp = open_with_retry("a poll", || Tcp::new(limits.clone()))?;
    let signals = if signals { Some(open_with_retry("signals", || watch_signals(&tcp))?) } else { None };
    let local_addr = open_with_retry("listening", || tcp.listen(config.listen))?;
    Ok(Sockets { tcp, signals, local_addr })
}

fn tcp_limits(spans: &Spans, bounds: &Bounds) -> TcpLimits {
    TcpLimits {
        // The front evicts a connection for each new one: a burst waits in the system until it has.
        accepted: bounds.clients + ACCEPTS_PER_ITERATION,
        accepts_per_poll: ACCEPTS_PER_ITERATION,
        outgoing: bounds.pool_connections,
        input: (MAX_PAYLOAD_BYTES + FRAME_OVERHEAD).max(MAX_BODY_BYTES + RESPONSE_WORDS * MAX_TEXT_BYTES),
        connect_timeout: spans.connect_timeout,
        // Beyond that nobody waits for an answer.
        drain: Duration::from_micros(spans.longest_deadline),
        ..TcpLimits::default()
    }
}

fn build_front(site: &PlatformSettings, bounds: Bounds) -> Front {
    let deadlines_ms = site.settings.classes.iter().map(|class| class.deadline as f64 / 1000.0).collect();
    Front::new(&site.classes, &site.tenants, deadlines_ms, bounds)
}

fn build_pools(site: &PlatformSettings, bounds: Bounds) -> ConnectionPools {
    let idle = (site.idle_timeout > 0).then(|| Duration::from_micros(site.idle_timeout));
    let reports = site.settings.reports != Reports::None;
    ConnectionPools::new(bounds, site.streams as usize, idle, reports)
}

fn class_infos(site: &PlatformSettings) -> Vec<ClassInfo> {
    let classes = site.classes.iter().zip(&site.settings.classes);
    classes.map(|(name, class)| ClassInfo::new(name, class)).collect()
}

fn build_engine(
    site: PlatformSettings,
    seed: u64,
    spans: &Spans,
    bounds: &Bounds,
) -> Result<Engine, SettingsError> {
    let limits = EngineLimits {
        open_calls: bounds.open_calls,
        models: bounds.functions,
        // The settings hold no time-out for health checks: one has as long as a connection has to be established, and no
        // longer than the longest call.
        probe_timeout: (spans.connect_timeout.as_micros() as u64).min(spans.longest_deadline.max(1)),
        ..EngineLimits::default()
    };
    Engine::new(site.settings, site.zone.as_deref(), limits, seed)
}

/// Reads the configuration.
pub(super) fn read_config(path: &Path) -> Result<Config, NodeError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| NodeError::Read { path: path.to_owned(), source })?;
    Ok(Config::parse(&text)?)
}

/// Reads the configuration, again while the system fails to read a file that is there.
fn read_config_with_retry(path: &Path) -> Result<Config, NodeError> {
    let is_transient =
        |error: &NodeError| matches!(error, NodeError::Read { source, .. } if is_transient_read(source));
    retry_startup("reading the configuration", || read_config(path), is_transient)
}

/// Whether a failure to read a file may pass by itself, as its cause is the system and not the file.
fn is_transient_read(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), NotFound | PermissionDenied | IsADirectory | NotADirectory | InvalidData)
}

/// Opens a resource of the system, again while the system refuses it: for want of a descriptor or of memory, or as the
/// address is still held by the previous process.
fn open_with_retry<T>(operation: &'static str, open: impl FnMut() -> io::Result<T>) -> Result<T, NodeError> {
    retry_startup(operation, open, |_| true).map_err(NodeError::system(operation))
}

fn watch_signals(tcp: &Tcp) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    tcp.registry().register(&mut signals, tcp.source_token(SIGNALS), Interest::READABLE)?;
    Ok(signals)
}
