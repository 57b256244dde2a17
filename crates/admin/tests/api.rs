//! The API over a book in memory.

use std::time::Duration;

use nettleferry_admin::api::{Api, Holds, Keep, Live, Running, Usage, Worker};
use nettleferry_admin::{Answer, Caller, Problem, Request, Response, Role, openapi, routes};
use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use serde_json::{Value, json};

#[derive(Default)]
struct Kept {
    entries: Vec<Entry>,
    once: Vec<(String, IdempotentResponse)>,
    fails: bool,
}

impl Keep for Kept {
    fn commit(&mut self, entry: &Entry, once: Option<(&str, &IdempotentResponse)>) -> Result<(), String> {
        if self.fails {
            return Err("the disk is full".to_owned());
        }
        self.entries.push(entry.clone());
        self.once.extend(once.map(|(key, once)| (key.to_owned(), once.clone())));
        Ok(())
    }

    fn once(&self, key: &str) -> Result<Option<IdempotentResponse>, String> {
        Ok(self.once.iter().find(|(k, _)| k == key).map(|(_, once)| once.clone()))
    }

    fn audit(&self, after: Revision, most: usize, of: Option<&str>) -> Result<Vec<Entry>, String> {
        let fits = |e: &&Entry| e.revision > after && of.is_none_or(|name| e.tenant == name);
        Ok(self.entries.iter().filter(fits).take(most).cloned().collect())
    }
}

#[derive(Default)]
struct Running1 {
    drained: bool,
    follows: Vec<(u32, Revision)>,
    /// Why it is open which book stands.
    open: Option<String>,
    fenced: bool,
}

impl Live for Running1 {
    fn usage(&self, tenant: &Tenant) -> Usage {
        Usage { tenant: tenant.name.clone(), uid: tenant.uid, open_calls: 3, ..Usage::default() }
    }

    fn workers(&self) -> Vec<Worker> {
        vec![Worker {
            name: "w1".to_owned(),
            listed: "on".to_owned(),
            drained: self.drained,
            ..Worker::default()
        }]
    }

    fn drain(&mut self, worker: &str, drained: bool) -> bool {
        if worker == "w1" {
            self.drained = drained;
        }
        worker == "w1"
    }

    fn controllers(&self) -> Vec<Running> {
        Vec::new()
    }

    fn follows(&mut self, controller: u32, holds: Holds) -> Result<(), Problem> {
        self.follows.push((controller, holds.revision));
        if self.fenced { Err(Problem::new(403, "fenced", "it was shut out")) } else { Ok(()) }
    }

    fn lease(&mut self, controller: u32, life: u64) -> Option<(u64, u64)> {
        Some((u64::from(controller) * 1_000 + life, 5))
    }

    fn fence(&mut self, controller: u32, out: bool) -> Value {
        self.fenced = out;
        json!({ "controller": controller, "lives": 1 })
    }

    fn clock(&self) -> (u64, u64) {
        (77, 1_234)
    }

    fn loans(
        &mut self,
        _: &TenantSnapshot,
        controller: u32,
        life: u64,
        report: Value,
    ) -> Result<Value, Problem> {
        Ok(json!({ "span_ms": 5, "loans": [], "by": [controller, life], "report": report }))
    }

    fn deliver(&mut self, _: u32, lines: Vec<String>) -> Result<u64, Problem> {
        Ok(lines.len() as u64)
    }

    fn records(&self, of: Option<&str>, from: u64, _: usize) -> Result<Value, Problem> {
        Ok(json!({ "by": 77, "of": of, "from": from }))
    }

    fn progress(&self, revision: Revision) -> Value {
        json!({ "revision": revision })
    }

    fn serving(&self) -> Result<(), String> {
        self.open.clone().map_or(Ok(()), Err)
    }

    fn fleet(&self) -> Value {
        json!({ "controllers": [] })
    }

    fn recover(&mut self, _: &TenantSnapshot, take: &str, _: bool) -> Result<Value, Problem> {
        Ok(json!({ "take": take }))
    }
}

struct Side {
    api: Api<Kept>,
    live: Running1,
    role: Role,
}

impl Side {
    fn new() -> Self {
        Self {
            api: Api::new(TenantSnapshot::default(), Kept::default(), ("s1".to_owned(), 1), None),
            live: Running1::default(),
            role: Role::Admin,
        }
    }

