//! A controller's settings file. `examples/nettleferry.sexp` shows every key with its meaning and default.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::{
    Class, ClassId, Discovery, Effect, Group, Limits, Loading, Micros, Reports, Rules, Settings, Tenant,
    TenantId, Weights, WhenAbsent,
};

use crate::form::{Bytes, Errors, Form, Source, TimeSpan, nearest};

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the gRPC front listens.
    pub grpc: SocketAddr,
    /// This controller's zone.
    pub zone: Option<String>,
    /// Seed of the module's chance; `None`: from the system at start.
    pub seed: Option<u64>,
    /// The worker list's file.
    pub workers: PathBuf,
    /// How often the file is looked at.
    pub workers_check: Micros,
    /// Where the last list is kept for the next start; `None`: it is not.
    pub workers_kept: Option<PathBuf>,
    /// For the decision module. The zone is filled in by the engine.
    pub settings: Settings,
    /// Names of the classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenants by name.
    pub tenants: HashMap<String, TenantId>,
    /// The models.
    pub models: Models,
    /// Bounds at the edge.
    pub edge: Edge,
    /// Figures.
    pub figures: Figures,
    /// Administration; `None`: tenants are those of the settings, and nothing listens.
    pub admin: Option<Admin>,
    /// What is done first after a restart.
    pub recovery: Recovery,
    /// A checksum of the file's text, so that controllers can be told apart by their settings.
    pub sum: u64,
}

/// What is done first after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// When calls that can't be answered in time are refused as they come.
    pub gate: GateWhen,
}

/// When the gate judges calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GateWhen {
    /// Never.
    Never,
    /// After a start that found an earlier life's worker list.
    #[default]
    Restart,
    /// After every start.
    Always,
}

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

/// Administration of tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct Admin {
    /// Whose tenants they are.
    pub desk: Desk,
    /// Calls that name no tenant are taken, without limits of admission.
    pub anonymous: bool,
    /// Calls that may wait for a worker before tenants share the places by weight.
    pub places: u32,
    /// The record of what this controller acted on; `None`: none is kept.
    pub trail: Option<Trail>,
    /// Part of each limit that is divided for good among the controllers; the rest is lent by demand. 1: nothing is.
    pub reserve: f64,
}

/// The record of what a controller acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trail {
    /// Folder of its log.
    pub folder: PathBuf,
    /// Bytes of it at the most; the oldest lines go first.
    pub bytes: u64,
}

/// Whose tenants a controller has.
#[derive(Clone, Debug, PartialEq)]
pub enum Desk {
    /// Its own: it keeps the store and listens.
    Own {
        /// Where the API listens.
        listen: SocketAddr,
        /// The store's file.
        store: PathBuf,
        /// Who may ask.
        keys: Vec<AdminKey>,
        /// Controllers that are asked which book they hold, where it is open which one stands.
        peers: Vec<SocketAddr>,
        /// File of the key to ask them with.
        peer_key: Option<PathBuf>,
        /// Span of the leases that followers get; `None`: they get none.
        lease: Option<Micros>,
        /// Disks of others that are to hold a change before it is acknowledged, where there are so many.
        held_by: usize,
    },
    /// Those of another controller's administration.
    Follow {
        /// Its address.
        to: SocketAddr,
        /// File of the key to ask with, of role controller.
        key_file: PathBuf,
        /// File of the book as it was last, for a start without the other.
        kept: PathBuf,
        /// Where it gives its book to others who lack one, and to whom.
        window: Option<(SocketAddr, Vec<AdminKey>)>,
        /// Controllers that are asked for a book where none was kept and the administration is silent.
        peers: Vec<SocketAddr>,
        /// What it does while it has no lease.
        straggler: Straggler,
    },
}

/// What a controller does that does not know whether what it last heard still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Straggler {
    /// It refuses calls; else it goes on with what it last heard.
    pub refuses: bool,
    /// It is not ready once it had no lease for so long; `None`: that changes nothing.
    pub leaves_after: Option<Micros>,
}

/// A key of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminKey {
    /// Its name: who, in the audit trail.
    pub name: String,
    /// viewer, operator, admin or controller.
    pub role: String,
    /// Its secret's argon2 hash, as `nettleferry admin key` prints it.
    pub hash: String,
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

