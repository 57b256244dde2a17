//! Tenants of the administration at this controller: names to places, the admission's verdicts in a front's
//! words, and changes carried out in order. Decides nothing: limits are judged by `nettleferry-admission`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use nettleferry::{Micros, TenantId};
use nettleferry_admin::api::Usage;
use nettleferry_administration::{Demand, Lent, MOST_DEMANDS};
use nettleferry_admission::{Admission, CallRequest, Limits, Policy, RateLimit, RejectReason, Verdict};
use nettleferry_engine::{CallOutcome, Phase, Step};
use nettleferry_fleet::loans::{Kind, LoanConfig};
use nettleferry_tenancy::{Entry, Revision, Spec, State, Tenant, TenantSnapshot};
use slab::Slab;

/// RejectReason a call is turned away, for a front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turned {
    /// It has no right to call: no retry will do. Else it is over a limit.
    pub denied: bool,
    /// For people.
    pub message: String,
    /// Stay away so long, where it is known.
    pub wait: Option<Micros>,
}

struct Place {
    name: Arc<str>,
    uid: Revision,
    spec: Spec,
    state: State,
    asked: Asks,
    ends: BTreeMap<&'static str, u64>,
}

/// What came of a tenant, to know what it could use of its limits.
#[derive(Clone, Copy, Debug, Default)]
struct Asks {
    /// Calls since the last look, and those of them that found no open or held place.
    came: u64,
    no_open: u32,
    no_held: u32,
    /// Bytes that were asked for beyond its part.
    no_memory: u64,
    /// Calls a second, smoothed over looks.
    rate: f64,
}

/// A loan in force.
struct Borrowed {
    limit: f64,
    number: u64,
    by: u64,
    amount: f64,
    until: Micros,
}

/// Demands are looked at so often at the most.
const LOOK_EVERY: Micros = 400_000;

/// Where no book is held yet, a client is to come back after this span.
const BLIND_WAIT: Micros = 500_000;

/// A call of a tenant.
struct InHand {
    place: usize,
    class: usize,
    model: u64,
}

/// All of them.
pub struct Tenants {
    /// Numbers of the settings' own tenants come first.
    base: usize,
    classes: HashMap<String, usize>,
    class_names: Vec<String>,
    anonymous: bool,
    terms: LoanConfig,
    /// Loans in force, and when the first of them is over.
    loans: HashMap<(Revision, Kind), Borrowed>,
    loan_ends: Micros,
    looked: Micros,
    places: Slab<Place>,
    names: HashMap<Arc<str>, usize>,
    admission: Admission,
    calls: HashMap<u64, InHand>,
    /// Places whose usage has changed since it was shown, and tenants that are gone since.
    touched: BTreeSet<usize>,
    gone: Vec<Revision>,
    /// The revision that is in force.
    revision: Revision,
    /// No book is held: who may call is not known.
    blind: bool,
    /// Calls turned away, by reason in the order of [`RejectReason::ALL`].
    turned: [u64; RejectReason::ALL.len()],
}

/// Words for the ends of calls, as the figures have them.
fn end_word(how: CallOutcome) -> &'static str {
    match how {
        CallOutcome::Served => "served",
        CallOutcome::Rejected => "rejected",
        CallOutcome::Refused => "refused",
        CallOutcome::Failed => "failed",
        CallOutcome::ClientGone => "cancelled",
    }
}

impl Tenants {
    /// No tenants yet. `terms`: how a limit is divided.
    pub fn new(base: usize, classes: &[String], anonymous: bool, places: u32, terms: LoanConfig) -> Self {
        Self {
            base,
            classes: classes.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect(),
            class_names: classes.to_vec(),
            anonymous,
            terms,
            loans: HashMap::new(),
            loan_ends: Micros::MAX,
            looked: 0,
            places: Slab::new(),
            names: HashMap::new(),
            admission: Admission::new(places),
            calls: HashMap::new(),
            touched: BTreeSet::new(),
            gone: Vec::new(),
            revision: 0,
            blind: false,
            turned: Default::default(),
        }
    }

