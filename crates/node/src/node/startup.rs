//! Builds a node from its configuration.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use mio::Interest;
use nettleferry::{Effect, ListForm, Reports, SettingsError};
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
use crate::limits::{ACCEPTS_PER_ITERATION, Bounds, Counters, SHORT_ANSWER_BYTES, STREAMS_PER_CLIENT};
use crate::log_budget::LogBudget;
use crate::pools::ConnectionPools;
use crate::request_queue::RequestQueue;
use crate::start_times::StartTimes;

/// Upper bound on the bytes of a frame besides its payload.
const FRAME_OVERHEAD: usize = 64;
/// Text fields of a response besides its body.
const RESPONSE_TEXT_FIELDS: usize = 4;

/// A connection may queue one of so many shares of the output of all connections.
const OUTPUT_SHARES: usize = 8;
/// Lower bound of the output that a connection may queue, bytes: two of the largest answers.
const MIN_OUTPUT: usize = 2 * (MAX_BODY_BYTES + STREAMS_PER_CLIENT * SHORT_ANSWER_BYTES);

/// Durations derived from the settings.
struct Spans {
    /// Time in which a connection to an invoker must be established.
    connect_timeout: Duration,
    /// The longest deadline of any class, microseconds.
    longest_deadline: u64,
}

impl Spans {
    fn of(platform: &PlatformSettings) -> Self {
        let stated = platform.settings.limits.connect_timeout;
        let connect_timeout =
            if stated > 0 { Duration::from_micros(stated) } else { TcpLimits::default().connect_timeout };
        let longest_deadline =
            platform.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        Self { connect_timeout, longest_deadline }
    }
}

struct Sockets {
    tcp: Tcp,
    signals: Option<Signals>,
    local_addr: SocketAddr,
}