/// Bounds and spans at the edge; each is told in the settings' page.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Calls open at once.
    pub open_calls: usize,
    /// Models remembered by name.
    pub models: usize,
    /// An answer is given this long before the client's deadline.
    pub answer_margin: Micros,
    /// A probe without an answer ends.
    pub probe_timeout: Micros,
    /// Advice in a refusal where the module gives none.
    pub pushback: Micros,
    /// Bytes of one message.
    pub message_bytes: usize,
    /// Bytes of a header list.
    pub header_bytes: u32,
    /// Client connections.
    pub connections: usize,
    /// Streams on one client connection.
    pub streams_per_connection: u32,
    /// Open calls on one ModelStreamInfer stream.
    pub calls_per_stream: usize,
    /// Connections to one worker.
    pub worker_connections: usize,
    /// Streams on one connection to a worker.
    pub worker_streams: usize,
    /// Bytes queued for one client's stream before its worker is made to wait.
    pub send_queue: usize,
    /// Receive window of a stream.
    pub stream_window: u32,
    /// Streams reset before they were looked at, on one connection.
    pub reset_streams: usize,
    /// A connection without calls is closed.
    pub idle: Micros,
    /// An accepted connection must speak HTTP/2 within this span.
    pub handshake_timeout: Micros,
    /// At SIGTERM, open calls have this long.
    pub drain: Micros,
}

/// A tensor, for ModelMetadata.
#[derive(Clone, Debug, PartialEq)]
pub struct Tensor {
    /// Its name.
    pub name: String,
    /// Its datatype, as the protocol writes it.
    pub datatype: String,
    /// Its shape; -1 is any size.
    pub shape: Vec<i64>,
}

/// A model, or all whose names begin alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its place among the settings' models, for figures.
    pub group: u32,
    /// Its class.
    pub class: ClassId,
    /// Calls that one copy runs at once.
    pub lanes: u32,
    /// Memory of a copy, bytes.
    pub memory: Option<u64>,
    /// Usual time of a load.
    pub load_time: Option<Micros>,
    /// Usual work of a call.
    pub work: Option<Micros>,
    /// Versions served; empty: any.
    pub versions: Vec<String>,
    /// Its platform, for ModelMetadata.
    pub platform: String,
    /// Its inputs.
    pub inputs: Vec<Tensor>,
    /// Its outputs.
    pub outputs: Vec<Tensor>,
}

/// Models by name or by the longest beginning of it.
#[derive(Clone, Debug, Default)]
pub struct Models {
    exact: HashMap<String, Model>,
    prefixes: HashMap<String, Model>,
    longest: usize,
    groups: Vec<String>,
}

impl Models {
    /// Names of the models as the settings write them, by [`Model::group`].
    pub fn groups(&self) -> &[String] {
        &self.groups
    }

    /// What the settings say of a model in a version; empty: any. `None`: it is not served.
    pub fn served(&self, name: &str, version: &str) -> Option<&Model> {
        let any = |m: &&Model| {
            version.is_empty() || m.versions.is_empty() || m.versions.iter().any(|v| v == version)
        };
        self.find(name).filter(any)
    }

    /// What the settings say of a model; `None`: nothing matches.
    pub fn find(&self, name: &str) -> Option<&Model> {
        if let Some(model) = self.exact.get(name) {
            return Some(model);
        }
        // Longest first, and no longer than the longest that is told: the work is bounded by the settings.
        let most = name.len().min(self.longest);
        (0..=most).rev().filter_map(|n| name.get(..n)).find_map(|prefix| self.prefixes.get(prefix))
    }
}

/// Most classes, models and tenants of a file.
pub const MOST_CLASSES: usize = 256;
/// See [`MOST_CLASSES`].
pub const MOST_MODELS: usize = 100_000;
/// Most series of calls.
pub const MOST_SERIES: u64 = 100_000;
/// See [`MOST_CLASSES`].
pub const MOST_TENANTS: usize = 10_000;