    /// A tenant's name, while it has its place.
    pub fn name(&self, tenant: TenantId) -> Option<&Arc<str>> {
        self.places.get(tenant.0.checked_sub(self.base)?).map(|place| &place.name)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Until a book is told, nobody's rights are known: calls are refused, and not denied.
    pub fn blind(&mut self) {
        self.blind = true;
    }

    /// The book is of a life before: what that took of rates is not known, and no tenant gets a second burst.
    pub fn spend(&mut self, now: Micros) {
        for (place, _) in &self.places {
            self.admission.exhaust_rates(now, place);
        }
    }

    /// Begins with a book.
    pub fn begin(&mut self, book: &TenantSnapshot) {
        for tenant in book.tenants() {
            self.put(tenant);
        }
        self.revision = book.revision();
        self.blind = false;
    }

    /// Puts a change in force. `Some`: this tenant is gone, and its calls are to be ended before
    /// [`Tenants::forget`].
    pub fn apply(&mut self, entry: &Entry) -> Option<TenantId> {
        self.revision = entry.revision;
        match &entry.after {
            Some(tenant) => {
                self.put(tenant);
                None
            }
            None => self.names.remove(entry.tenant.as_str()).map(|place| TenantId(self.base + place)),
        }
    }

    /// Puts a whole book in force. Those that are not in it, or are others of the same name, are gone: see
    /// [`Tenants::apply`].
    pub fn begin_anew(&mut self, book: &TenantSnapshot) -> Vec<TenantId> {
        let stays = |name: &str, uid| book.get(name).is_some_and(|t| t.uid == uid);
        let gone: Vec<(Arc<str>, usize)> = self
            .names
            .iter()
            .filter(|(name, place)| !stays(name, self.places[**place].uid))
            .map(|(name, place)| (Arc::clone(name), *place))
            .collect();
        for (name, _) in &gone {
            self.names.remove(name);
        }
        self.begin(book);
        let mut gone: Vec<TenantId> =
            gone.into_iter().map(|(_, place)| TenantId(self.base + place)).collect();
        gone.sort_by_key(|id| id.0);
        gone
    }

    /// A tenant whose calls have ended is forgotten: its place may be another's.
    pub fn forget(&mut self, tenant: TenantId) {
        let Some(place) = tenant.0.checked_sub(self.base).filter(|p| self.places.contains(*p)) else {
            return;
        };
        self.admission.remove(place);
        self.touched.remove(&place);
        self.gone.push(self.places.remove(place).uid);
    }

    fn put(&mut self, tenant: &Tenant) {
        let known = self.names.get(tenant.name.as_str()).copied();
        let place = known.unwrap_or_else(|| {
            let name: Arc<str> = tenant.name.as_str().into();
            let (uid, spec, ends) = (tenant.uid, Spec::default(), BTreeMap::new());
            let (state, asked) = (tenant.state, Asks::default());
            let place = self.places.insert(Place { name: Arc::clone(&name), uid, spec, state, asked, ends });
            self.names.insert(name, place);
            place
        });
        (self.places[place].spec, self.places[place].state) = (tenant.spec.clone(), tenant.state);
        self.admission.set_policy(place, self.policy(&self.places[place]));
    }

    /// Are limits lent here?
    pub fn lends(&self) -> bool {
        self.terms.reserve < 1.0
    }

    /// What may be used beyond the reserves, until then.
    pub fn lend(&mut self, now: Micros, until: Micros, loans: Vec<Lent>) {
        let mut touched: BTreeSet<Revision> = BTreeSet::new();
        for Lent { uid, kind, limit, number, by, amount } in loans {
            touched.insert(uid);
            // An answer that was overtaken by a later one of the same life takes nothing back.
            let newer = |had: &Borrowed| had.by != by || number > had.number;
            if self.loans.get(&(uid, kind)).is_none_or(newer) {
                self.loans.insert((uid, kind), Borrowed { limit, number, by, amount, until });
            }
        }
        self.again(&touched);
        self.lapse(now);
    }

    /// Loans that are over are used no more.
    fn lapse(&mut self, now: Micros) {
        if now < self.loan_ends {
            return;
        }
        let over: BTreeSet<Revision> =
            self.loans.iter().filter(|(_, loan)| loan.until <= now).map(|((uid, _), _)| *uid).collect();
        self.loans.retain(|_, loan| loan.until > now);
        self.again(&over);
    }

    /// Loans of these tenants are others now.
    fn again(&mut self, of: &BTreeSet<Revision>) {
        self.loan_ends = self.loans.values().map(|loan| loan.until).min().unwrap_or(Micros::MAX);
        let places: Vec<usize> =
            self.places.iter().filter(|(_, p)| of.contains(&p.uid)).map(|(at, _)| at).collect();
        for place in places {
            let policy = self.policy(&self.places[place]);
            self.admission.set_policy(place, policy);
        }
    }

    /// What could be used of limits, for those who lend, of tenants that asked lately or have a loan. `None`: it was
    /// looked at just now.
    pub fn demands(&mut self, now: Micros) -> Option<Vec<Demand>> {
        let span = now.saturating_sub(self.looked);
        if span < LOOK_EVERY {
            return None;
        }
        self.looked = now;
        let mut all = Vec::new();
        for (place, p) in &mut self.places {
            let asked = &mut p.asked;
            asked.rate = (asked.rate + asked.came as f64 * 1e6 / span as f64) / 2.0;
            let c = self.admission.counters(place).unwrap_or_default();
            let limits = &p.spec.limits;
            let memory = c.memory.saturating_add(asked.no_memory);
            let (open, held) = (f64::from(c.open), f64::from(c.open - c.running));
            let wants = [
                (Kind::Rate, limits.rate_per_second.map(|_| (asked.rate, 0.0))),
                (Kind::Open, limits.open_calls.map(|_| (open + f64::from(asked.no_open), open))),
                (Kind::Held, limits.held_calls.map(|_| (held + f64::from(asked.no_held), held))),
                (Kind::Memory, limits.loaded_memory_bytes.map(|_| (memory as f64, c.memory as f64))),
            ];
            *asked = Asks { rate: asked.rate, ..Asks::default() };
            for (kind, demand) in wants {
                let Some((demand, in_use)) = demand else { continue };
                let (acts_on, by) =
                    self.loans.get(&(p.uid, kind)).map_or((0, 0), |loan| (loan.number, loan.by));
                if (demand > 0.01 || acts_on > 0) && all.len() < MOST_DEMANDS {
                    let (tenant, uid) = (p.name.to_string(), p.uid);
                    all.push(Demand { tenant, uid, kind, demand, in_use, acts_on, by });
                }
            }
        }
        Some(all)
    }

    /// This controller's part of a limit: its reserve, and what it borrowed of this very limit.
    fn part(&self, uid: Revision, kind: Kind, limit: f64) -> f64 {
        let loan = self.loans.get(&(uid, kind)).filter(|loan| loan.limit == limit);
        self.terms.reserve_of(limit) + loan.map_or(0.0, |loan| loan.amount)
    }

    /// This controller's part of the limits.
    fn policy(&self, tenant: &Place) -> Policy {
        let limits = &tenant.spec.limits;
        // A part of a small limit is one call at the least, or else nobody could call at all: the bound of the
        // installation is then the number of controllers.
        let whole = |n: u32, part: f64| if n == 0 { 0 } else { (part as u32).max(1) };
        let rate = |per_second: f64, burst: Option<u32>, ours: f64, alone: &dyn Fn(f64) -> f64| {
            // Bursts are not lent: what moves from one controller to another would be a second burst.
            let burst = burst.map_or(alone(per_second) / 10.0, |b| alone(f64::from(b)));
            RateLimit { per_second: ours, burst: (burst as u32).max(1) }
        };
        let reserve = |limit| self.terms.reserve_of(limit);
        let lent = |kind, limit| self.part(tenant.uid, kind, limit);
        let lent_count = |kind, limit: Option<u32>| limit.map(|n| whole(n, lent(kind, f64::from(n))));
        // Limits of classes are divided for good.
        let fixed = |limit: f64| limit / f64::from(self.terms.controllers.max(1));
        let class = |(name, class): (&String, &nettleferry_tenancy::ClassLimits)| {
            let rate = class.rate_per_second.map(|r| rate(r, class.burst, fixed(r), &fixed));
            let open = class.open_calls.map(|n| whole(n, fixed(f64::from(n))));
            Some((*self.classes.get(name)?, Limits { rate, open }))
        };
        Policy {
            active: tenant.state == State::Active,
            limits: Limits {
                rate: limits.rate_per_second.map(|r| rate(r, limits.burst, lent(Kind::Rate, r), &reserve)),
                open: lent_count(Kind::Open, limits.open_calls),
            },
            classes: tenant.spec.classes.iter().filter_map(class).collect(),
            held: lent_count(Kind::Held, limits.held_calls),
            // Memory is the fleet's. Where nothing is lent each controller sees its own calls' models alone, which
            // may be the same; where it is, each has its part, and counts what others count as well.
            memory: limits.loaded_memory_bytes.map(|bytes| {
                if self.lends() { self.part(tenant.uid, Kind::Memory, bytes as f64) as u64 } else { bytes }
            }),
            share: limits.fleet_share,
            weight: tenant.spec.weight.unwrap_or(1.0),
        }
    }

    /// May this call be opened? It counts as open from then on, under the front's mark.
    pub fn ask(
        &mut self,
        now: Micros,
        front: u64,
        tenant: Option<&str>,
        class: usize,
        (model, memory): (&str, Option<u64>),
    ) -> Result<Option<TenantId>, Turned> {
        let denied = |message: String| Turned { denied: true, message, wait: None };
        let Some(name) = tenant else {
            if self.anonymous {
                return Ok(None);
            }
            self.turned[RejectReason::UnknownTenant as usize] += 1;
            return Err(denied("this call names no tenant: send the metadata nettleferry-tenant".to_owned()));
        };
        let Some(place) = self.names.get(name).copied() else {
            if self.blind {
                let message = "which tenants there are is not known here yet: try again".to_owned();
                return Err(Turned { denied: false, message, wait: Some(BLIND_WAIT) });
            }
            self.turned[RejectReason::UnknownTenant as usize] += 1;
            return Err(denied(format!("there is no tenant {name}")));
        };
        if !self.places[place].spec.may_call(model) {
            // A tenant without the right is counted with those that may not call at all.
            self.turned[RejectReason::InactiveTenant as usize] += 1;
            return Err(denied(format!("tenant {name} has no right to call {model}")));
        }
        self.lapse(now);
        self.touched.insert(place);
        self.places[place].asked.came += 1;
        let request =
            CallRequest { tenant: place, class, model: model_number(model), memory: memory.unwrap_or(0) };
        match self.admission.admit(now, request) {
            Verdict::Admit => {
                self.calls.insert(front, InHand { place, class, model: request.model });
                Ok(Some(TenantId(self.base + place)))
            }
            Verdict::Reject(rejection) => {
                let asked = &mut self.places[place].asked;
                match rejection.reason {
                    RejectReason::TenantOpenCalls => asked.no_open += 1,
                    RejectReason::TenantHeldCalls => asked.no_held += 1,
                    RejectReason::TenantMemory => {
                        asked.no_memory = asked.no_memory.saturating_add(memory.unwrap_or(0))
                    }
                    _ => {}
                }
                self.turned[rejection.reason as usize] += 1;
                Err(Turned {
                    denied: rejection.reason == RejectReason::InactiveTenant,
                    message: words(rejection.reason, name),
                    wait: rejection.retry_after,
                })
            }
        }
    }

    /// Steps of calls, in order.
    pub fn step(&mut self, now: Micros, phase: Phase) {
        let Some(call) = self.calls.get(&phase.front) else { return };
        let place = call.place;
        self.touched.insert(place);
        match phase.step {
            Step::AttemptStarted => self.admission.call_started(place),
            Step::AttemptEnded => self.admission.call_returned(place),
            Step::CallEnded(how) => {
                self.admission.call_ended(now, place, call.class, call.model);
                if let Some(place) = self.places.get_mut(place) {
                    *place.ends.entry(end_word(how)).or_default() += 1;
                }
                self.calls.remove(&phase.front);
            }
        }
    }

    /// Calls turned away, by reason in the order of [`RejectReason::ALL`].
    pub fn turned(&self) -> &[u64] {
        &self.turned
    }

    /// Brings what is shown up to date: of tenants alone whose calls have changed, so that many idle ones cost
    /// nothing.
    pub fn show(&mut self, usage: &mut HashMap<Revision, Usage>) {
        for uid in self.gone.drain(..) {
            usage.remove(&uid);
        }
        for place in std::mem::take(&mut self.touched) {
            if let Some(p) = self.places.get(place) {
                usage.insert(p.uid, self.usage(place, p));
            }
        }
    }

    fn usage(&self, place: usize, p: &Place) -> Usage {
        let open = self.admission.open_by_class(place).filter(|(_, open)| *open > 0);
        let name = |class: usize| self.class_names.get(class).cloned().unwrap_or_default();
        let c = self.admission.counters(place).unwrap_or_default();
        Usage {
            open_by_class: open.map(|(class, open)| (name(class), open)).collect(),
            tenant: p.name.to_string(),
            uid: p.uid,
            open_calls: c.open,
            held_calls: c.open - c.running,
            loaded_memory_bytes: c.memory,
            admitted: c.admitted,
            refused: c.rejected,
            ends: p.ends.iter().map(|(end, n)| ((*end).to_owned(), *n)).collect(),
        }
    }
}

/// Models, told apart.
pub fn model_number(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn words(reason: RejectReason, name: &str) -> String {
    match reason {
        RejectReason::UnknownTenant => format!("there is no tenant {name}"),
        RejectReason::InactiveTenant => format!("tenant {name} is suspended or being removed"),
        RejectReason::TenantRate => format!("tenant {name} is over its rate"),
        RejectReason::ClassRate => format!("tenant {name} is over its rate in this class"),
        RejectReason::TenantOpenCalls => format!("tenant {name} has as many open calls as it may"),
        RejectReason::ClassOpenCalls => {
            format!("tenant {name} has as many open calls in this class as it may")
        }
        RejectReason::TenantHeldCalls => format!("tenant {name} has as many calls waiting as it may"),
        RejectReason::TenantMemory => format!("tenant {name} uses as much memory of models as it may"),
        RejectReason::FleetShare => format!("tenant {name} has its part of the fleet, and others wait"),
        RejectReason::FairShare => format!("many calls wait, and tenant {name} has its part of the places"),
    }
}