impl Node {
    /// Builds a node from the configuration file at `path` and starts to listen. With `signals`, the node
    /// handles SIGHUP, SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be read or is not valid, or if a system resource is still
    /// refused after all startup retries.
    pub fn new(path: PathBuf, signals: bool) -> Result<Self, NodeError> {
        let began = Instant::now();
        let config = read_config_with_retry(&path)?;
        let config_read = Instant::now();
        let platform = nettleferry_platform_settings::read(&config.settings)?;
        let spans = Spans::of(&platform);
        let bounds = Bounds::of(&config.limits, platform.open_calls);
        let sockets = open_sockets(&config, &tcp_limits(&spans, &bounds), signals)?;
        let sockets_opened = Instant::now();
        let front = build_front(&platform, bounds);
        let pools = build_pools(&platform, bounds);
        let classes = class_infos(&platform);
        let discovery_token = sockets.tcp.source_token(DIRECTORY);
        let discovery = DiscoveryClient::new(config.resolver, discovery_token, config.known_events.number);
        let engine = build_engine(platform, config.seed_number(), &spans, &bounds)?;
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
            module_log: LogBudget::default(),
            next_counters_log: now + COUNTERS_LOG_INTERVAL,
            next_shutdown_log: now,
            next_signal_check: now,
            signals_checked_at: now,
            tcp_events: Vec::new(),
            client_events: Vec::new(),
            requests: RequestQueue::default(),
            engine_events_left: 0,
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

/// Opens the poll, the signal handlers and the listener, in this order: once clients can connect, no signal
/// may end the process without a graceful shutdown.
fn open_sockets(config: &Config, limits: &TcpLimits, signals: bool) -> Result<Sockets, NodeError> {
    let mut tcp = open_with_retry("a poll", || Tcp::new(limits.clone()))?;
    let signals = if signals { Some(open_with_retry("signals", || watch_signals(&tcp))?) } else { None };
    let local_addr = open_with_retry("listening", || tcp.listen(config.listen))?;
    Ok(Sockets { tcp, signals, local_addr })
}

fn tcp_limits(spans: &Spans, bounds: &Bounds) -> TcpLimits {
    TcpLimits {
        // Room for the connections of one iteration, which wait for the front to evict others. The rest of a
        // burst waits in the backlog.
        accepted: bounds.clients + ACCEPTS_PER_ITERATION,
        accepts_per_poll: ACCEPTS_PER_ITERATION,
        outgoing: bounds.pool_connections,
        input: (MAX_PAYLOAD_BYTES + FRAME_OVERHEAD)
            .max(MAX_BODY_BYTES + RESPONSE_TEXT_FIELDS * MAX_TEXT_BYTES),
        input_reserve: bounds.buffer_reserve,
        input_sum: bounds.buffer_bytes,
        output: (bounds.buffer_bytes / OUTPUT_SHARES).clamp(MIN_OUTPUT, TcpLimits::default().output),
        output_reserve: bounds.buffer_reserve,
        output_sum: bounds.buffer_bytes,
        connect_timeout: spans.connect_timeout,
        // After the longest deadline no client waits for an answer any more.
        drain: Duration::from_micros(spans.longest_deadline),
        ..TcpLimits::default()
    }
}

fn build_front(platform: &PlatformSettings, bounds: Bounds) -> Front {
    let deadlines_ms = platform.settings.classes.iter().map(|class| class.deadline as f64 / 1000.0).collect();
    let idempotent =
        platform.settings.classes.iter().map(|class| class.effect == Effect::Idempotent).collect();
    Front::new(&platform.classes, &platform.tenants, deadlines_ms, idempotent, bounds)
}

fn build_pools(platform: &PlatformSettings, bounds: Bounds) -> ConnectionPools {
    let idle = (platform.idle_timeout > 0).then(|| Duration::from_micros(platform.idle_timeout));
    let reports = platform.settings.reports != Reports::None;
    let mut pools = ConnectionPools::new(bounds, platform.streams as usize, idle, reports);
    let loading = &platform.settings.loading;
    if loading.orders {
        pools.check_identity(Duration::from_micros(loading.keep_alive));
    }
    pools
}

fn class_infos(platform: &PlatformSettings) -> Vec<ClassInfo> {
    let classes = platform.classes.iter().zip(&platform.settings.classes);
    classes.map(|(name, class)| ClassInfo::new(name, class)).collect()
}

fn build_engine(
    platform: PlatformSettings,
    seed: u64,
    spans: &Spans,
    bounds: &Bounds,
) -> Result<Engine, SettingsError> {
    let limits = EngineLimits {
        open_calls: bounds.open_calls,
        models: bounds.functions,
        // The settings have no timeout for health checks. They get the connect timeout, limited to the
        // longest deadline of a call.
        probe_timeout: (spans.connect_timeout.as_micros() as u64).min(spans.longest_deadline.max(1)),
        ..EngineLimits::default()
    };
    Engine::new(platform.settings, platform.zone.as_deref(), limits, seed)
}

/// Reads and parses the configuration file.
pub(super) fn read_config(path: &Path) -> Result<Config, NodeError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| NodeError::Read { path: path.to_owned(), source })?;
    Ok(Config::parse(&text)?)
}

/// Reads the configuration, with retries while reading an existing file fails for a transient reason.
fn read_config_with_retry(path: &Path) -> Result<Config, NodeError> {
    let is_transient =
        |error: &NodeError| matches!(error, NodeError::Read { source, .. } if is_transient_read(source));
    retry_startup("reading the configuration", || read_config(path), is_transient)
}

/// Whether a read error may be transient: caused by the system, not by the file or its permissions.
fn is_transient_read(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), NotFound | PermissionDenied | IsADirectory | NotADirectory | InvalidData)
}

/// Opens a system resource, with retries: descriptors or memory may be short, or the previous process may
/// still use the address.
fn open_with_retry<T>(operation: &'static str, open: impl FnMut() -> io::Result<T>) -> Result<T, NodeError> {
    retry_startup(operation, open, |_| true).map_err(NodeError::system(operation))
}

fn watch_signals(tcp: &Tcp) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    tcp.registry().register(&mut signals, tcp.source_token(SIGNALS), Interest::READABLE)?;
    Ok(signals)
}