/// Reads a settings file.
pub fn read(file: &str, text: &str) -> Result<Config, Errors> {
    let (source, mut top) = Source::open(file, text);
    let mut listen = top.need("listen");
    let grpc = listen.as_mut().and_then(|f| f.must("grpc"));
    if let Some(form) = listen {
        form.end();
    }
    let (me, controllers, zone, seed) = controller(&mut top);
    let (workers, workers_check, workers_kept) = list(&mut top);
    let (classes, mut names) = classes(&mut top);
    let (tenants, tenant_names) = tenants(&mut top);
    let over_quota_worth = top.or("over-quota-worth", 1.0);
    let models = models(&mut top, &mut names);
    let discovery =
        top.word_or("discovery", &[("push", Discovery::Push), ("ask", Discovery::Ask)], Discovery::Push);
    let reports = [("none", Reports::None), ("probe", Reports::Probe), ("answers", Reports::Answers)];
    let reports = top.word_or("reports", &reports, Reports::Answers);
    let weights = [
        ("none", Weights::None),
        ("nominal", Weights::Nominal),
        ("rough", Weights::Rough),
        ("live", Weights::Live),
    ];
    let weights = top.word_or("weights", &weights, Weights::None);
    let loading = loading(&mut top);
    let rules = rules(&mut top);
    let step = top.span_or("step", 1_000);
    let (limits, edge) = limits(&mut top);
    let figures = figures(&mut top);
    let admin = top.sub("admin").and_then(admin);
    let recovery = recovery(&mut top);
    top.end();
    let settings = Settings {
        me,
        controllers,
        zone: None,
        classes,
        tenants,
        over_quota_worth,
        discovery,
        reports,
        weights,
        loading,
        limits,
        rules,
        step,
    };
    let value = grpc.zip(workers).map(|(grpc, workers)| Config {
        grpc,
        zone,
        seed,
        workers,
        workers_check,
        workers_kept,
        settings,
        classes: names.clone(),
        tenants: tenant_names,
        models,
        edge,
        figures,
        admin,
        recovery,
        sum: u64::from(crc32fast::hash(text.as_bytes())),
    });
    source.finish(value)
}

fn controller(top: &mut Form) -> (u32, u32, Option<String>, Option<u64>) {
    let mut form = top.group("controller");
    let (me, of) = (form.or("number", 0), form.or("of", 1u32));
    if of == 0 {
        form.fault("(of 0): there is at least this controller");
    } else if me >= of {
        form.fault(format!("(number {me}): numbers go from 0 to {}", of - 1));
    }
    let (zone, seed) = (form.get("zone"), form.get("seed"));
    form.end();
    (me, of, zone, seed)
}

fn list(top: &mut Form) -> (Option<PathBuf>, Micros, Option<PathBuf>) {
    let Some(mut form) = top.need("workers") else { return (None, 0, None) };
    let file: Option<String> = form.must("file");
    let check = form.span_or("check-every", 200_000);
    if check < 1_000 {
        form.fault("(check-every ...): 1ms at the least");
    }
    let kept: Option<String> = form.get("kept");
    form.end();
    (file.map(PathBuf::from), check.max(1_000), kept.map(PathBuf::from))
}

fn classes(top: &mut Form) -> (Vec<Class>, Vec<String>) {
    let (mut classes, mut names) = (Vec::new(), Vec::<String>::new());
    for mut form in top.all("class") {
        let name: String = form.want("its name").unwrap_or_default();
        if names.contains(&name) {
            form.fault(format!("class {name} stands twice: names are unique"));
        }
        let aim = form.must::<TimeSpan>("aim").map_or(1, |s| s.0);
        let deadline = form.must::<TimeSpan>("deadline").map_or(aim, |s| s.0);
        if deadline < aim || aim == 0 {
            form.fault(format!("class {name}: the aim is above zero and not longer than the deadline"));
        }
        let late_share = form.or("late-share", 0.0);
        if late_share > 1.0 {
            form.fault(format!("class {name}: (late-share ...) is a share, from 0 to 1"));
        }
        classes.push(Class {
            aim,
            deadline,
            effect: effect(&mut form).unwrap_or(Effect::Unsafe),
            worth: form.or("worth", 1.0),
            late_share,
            stream: form.or("stream", false),
        });
        names.push(name);
        form.end();
    }
    if classes.is_empty() {
        top.fault("the settings name no (class ...): write at least one, with effect, aim and deadline");
    } else if classes.len() > MOST_CLASSES {
        top.fault(format!("{} classes; at most {MOST_CLASSES} are taken", classes.len()));
    }
    (classes, names)
}