    fn ask(&mut self, request: Request<'_>, waited: Duration) -> Answer {
        let caller = Caller { name: "ada".to_owned(), role: self.role };
        self.api.answer(&request, &caller, &mut self.live, 1_000, waited)
    }

    fn now(&mut self, request: Request<'_>) -> Response {
        match self.ask(request, Duration::ZERO) {
            Answer::Now(response) | Answer::Changed { response, .. } => response,
            Answer::Later(_) => panic!("it is to be answered now"),
        }
    }

    fn get(&mut self, target: &str) -> (u16, Value) {
        read(&self.now(Request { method: "GET", target, ..Request::default() }))
    }

    fn create(&mut self, body: Value, once: Option<&str>) -> Response {
        let body = body.to_string();
        let kind = Some("application/json");
        self.now(Request {
            method: "POST",
            target: "/v1/tenants",
            kind,
            once,
            body: body.as_bytes(),
            ..Request::default()
        })
    }

    fn patch(&mut self, name: &str, if_match: Option<&str>, body: &str) -> Response {
        let (target, kind) = (format!("/v1/tenants/{name}"), Some("application/merge-patch+json"));
        self.now(Request {
            method: "PATCH",
            target: &target,
            kind,
            if_match,
            body: body.as_bytes(),
            ..Request::default()
        })
    }

    fn post(&mut self, target: &str, if_match: Option<&str>) -> (u16, Value) {
        read(&self.now(Request { method: "POST", target, if_match, ..Request::default() }))
    }
}

fn read(response: &Response) -> (u16, Value) {
    (response.status, serde_json::from_str(&response.body).expect("json"))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str())
}