fn effect(form: &mut Form) -> Option<Effect> {
    let mut form = form.need("effect")?;
    let word = form.word("effect", &[("safe", 0), ("keyed", 1), ("unsafe", 2)])?;
    let effect = match word {
        0 => Effect::Safe,
        1 => {
            let group = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
            let group = form.word("the group that drops repeats", &group);
            let window: Option<TimeSpan> = form.want("the window in which repeats are dropped");
            Effect::Keyed { group: group?, window: window?.0 }
        }
        _ => Effect::Unsafe,
    };
    form.end();
    Some(effect)
}

fn tenants(top: &mut Form) -> (Vec<Tenant>, HashMap<String, TenantId>) {
    let (mut tenants, mut names) = (Vec::new(), HashMap::new());
    for mut form in top.all("tenant") {
        let name: String = form.want("its name").unwrap_or_default();
        if names.insert(name.clone(), TenantId(tenants.len())).is_some() {
            form.fault(format!("tenant {name} stands twice: names are unique"));
        }
        tenants.push(Tenant { quota_per_s: form.get("quota-per-second") });
        form.end();
    }
    if tenants.len() > MOST_TENANTS {
        top.fault(format!("{} tenants; at most {MOST_TENANTS} are taken", tenants.len()));
    }
    (tenants, names)
}

fn models(top: &mut Form, classes: &mut [String]) -> Models {
    let mut models = Models::default();
    let mut count: u32 = 0;
    for mut form in top.all("model") {
        count += 1;
        let name: String = form.want("its name, or the beginning of names and a *").unwrap_or_default();
        let class: Option<String> = form.must("class");
        let found = class.as_ref().and_then(|class| classes.iter().position(|c| c == class));
        if let (Some(class), None) = (&class, found) {
            let hint = nearest(class, classes.iter().map(String::as_str));
            form.fault(format!("model {name}: there is no class {class}{hint}"));
        }
        let mut versions = Vec::new();
        if let Some(mut list) = form.sub("versions") {
            while let Some(version) = list.take() {
                versions.push(version);
            }
            list.end();
        }
        models.groups.push(name.clone());
        let model = Model {
            group: count - 1,
            class: ClassId(found.unwrap_or(0)),
            lanes: form.or("lanes", 1u32).max(1),
            memory: form.get::<Bytes>("memory").map(|b| b.0),
            load_time: form.get::<TimeSpan>("load-time").map(|s| s.0),
            work: form.get::<TimeSpan>("work").map(|s| s.0),
            versions,
            platform: form.or("platform", "nettleferry".to_owned()),
            inputs: tensors(&mut form, "input"),
            outputs: tensors(&mut form, "output"),
        };
        let old = match name.strip_suffix('*') {
            Some(prefix) => {
                models.longest = models.longest.max(prefix.len());
                models.prefixes.insert(prefix.to_owned(), model)
            }
            None => models.exact.insert(name.clone(), model),
        };
        if old.is_some() {
            form.fault(format!("model {name} stands twice: keep one"));
        }
        form.end();
    }
    if count == 0 {
        top.fault("the settings name no (model ...): every call would be NOT_FOUND; write (model \"*\" (class ...))");
    } else if count as usize > MOST_MODELS {
        top.fault(format!("{count} models; at most {MOST_MODELS} are taken"));
    }
    models
}

fn tensors(form: &mut Form, key: &'static str) -> Vec<Tensor> {
    let mut all = Vec::new();
    for mut tensor in form.all(key) {
        let name = tensor.want("its name");
        let datatype = tensor.want("its datatype, such as FP32");
        let mut shape = Vec::new();
        while let Some(size) = tensor.take() {
            shape.push(size);
        }
        tensor.end();
        if let (Some(name), Some(datatype)) = (name, datatype) {
            all.push(Tensor { name, datatype, shape });
        }
    }
    all
}