#[test]
fn a_tenant_is_created_changed_suspended_and_removed_under_conditions() {
    let mut side = Side::new();
    let made = side.create(json!({"name": "a", "limits": {"open_calls": 5}}), None);
    assert_eq!((made.status, header(&made, "ETag")), (201, Some("\"1\"")));
    assert_eq!(side.create(json!({"name": "a"}), None).status, 409);
    assert_eq!(side.patch("a", None, "{}").status, 428);
    assert_eq!(side.patch("a", Some("\"9\""), "{}").status, 412);
    assert_eq!(side.patch("a", Some("7"), "{}").status, 400, "an ETag has quotes");
    let changed = side.patch("a", Some("\"1\""), r#"{"limits":{"open_calls":null,"held_calls":4}}"#);
    assert_eq!(header(&changed, "ETag"), Some("\"2\""));
    assert_eq!(read(&changed).1["limits"], json!({"held_calls": 4}));
    assert_eq!(
        side.patch("a", Some("\"1\""), r#"{"weight":2}"#).status,
        412,
        "two administrators, one truth"
    );
    assert_eq!(side.post("/v1/tenants/a/suspend", Some("*")).1["state"], "suspended");
    assert_eq!(side.post("/v1/tenants/a/resume?dry_run=true", Some("*")).1["state"], "active");
    assert_eq!(side.get("/v1/tenants/a").1["state"], "suspended", "nothing was changed");
    let gone = side.now(Request {
        method: "DELETE",
        target: "/v1/tenants/a?grace_ms=500",
        if_match: Some("*"),
        ..Request::default()
    });
    assert_eq!((gone.status, read(&gone).1["gone_at_ms"].clone()), (202, json!(1_500)));
    assert_eq!((side.api.sweep(1_499).len(), side.api.sweep(1_500).len()), (0, 1));
    assert_eq!(side.get("/v1/tenants/a").0, 404);
    let audit = side.get("/v1/audit?tenant=a").1;
    let actions: Vec<&str> =
        audit["entries"].as_array().expect("rows").iter().filter_map(|e| e["action"].as_str()).collect();
    assert_eq!(actions, ["create", "change", "suspend", "remove", "gone"]);
    assert_eq!(
        (audit["entries"][0]["who"].clone(), audit["entries"][4]["who"].clone()),
        (json!("ada"), json!("nettleferry"))
    );
}

#[test]
fn problems_name_the_field_and_what_would_do() {
    let mut side = Side::new();
    side.create(json!({"name": "a"}), None);
    let cases = [
        (side.create(json!({"name": 3}), None), 422, "name"),
        (side.create(json!({}), None), 422, "name"),
        (side.create(json!({"name": "b", "limit": {}}), None), 422, "limit"),
        (
            side.create(json!({"name": "b", "limits": {"rate_per_second": "5"}}), None),
            422,
            "limits.rate_per_second",
        ),
        (side.patch("a", Some("*"), "{not json"), 400, "the body"),
        (side.patch("a", Some("*"), "[]"), 422, "the body"),
        (side.patch("a", Some("*"), r#"{"models":["a*b"]}"#), 422, "models[0]"),
    ];
    for (response, status, field) in cases {
        let (got, problem) = read(&response);
        assert_eq!(
            (got, response.kind, problem["field"].as_str()),
            (status, "application/problem+json", Some(field)),
            "{problem}"
        );
        assert_eq!(problem["status"], status);
    }
    let (status, problem) = side.get("/v1/tenants?limit=0");
    assert_eq!((status, problem["field"].as_str()), (422, Some("limit")));
    assert_eq!(
        side.get("/v1/tenants?colour=red").1["detail"],
        "no such query parameter; known here: after, limit"
    );
    assert_eq!(side.get("/v1/nothing").0, 404);
    let wrong = side.now(Request { method: "PUT", target: "/v1/tenants/a", ..Request::default() });
    assert_eq!((wrong.status, header(&wrong, "Allow")), (405, Some("GET, PATCH, DELETE")));
    let kind = side.now(Request {
        method: "POST",
        target: "/v1/tenants",
        kind: Some("text/xml"),
        ..Request::default()
    });
    assert_eq!(kind.status, 415);
}

#[test]
fn a_request_under_a_key_happens_once() {
    let mut side = Side::new();
    let first = side.create(json!({"name": "a"}), Some("k1"));
    side.patch("a", Some("*"), r#"{"weight":3}"#);
    let again = side.create(json!({"name": "a"}), Some("k1"));
    assert_eq!(
        (again.status, &again.body, header(&again, "Idempotency-Replayed")),
        (201, &first.body, Some("true"))
    );
    assert_eq!(side.create(json!({"name": "b"}), Some("k1")).status, 422);
    assert_eq!(side.api.book().revision(), 2);
}

#[test]
fn what_is_not_kept_has_not_happened_and_a_damaged_store_refuses() {
    let mut side = Side::new();
    let kept = Kept { fails: true, ..Kept::default() };
    side.api = Api::new(TenantSnapshot::default(), kept, ("s1".to_owned(), 1), None);
    assert_eq!((side.create(json!({"name": "a"}), None).status, side.api.book().revision()), (503, 0));
    side.api = Api::new(
        TenantSnapshot::default(),
        Kept::default(),
        ("s1".to_owned(), 1),
        Some("the tenant store is damaged".to_owned()),
    );
    let (status, problem) = read(&side.create(json!({"name": "a"}), None));
    assert!(status == 503 && problem["detail"].as_str().is_some_and(|d| d.contains("damaged")), "{problem}");
    assert_eq!(side.get("/v1/tenants").0, 200, "reading goes on");
}

#[test]
fn roles_bound_what_a_key_may() {
    let mut side = Side::new();
    side.create(json!({"name": "a"}), None);
    let mut may = |role, method: &str, target: &str| {
        side.role = role;
        side.now(Request { method, target, if_match: Some("*"), ..Request::default() }).status != 403
    };
    assert!(may(Role::Viewer, "GET", "/v1/tenants") && !may(Role::Viewer, "POST", "/v1/tenants/a/suspend"));
    assert!(
        may(Role::Operator, "POST", "/v1/tenants/a/suspend")
            && !may(Role::Operator, "DELETE", "/v1/tenants/a")
    );
    assert!(
        may(Role::Operator, "POST", "/v1/workers/w1/drain")
            && !may(Role::Viewer, "POST", "/v1/workers/w1/drain")
    );
    assert!(may(Role::Controller, "GET", "/v1/snapshot") && !may(Role::Controller, "GET", "/v1/tenants"));
    assert!(may(Role::Admin, "DELETE", "/v1/tenants/a"));
}

#[test]
fn a_watch_waits_for_a_change_and_a_follower_s_book_is_the_same() {
    let mut side = Side::new();
    side.create(json!({"name": "a"}), None);
    side.create(json!({"name": "b"}), None);
    let watch = |target| Request { method: "GET", target, ..Request::default() };
    assert_eq!(
        side.ask(watch("/v1/watch?after=2&wait_ms=5000&controller=7"), Duration::ZERO),
        Answer::Later(Duration::from_secs(5))
    );
    assert_eq!(side.live.follows, [(7, 2)]);
    let Answer::Now(empty) = side.ask(watch("/v1/watch?after=2&wait_ms=5000"), Duration::from_secs(5)) else {
        panic!("over")
    };
    assert_eq!(read(&empty).1["entries"], json!([]));
    assert_eq!(side.get("/v1/watch?after=9").0, 409);
    let mut follower = TenantSnapshot::default();
    let (_, changes) = side.get("/v1/watch?after=0");
    let entries: Vec<Entry> = serde_json::from_value(changes["entries"].clone()).expect("entries");
    entries.iter().for_each(|entry| follower.apply(entry).expect("the next"));
    assert_eq!(&follower, side.api.book());
    let snapshot: TenantSnapshot =
        serde_json::from_value(side.get("/v1/snapshot").1["book"].clone()).expect("a book");
    assert_eq!(
        (side.get("/v1/watch?store=s2&after=1").0, side.get("/v1/watch?store=s1&after=1").0),
        (410, 200)
    );
    assert_eq!(snapshot, follower);
}

#[test]
fn lists_come_in_pages() {
    let mut side = Side::new();
    for n in 0..5 {
        side.create(json!({"name": format!("t{n}")}), None);
    }
    let first = side.get("/v1/tenants?limit=3").1;
    assert_eq!((first["tenants"].as_array().map(Vec::len), first["next"].as_str()), (Some(3), Some("t2")));
    let second = side.get("/v1/tenants?limit=3&after=t2").1;
    assert_eq!((second["tenants"].as_array().map(Vec::len), second["next"].clone()), (Some(2), Value::Null));
    assert_eq!(side.get("/v1/usage?limit=2").1["usage"][1]["open_calls"], 3);
    assert_eq!(side.get("/v1/tenants/t1/usage").1["uid"], 2);
    assert_eq!(side.post("/v1/workers/w1/drain", None).1["drained"], true);
    assert_eq!(side.post("/v1/workers/w9/drain", None).0, 404);
}

#[test]
fn the_document_in_the_repository_is_the_code_s() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = serde_json::to_string_pretty(&openapi::document()).expect("json") + "\n";
    if std::env::var_os("NETTLEFERRY_WRITE_DOCS").is_some() {
        std::fs::write(&file, &text).expect("written");
    }
    let there = std::fs::read_to_string(&file).expect("docs/openapi.json");
    assert!(
        there == text,
        "docs/openapi.json is not the code's: run this test with NETTLEFERRY_WRITE_DOCS=1"
    );
}

#[test]
fn every_route_of_the_document_is_answered_and_a_tenant_has_its_schema_s_fields() {
    let document = openapi::document();
    let mut side = Side::new();
    side.create(
        json!({"name": "a", "weight": 2, "models": ["m*"], "note": "n", "classes": {"q": {"rate_per_second": 1, "burst": 2, "open_calls": 3}},
            "limits": {"rate_per_second": 1, "burst": 2, "open_calls": 3, "held_calls": 4, "loaded_memory_bytes": 5, "fleet_share": 0.5}}),
        None,
    );
    side.now(Request {
        method: "DELETE",
        target: "/v1/tenants/a",
        if_match: Some("*"),
        ..Request::default()
    });
    let tenant = side.get("/v1/tenants/a").1;
    let fields =
        |value: &Value| -> Vec<String> { value.as_object().expect("an object").keys().cloned().collect() };
    let schema = &document["components"]["schemas"]["Tenant"]["properties"];
    let (mut ours, mut told) = (fields(&tenant), fields(schema));
    ours.sort();
    told.sort();
    assert_eq!(ours, told);
    let (mut ours, mut told) = (fields(&tenant["limits"]), fields(&schema["limits"]["properties"]));
    ours.sort();
    told.sort();
    assert_eq!(ours, told);
    for route in routes::ROUTES {
        let target = route.path.replace("{name}", "a");
        let status = side
            .now(Request { method: route.method, target: &target, if_match: Some("*"), ..Request::default() })
            .status;
        assert!(status != 405 && status != 403, "{} {target}: {status}", route.method);
        let told = &document["paths"][route.path][route.method.to_ascii_lowercase()];
        assert_eq!(told["operationId"], route.id);
        let names = told["parameters"].as_array().expect("parameters");
        assert!(route.query.iter().all(|(name, _)| names.iter().any(|p| p["name"] == *name)));
        let schema =
            told["responses"][route.status.to_string()]["content"]["application/json"]["schema"]["$ref"]
                .as_str();
        let name = schema.and_then(|s| s.rsplit('/').next()).expect("a schema");
        assert!(document["components"]["schemas"][name].is_object(), "{name}");
    }
}

#[test]
fn a_lease_comes_with_all_that_holds_and_with_nothing_less() {
    let mut side = Side::new();
    for name in ["a", "b", "c"] {
        side.create(json!({ "name": name }), None);
    }
    let lease = |told: (u16, Value)| (told.0, told.1["lease_ms"].clone());
    assert_eq!(lease(side.get("/v1/watch?controller=3&life=9&after=0")), (200, json!(3_009)));
    assert_eq!(
        lease(side.get("/v1/watch?controller=3&life=9&after=0&limit=2")),
        (200, Value::Null),
        "one is missing"
    );
    assert_eq!(lease(side.get("/v1/watch?after=0")), (200, Value::Null), "nobody to hold it");
    assert_eq!(lease(side.get("/v1/snapshot?controller=4&life=1")), (200, json!(4_001)));
    assert_eq!(side.post("/v1/fleet/fence", None).0, 422, "which one is to be told");
    assert_eq!(
        side.post("/v1/fleet/fence?controller=3", None),
        (200, json!({ "controller": 3, "lives": 1 }))
    );
    let (status, told) = side.get("/v1/watch?controller=3&life=9&after=0");
    assert_eq!((status, &told["type"]), (403, &json!("/problems/fenced")));
    side.post("/v1/fleet/admit?controller=3", None);
    assert_eq!(side.get("/v1/watch?controller=3&life=9&after=3").0, 200);
    assert_eq!(side.get("/v1/fleet/change").1["revision"], 3);
    let clock = side.get("/v1/watch?controller=3&life=9&after=0").1["clock"].clone();
    assert_eq!(clock, json!({ "by": 77, "at_ms": 1_234, "held_ms": 0 }));
    let body = b"[\"a line\",\"another\"]";
    let lines = Request {
        method: "POST",
        target: "/v1/fleet/records?controller=3",
        kind: Some("application/json"),
        body,
        ..Request::default()
    };
    assert_eq!(read(&side.now(lines)), (200, json!({ "last": 2 })));
    assert_eq!(side.get("/v1/fleet/records?of=3&from=5").1["from"], 5);
    let report = Request {
        method: "POST",
        target: "/v1/fleet/loans?controller=3&life=9",
        kind: Some("application/json"),
        body: b"[]",
        ..Request::default()
    };
    assert_eq!(read(&side.now(report.clone())).1["by"], json!([3, 9]));
    // Who only reads tells nothing in a controller's place.
    for (role, status) in [(Role::Viewer, 403), (Role::Operator, 403), (Role::Controller, 200)] {
        side.role = role;
        assert_eq!(side.now(report.clone()).status, status, "{role:?}");
    }
    side.role = Role::Admin;
}

#[test]
fn a_change_that_takes_something_away_is_told_to_bind() {
    let mut side = Side::new();
    side.create(json!({"name": "a"}), None);
    let mut post = |target| match side
        .ask(Request { method: "POST", target, if_match: Some("*"), ..Request::default() }, Duration::ZERO)
    {
        Answer::Changed { revision, binds, .. } => (revision, binds),
        other => panic!("{other:?}"),
    };
    assert_eq!(post("/v1/tenants/a/suspend"), (2, true));
    assert_eq!(post("/v1/tenants/a/suspend"), (2, true), "said again, it counts when the first does");
    assert_eq!(post("/v1/tenants/a/resume"), (3, false));
}