fn loading(top: &mut Form) -> Loading {
    let mut form = top.group("loading");
    let absent = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    let when_absent = form.word_or("when-absent", &absent, WhenAbsent::Load);
    let (mut window, mut floor, mut share) = (0, 0.0, 0.0);
    if let Some(mut ration) = form.sub("ration") {
        window = ration.must::<TimeSpan>("window").map_or(0, |s| s.0);
        floor = ration.or("floor", 0.0);
        share = ration.or("share", 0.0);
        ration.end();
    }
    let loading = Loading {
        when_absent,
        keep_alive: form.span_or("keep-alive", 8_000_000),
        orders: form.or("orders", true),
        order_timeout: form.span_or("order-timeout", 10_000_000),
        notes: form.or("notes", true),
        crowd: form.or("crowd", true),
        ration_window: window,
        ration_floor: floor,
        ration_share: share,
        spent: false,
        memory_price: form.or("memory-price", 0.0),
    };
    if loading.when_absent == WhenAbsent::Miss && !loading.orders {
        form.fault("(when-absent miss) with (orders no): no model would ever be loaded");
    }
    form.end();
    loading
}

fn rules(top: &mut Form) -> Rules {
    let mut form = top.group("rules");
    let rules = Rules {
        // Answers are due before the deadline: see (limits (answer-margin ...)).
        answer_grace: 0,
        drain_grace: form.span_or("drain-grace", 500_000),
        must_ask_in: form.span_or("must-ask-in", 10_000_000),
        start_capacity: form.or("start-capacity", 1.0),
        cold: form.span_or("cold", 0),
        overload_factor: form.or("overload-factor", 1.0),
        fall: form.span_or("fall", 0),
    };
    if rules.start_capacity <= 0.0 || rules.start_capacity > 1.0 {
        form.fault("(start-capacity ...): a share above 0, at most 1");
    }
    form.end();
    rules
}

fn figures(top: &mut Form) -> Figures {
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

fn recovery(top: &mut Form) -> Recovery {
    let mut form = top.group("recovery");
    let words = [("never", GateWhen::Never), ("restart", GateWhen::Restart), ("always", GateWhen::Always)];
    let gate = form.word_or("gate", &words, GateWhen::Restart);
    form.end();
    Recovery { gate }
}

fn admin(mut form: Form) -> Option<Admin> {
    let desk = match form.get::<SocketAddr>("follow") {
        Some(to) => {
            let (key_file, kept) = (form.must::<String>("key-file"), form.must::<String>("kept"));
            let (listen, keys, peers) =
                (form.get::<SocketAddr>("listen"), admin_keys(&mut form), peers(&mut form));
            if listen.is_some() == keys.is_empty() {
                form.fault("(listen ...) and (key NAME ROLE HASH) go together: who may have the book");
            }
            let window = listen.map(|listen| (listen, keys));
            let words = [("serve", false), ("refuse", true)];
            let straggler = Straggler {
                refuses: form.word_or("without-lease", &words, false),
                leaves_after: form.get::<TimeSpan>("leave-after").map(|span| span.0),
            };
            let follow = |(k, f): (String, String)| Desk::Follow {
                to,
                key_file: k.into(),
                kept: f.into(),
                window,
                peers,
                straggler,
            };
            key_file.zip(kept).map(follow)
        }
        None => own_desk(&mut form),
    };
    let (anonymous, places) = (form.or("anonymous", false), form.or("places", 256u32));
    let trail = form.sub("trail").and_then(trail);
    let mut reserve = 1.0;
    if let Some(mut loans) = form.sub("loans") {
        reserve = loans.or("reserve", RESERVE);
        if !(0.0..=1.0).contains(&reserve) {
            loans.fault("(reserve ...): a part, from 0 to 1");
        }
        loans.end();
    }
    if reserve < 1.0 && matches!(desk, Some(Desk::Own { lease: None, .. })) {
        form.fault("(loans ...) last as long as leases: write (lease SPAN)");
    }
    form.end();
    Some(Admin { desk: desk?, anonymous, places, trail, reserve })
}

fn trail(mut form: Form) -> Option<Trail> {
    let folder: Option<String> = form.must("folder");
    let bytes = form.get::<Bytes>("size").map_or(TRAIL_BYTES, |b| b.0);
    if bytes < LEAST_TRAIL {
        form.fault("(size ...): 64KiB at the least");
    }
    form.end();
    folder.map(|folder| Trail { folder: folder.into(), bytes: bytes.max(LEAST_TRAIL) })
}

/// Part of a limit that is divided for good, where loans are given.
const RESERVE: f64 = 0.2;

/// Size of a record's log where not told, and the least.
const TRAIL_BYTES: u64 = 64 << 20;
const LEAST_TRAIL: u64 = 64 << 10;

/// Span of a lease where not told, and its bounds.
const LEASE: Micros = 6_000_000;
const LEAST_LEASE: Micros = 200_000;
const MOST_LEASE: Micros = 60_000_000;

/// Most peers that one controller names: of a larger fleet a part is enough.
const MOST_PEERS: usize = 64;

fn peers(form: &mut Form) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for mut peer in form.all("peer") {
        let address: Option<SocketAddr> = peer.want("its address");
        // One that is named twice is one: it is heard once.
        all.extend(address.filter(|address| !all.contains(address)));
        peer.end();
    }
    if all.len() > MOST_PEERS {
        form.fault(format!("{} peers: at most {MOST_PEERS}", all.len()));
    }
    all
}

fn own_desk(form: &mut Form) -> Option<Desk> {
    let (listen, store) = (form.must("listen"), form.must::<String>("store"));
    let (keys, peers) = (admin_keys(form), peers(form));
    let peer_key: Option<String> = form.get("peer-key-file");
    if peers.is_empty() != peer_key.is_none() {
        form.fault(
            "(peer ...) and (peer-key-file ...) go together: a key of role controller that the peers know",
        );
    }
    if keys.is_empty() {
        form.fault(
            "no (key NAME ROLE HASH): nothing listens that nobody may ask; nettleferry admin key NAME ROLE makes one",
        );
    }
    let peer_key = peer_key.map(PathBuf::from);
    let lease = form.span_or("lease", LEASE);
    if lease != 0 && !(LEAST_LEASE..=MOST_LEASE).contains(&lease) {
        form.fault("(lease ...): 200ms to 60s, or 0s where followers get none");
    }
    let lease = Some(lease).filter(|span| *span > 0);
    let held_by: u64 = form.or("held-by", 1);
    if held_by > MOST_PEERS as u64 {
        form.fault(format!("(held-by {held_by}): at most {MOST_PEERS}"));
    }
    let held_by = held_by as usize;
    Some(Desk::Own { listen: listen?, store: store?.into(), keys, peers, peer_key, lease, held_by })
}

fn admin_keys(form: &mut Form) -> Vec<AdminKey> {
    let mut keys: Vec<AdminKey> = Vec::new();
    for mut key in form.all("key") {
        let name: Option<String> = key.want("its name");
        let role: Option<String> = key.want("its role");
        let hash: Option<String> = key.want("its hash");
        if let (Some(name), Some(role), Some(hash)) = (name, role, hash) {
            if !["viewer", "operator", "admin", "controller"].contains(&role.as_str()) {
                key.fault(format!("role {role}: viewer, operator, admin or controller"));
            }
            if !hash.starts_with("$argon2") {
                key.fault("the hash is an argon2 one, as nettleferry admin key prints it");
            }
            if keys.iter().any(|k| k.name == name) {
                key.fault(format!("key {name} stands twice: names are unique"));
            }
            keys.push(AdminKey { name, role, hash });
        }
        key.end();
    }
    keys
}

fn push(mut form: Form) -> Option<Push> {
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

fn limits(top: &mut Form) -> (Limits, Edge) {
    let mut form = top.group("limits");
    let mut whole = |key, default: u64, least: u64| {
        let n = form.or(key, default);
        if n < least {
            form.fault(format!("({key} {n}): {least} at the least"));
        }
        usize::try_from(n.max(least)).unwrap_or(usize::MAX)
    };
    let (attempts, open_calls, models) =
        (whole("attempts", 3, 1), whole("open-calls", 20_000, 1), whole("models-remembered", 65_536, 1));
    let (connections, streams) = (whole("connections", 4096, 1), whole("streams-per-connection", 16_384, 1));
    let (calls, reset) = (whole("calls-per-stream", 1024, 1), whole("reset-streams", 64, 1));
    let (worker_connections, worker_streams) =
        (whole("worker-connections", 4, 1), whole("worker-streams", 1000, 1));
    let mut size = |key, default: u64, least: u64, most: u64| {
        let n = form.or(key, Bytes(default)).0;
        if n < least || n > most {
            form.fault(format!("({key} ...): from {least}B to {most}B"));
        }
        n.clamp(least, most)
    };
    let message = size("message-size", 64 << 20, 1 << 10, 2 << 30);
    let header = size("header-size", 16 << 10, 4 << 10, 1 << 20);
    let queue = size("send-queue", 256 << 10, 16 << 10, 64 << 20);
    let window = size("stream-window", 1 << 20, 64 << 10, 64 << 20);
    let limits = Limits {
        max_attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        parallel: false,
        probes: form.or("probes", true),
        cancel: true,
        retry_after: form.get::<TimeSpan>("retry-after").map(|s| s.0),
        connect_timeout: form.span_or("connect-timeout", 250_000),
    };
    let edge = Edge {
        open_calls,
        models,
        answer_margin: form.span_or("answer-margin", 10_000),
        probe_timeout: form.span_or("probe-timeout", 1_000_000),
        pushback: form.span_or("pushback", 100_000),
        message_bytes: message as usize,
        header_bytes: header as u32,
        connections,
        streams_per_connection: u32::try_from(streams).unwrap_or(u32::MAX),
        calls_per_stream: calls,
        worker_connections,
        worker_streams,
        send_queue: queue as usize,
        stream_window: window as u32,
        reset_streams: reset,
        idle: form.span_or("idle", 30_000_000),
        handshake_timeout: form.span_or("handshake-timeout", 5_000_000),
        drain: form.span_or("drain", 30_000_000),
    };
    form.end();
    (limits, edge)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "(listen (grpc \"127.0.0.1:0\")) (workers (file \"w.sexp\"))
        (class c (effect safe) (aim 600ms) (deadline 4s))";

    fn errors(text: &str) -> String {
        read("n.sexp", text).map(|_| ()).expect_err("wrong").to_string()
    }

    #[test]
    fn the_example_is_sound_and_tells_every_setting() {
        let text = include_str!("../../../examples/nettleferry.sexp");
        let config = read("examples/nettleferry.sexp", text).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(config.classes, ["quick", "keyed", "once"]);
        assert_eq!(
            config.settings.classes[1].effect,
            Effect::Keyed { group: Group::Zone, window: 5_000_000 }
        );
        assert_eq!(config.settings.loading.ration_window, 10_000_000);
        assert_eq!(config.models.find("climb-windhoek").expect("by prefix").lanes, 4);
    }

    #[test]
    fn the_longest_beginning_wins() {
        let text = format!(
            "{SMALL} (model \"*\" (class c)) (model \"echo-*\" (class c) (lanes 2))
             (model \"echo-big-*\" (class c) (lanes 3)) (model echo-big-1 (class c) (lanes 4))"
        );
        let models = read("n", &text).expect("sound").models;
        let lanes = |name| models.find(name).expect("all match").lanes;
        assert_eq!(
            ["echo-big-1", "echo-big-2", "echo-c", "echo-", "echo", "zebra"].map(lanes),
            [4, 3, 2, 2, 1, 1]
        );
    }

    #[test]
    fn what_is_missing_is_told_with_the_fix() {
        let told = errors("");
        for part in ["lacks (listen ...)", "lacks (workers ...)", "no (class ...)", "no (model ...)"] {
            assert!(told.contains(part), "{part} in {told}");
        }
    }

    #[test]
    fn a_class_that_is_not_there_gets_a_suggestion() {
        let told = errors(&format!(
            "{SMALL} (class credit (effect unsafe) (aim 1s) (deadline 2s)) (model m (class credti))"
        ));
        assert!(told.contains("there is no class credti: did you mean credit?"), "{told}");
    }

    #[test]
    fn what_can_never_work_is_refused() {
        let told = errors(&format!(
            "{SMALL} (model m (class c)) (class d (effect (keyed zone)) (aim 5s) (deadline 4s))
             (loading (when-absent miss) (orders no)) (controller (number 3) (of 3)) (limits (attempts 0) (idle 30))"
        ));
        for part in [
            "the aim is above zero and not longer",
            "no model would ever be loaded",
            "numbers go from 0 to 2",
            "(attempts 0): 1 at the least",
            "(idle ...): write a span with its unit",
        ] {
            assert!(told.contains(part), "{part} in {told}");
        }
    }
}
