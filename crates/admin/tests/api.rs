//! Tests of the API on a store in memory and a simulated controller.

use std::time::Duration;

use nettleferry_admin::api::{
    Api, ChangeStore, ChangeStoreError, ClockReading, ControllerRevision, ControllerState, LeaseGrant,
    RecoveryPending, Runtime, StoreIdentity, Usage, Worker,
};
use nettleferry_admin::{Caller, Outcome, Problem, Request, Response, Role, openapi, routes};
use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use serde_json::{Value, json};

#[derive(Default)]
struct MemoryStore {
    entries: Vec<Entry>,
    responses: Vec<(String, IdempotentResponse)>,
    fails: bool,
}

impl ChangeStore for MemoryStore {
    fn commit(
        &mut self,
        entry: &Entry,
        idempotent: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), ChangeStoreError> {
        if self.fails {
            return Err(ChangeStoreError::Failed("the disk is full".into()));
        }
        self.entries.push(entry.clone());
        self.responses.extend(idempotent.map(|(key, response)| (key.to_owned(), response.clone())));
        Ok(())
    }

    fn stored_response(&self, key: &str) -> Result<Option<IdempotentResponse>, ChangeStoreError> {
        Ok(self.responses.iter().find(|(k, _)| k == key).map(|(_, response)| response.clone()))
    }

    fn entries(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, ChangeStoreError> {
        let matches = |e: &&Entry| e.revision > after && tenant.is_none_or(|name| e.tenant == name);
        Ok(self.entries.iter().filter(matches).take(limit).cloned().collect())
    }
}

#[derive(Default)]
struct TestRuntime {
    drained: bool,
    states: Vec<(u32, Revision)>,
    /// The error of `check_serving`; `None` if the snapshot may be returned and changed.
    pending: Option<RecoveryPending>,
    fenced: bool,
}

impl Runtime for TestRuntime {
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

    fn set_drained(&mut self, worker: &str, drained: bool) -> bool {
        if worker == "w1" {
            self.drained = drained;
        }
        worker == "w1"
    }

    fn controllers(&self) -> Vec<ControllerRevision> {
        Vec::new()
    }

    fn record_state(&mut self, controller: u32, state: ControllerState) -> Result<(), Problem> {
        self.states.push((controller, state.revision));
        self.check_member(controller, state.incarnation)
    }

    fn check_member(&self, _: u32, _: u64) -> Result<(), Problem> {
        if self.fenced { Err(Problem::new(403, "fenced", "the incarnation is fenced")) } else { Ok(()) }
    }

    fn grant_lease(&mut self, controller: u32, incarnation: u64) -> Option<LeaseGrant> {
        Some(LeaseGrant { duration_ms: u64::from(controller) * 1_000 + incarnation, fencing_token: 5 })
    }

    fn set_fenced(&mut self, controller: u32, fenced: bool) -> Value {
        self.fenced = fenced;
        json!({ "controller": controller, "lives": 1 })
    }

    fn read_clock(&self) -> ClockReading {
        ClockReading { incarnation: 77, at_ms: 1_234 }
    }

    fn grant_loans(
        &mut self,
        _: &TenantSnapshot,
        controller: u32,
        incarnation: u64,
        report: Value,
    ) -> Result<Value, Problem> {
        Ok(json!({ "span_ms": 5, "loans": [], "by": [controller, incarnation], "report": report }))
    }

    fn append_audit_entries(&mut self, _: u32, entries: Vec<String>) -> Result<u64, Problem> {
        Ok(entries.len() as u64)
    }

    fn audit_logs(&self, owner: Option<&str>, from: u64, _: usize) -> Result<Value, Problem> {
        Ok(json!({ "by": 77, "of": owner, "from": from }))
    }

    fn change_progress(&self, revision: Revision) -> Value {
        json!({ "revision": revision })
    }

    fn check_serving(&self) -> Result<(), RecoveryPending> {
        self.pending.clone().map_or(Ok(()), Err)
    }

    fn fleet_status(&self) -> Value {
        json!({ "controllers": [] })
    }

    fn recover(&mut self, _: &TenantSnapshot, choice: &str, _: bool) -> Result<Value, Problem> {
        Ok(json!({ "take": choice }))
    }
}

/// The identity of the store under test.
fn test_store() -> StoreIdentity {
    StoreIdentity { name: "s1".to_owned(), epoch: 1 }
}

/// The API under test, the simulated controller, and the role of the caller.
struct Fixture {
    api: Api<MemoryStore>,
    runtime: TestRuntime,
    role: Role,
}

impl Fixture {
    fn new() -> Self {
        Self {
            api: Api::new(TenantSnapshot::default(), MemoryStore::default(), test_store(), None),
            runtime: TestRuntime::default(),
            role: Role::Admin,
        }
    }

    fn send(&mut self, request: Request<'_>, held_for: Option<Duration>) -> Outcome {
        let caller = Caller { name: "ada".to_owned(), role: self.role };
        self.api.handle(&request, &caller, &mut self.runtime, 1_000, held_for)
    }

    fn respond(&mut self, request: Request<'_>) -> Response {
        match self.send(request, None) {
            Outcome::Ready(response) | Outcome::Committed { response, .. } => response,
            Outcome::Wait(_) => panic!("the response must be ready"),
        }
    }

    fn get(&mut self, target: &str) -> (u16, Value) {
        read(&self.respond(Request { method: "GET", target, ..Request::default() }))
    }

    fn create(&mut self, body: Value, idempotency_key: Option<&str>) -> Response {
        let body = body.to_string();
        let content_type = Some("application/json");
        self.respond(Request {
            method: "POST",
            target: "/v1/tenants",
            content_type,
            idempotency_key,
            body: body.as_bytes(),
            ..Request::default()
        })
    }

    fn patch(&mut self, name: &str, if_match: Option<&str>, body: &str) -> Response {
        let (target, content_type) = (format!("/v1/tenants/{name}"), Some("application/merge-patch+json"));
        self.respond(Request {
            method: "PATCH",
            target: &target,
            content_type,
            if_match,
            body: body.as_bytes(),
            ..Request::default()
        })
    }

    fn post(&mut self, target: &str, if_match: Option<&str>) -> (u16, Value) {
        read(&self.respond(Request { method: "POST", target, if_match, ..Request::default() }))
    }
}

fn read(response: &Response) -> (u16, Value) {
    (response.status, serde_json::from_str(&response.body).expect("body is JSON"))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str())
}

#[test]
fn tenant_is_created_changed_suspended_and_removed_under_conditions() {
    let mut fixture = Fixture::new();
    let created = fixture.create(json!({"name": "a", "limits": {"open_calls": 5}}), None);
    assert_eq!((created.status, header(&created, "ETag")), (201, Some("\"1\"")));
    assert_eq!(fixture.create(json!({"name": "a"}), None).status, 409);
    assert_eq!(fixture.patch("a", None, "{}").status, 428);
    assert_eq!(fixture.patch("a", Some("\"9\""), "{}").status, 412);
    assert_eq!(fixture.patch("a", Some("7"), "{}").status, 400, "an ETag has quotes");
    let changed = fixture.patch("a", Some("\"1\""), r#"{"limits":{"open_calls":null,"held_calls":4}}"#);
    assert_eq!(header(&changed, "ETag"), Some("\"2\""));
    assert_eq!(read(&changed).1["limits"], json!({"held_calls": 4}));
    assert_eq!(
        fixture.patch("a", Some("\"1\""), r#"{"weight":2}"#).status,
        412,
        "the tenant was changed since revision 1"
    );
    assert_eq!(fixture.post("/v1/tenants/a/suspend", Some("*")).1["state"], "suspended");
    assert_eq!(fixture.post("/v1/tenants/a/resume?dry_run=true", Some("*")).1["state"], "active");
    assert_eq!(fixture.get("/v1/tenants/a").1["state"], "suspended", "nothing was changed");
    let removed = fixture.respond(Request {
        method: "DELETE",
        target: "/v1/tenants/a?grace_ms=500",
        if_match: Some("*"),
        ..Request::default()
    });
    assert_eq!((removed.status, read(&removed).1["gone_at_ms"].clone()), (202, json!(1_500)));
    assert_eq!((fixture.api.remove_expired(1_499).len(), fixture.api.remove_expired(1_500).len()), (0, 1));
    assert_eq!(fixture.get("/v1/tenants/a").0, 404);
    let audit = fixture.get("/v1/audit?tenant=a").1;
    let actions: Vec<&str> = audit["entries"]
        .as_array()
        .expect("entries is an array")
        .iter()
        .filter_map(|e| e["action"].as_str())
        .collect();
    assert_eq!(actions, ["create", "change", "suspend", "remove", "gone"]);
    assert_eq!(
        (audit["entries"][0]["who"].clone(), audit["entries"][4]["who"].clone()),
        (json!("ada"), json!("nettleferry"))
    );
}

#[test]
fn problems_name_the_wrong_field() {
    let mut fixture = Fixture::new();
    fixture.create(json!({"name": "a"}), None);
    let cases = [
        (fixture.create(json!({"name": 3}), None), 422, "name"),
        (fixture.create(json!({}), None), 422, "name"),
        (fixture.create(json!({"name": "b", "limit": {}}), None), 422, "limit"),
        (
            fixture.create(json!({"name": "b", "limits": {"rate_per_second": "5"}}), None),
            422,
            "limits.rate_per_second",
        ),
        (fixture.patch("a", Some("*"), "{not json"), 400, "the body"),
        (fixture.patch("a", Some("*"), "[]"), 422, "the body"),
        (fixture.patch("a", Some("*"), r#"{"models":["a*b"]}"#), 422, "models[0]"),
    ];
    for (response, status, field) in cases {
        let (actual, problem) = read(&response);
        assert_eq!(
            (actual, response.content_type, problem["field"].as_str()),
            (status, "application/problem+json", Some(field)),
            "{problem}"
        );
        assert_eq!(problem["status"], status);
    }
    let (status, problem) = fixture.get("/v1/tenants?limit=0");
    assert_eq!((status, problem["field"].as_str()), (422, Some("limit")));
    assert_eq!(
        fixture.get("/v1/tenants?colour=red").1["detail"],
        "no such query parameter; known here: after, limit"
    );
    assert_eq!(fixture.get("/v1/nothing").0, 404);
    let wrong_method =
        fixture.respond(Request { method: "PUT", target: "/v1/tenants/a", ..Request::default() });
    assert_eq!((wrong_method.status, header(&wrong_method, "Allow")), (405, Some("GET, PATCH, DELETE")));
    let wrong_content_type = fixture.respond(Request {
        method: "POST",
        target: "/v1/tenants",
        content_type: Some("text/xml"),
        ..Request::default()
    });
    assert_eq!(wrong_content_type.status, 415);
}

#[test]
fn request_with_idempotency_key_is_executed_once() {
    let mut fixture = Fixture::new();
    let first = fixture.create(json!({"name": "a"}), Some("k1"));
    fixture.patch("a", Some("*"), r#"{"weight":3}"#);
    let repeated = fixture.create(json!({"name": "a"}), Some("k1"));
    assert_eq!(
        (repeated.status, &repeated.body, header(&repeated, "Idempotency-Replayed")),
        (201, &first.body, Some("true"))
    );
    assert_eq!(fixture.create(json!({"name": "b"}), Some("k1")).status, 422);
    assert_eq!(fixture.api.snapshot().revision(), 2);
}

#[test]
fn uncommitted_change_has_no_effect_and_damaged_store_is_read_only() {
    let mut fixture = Fixture::new();
    let failing = MemoryStore { fails: true, ..MemoryStore::default() };
    fixture.api = Api::new(TenantSnapshot::default(), failing, test_store(), None);
    assert_eq!(
        (fixture.create(json!({"name": "a"}), None).status, fixture.api.snapshot().revision()),
        (503, 0)
    );
    fixture.api = Api::new(
        TenantSnapshot::default(),
        MemoryStore::default(),
        test_store(),
        Some("the tenant store is damaged".to_owned()),
    );
    let (status, problem) = read(&fixture.create(json!({"name": "a"}), None));
    assert!(status == 503 && problem["detail"].as_str().is_some_and(|d| d.contains("damaged")), "{problem}");
    assert_eq!(fixture.get("/v1/tenants").0, 200, "a read-only store can be read");
}

#[test]
fn roles_limit_operations() {
    let mut fixture = Fixture::new();
    fixture.create(json!({"name": "a"}), None);
    let mut is_allowed = |role, method: &str, target: &str| {
        fixture.role = role;
        fixture.respond(Request { method, target, if_match: Some("*"), ..Request::default() }).status != 403
    };
    assert!(
        is_allowed(Role::Viewer, "GET", "/v1/tenants")
            && !is_allowed(Role::Viewer, "POST", "/v1/tenants/a/suspend")
    );
    assert!(
        is_allowed(Role::Operator, "POST", "/v1/tenants/a/suspend")
            && !is_allowed(Role::Operator, "DELETE", "/v1/tenants/a")
    );
    assert!(
        is_allowed(Role::Operator, "POST", "/v1/workers/w1/drain")
            && !is_allowed(Role::Viewer, "POST", "/v1/workers/w1/drain")
    );
    assert!(
        is_allowed(Role::Controller, "GET", "/v1/snapshot")
            && !is_allowed(Role::Controller, "GET", "/v1/tenants")
    );
    assert!(is_allowed(Role::Admin, "DELETE", "/v1/tenants/a"));
}

#[test]
fn watch_waits_for_changes_and_yields_the_same_snapshot() {
    let mut fixture = Fixture::new();
    fixture.create(json!({"name": "a"}), None);
    fixture.create(json!({"name": "b"}), None);
    let watch = |target| Request { method: "GET", target, ..Request::default() };
    assert_eq!(
        fixture.send(watch("/v1/watch?after=2&wait_ms=5000&controller=7"), None),
        Outcome::Wait(Duration::from_secs(5))
    );
    assert_eq!(fixture.runtime.states, [(7, 2)]);
    // A held request does not record its state again, but it fails if its incarnation was fenced meanwhile.
    let held_request = || watch("/v1/watch?after=2&wait_ms=5000&controller=7");
    assert_eq!(
        fixture.send(held_request(), Some(Duration::from_secs(1))),
        Outcome::Wait(Duration::from_secs(5))
    );
    assert_eq!(fixture.runtime.states, [(7, 2)]);
    fixture.runtime.fenced = true;
    let Outcome::Ready(fenced) = fixture.send(held_request(), Some(Duration::from_secs(1))) else {
        panic!("the held request of a fenced incarnation must be answered")
    };
    assert_eq!(fenced.status, 403);
    fixture.runtime.fenced = false;
    let Outcome::Ready(empty) =
        fixture.send(watch("/v1/watch?after=2&wait_ms=5000"), Some(Duration::from_secs(5)))
    else {
        panic!("a request must be answered once its wait is over")
    };
    assert_eq!(read(&empty).1["entries"], json!([]));
    assert_eq!(fixture.get("/v1/watch?after=9").0, 409);
    let mut follower = TenantSnapshot::default();
    let (_, changes) = fixture.get("/v1/watch?after=0");
    let entries: Vec<Entry> = serde_json::from_value(changes["entries"].clone()).expect("entries are valid");
    entries.iter().for_each(|entry| follower.apply(entry).expect("entry has the next revision"));
    assert_eq!(&follower, fixture.api.snapshot());
    let snapshot: TenantSnapshot =
        serde_json::from_value(fixture.get("/v1/snapshot").1["book"].clone()).expect("book is a snapshot");
    assert_eq!(
        (fixture.get("/v1/watch?store=s2&after=1").0, fixture.get("/v1/watch?store=s1&after=1").0),
        (410, 200)
    );
    assert_eq!(snapshot, follower);
}

#[test]
fn lists_are_paginated() {
    let mut fixture = Fixture::new();
    for n in 0..5 {
        fixture.create(json!({"name": format!("t{n}")}), None);
    }
    let first = fixture.get("/v1/tenants?limit=3").1;
    assert_eq!((first["tenants"].as_array().map(Vec::len), first["next"].as_str()), (Some(3), Some("t2")));
    let second = fixture.get("/v1/tenants?limit=3&after=t2").1;
    assert_eq!((second["tenants"].as_array().map(Vec::len), second["next"].clone()), (Some(2), Value::Null));
    assert_eq!(fixture.get("/v1/usage?limit=2").1["usage"][1]["open_calls"], 3);
    assert_eq!(fixture.get("/v1/tenants/t1/usage").1["uid"], 2);
    assert_eq!(fixture.post("/v1/workers/w1/drain", None).1["drained"], true);
    assert_eq!(fixture.post("/v1/workers/w9/drain", None).0, 404);
}

#[test]
fn openapi_file_matches_the_code() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = serde_json::to_string_pretty(&openapi::document()).expect("document is serialized") + "\n";
    if std::env::var_os("NETTLEFERRY_WRITE_DOCS").is_some() {
        std::fs::write(&file, &text).expect("docs/openapi.json is written");
    }
    let committed = std::fs::read_to_string(&file).expect("docs/openapi.json is read");
    assert!(
        committed == text,
        "docs/openapi.json differs from the generated document: run this test with NETTLEFERRY_WRITE_DOCS=1"
    );
}

#[test]
fn every_documented_route_responds_and_tenant_fields_match_the_schema() {
    let document = openapi::document();
    let mut fixture = Fixture::new();
    fixture.create(
        json!({"name": "a", "weight": 2, "models": ["m*"], "note": "n", "classes": {"q": {"rate_per_second": 1, "burst": 2, "open_calls": 3}},
            "limits": {"rate_per_second": 1, "burst": 2, "open_calls": 3, "held_calls": 4, "loaded_memory_bytes": 5, "fleet_share": 0.5}}),
        None,
    );
    fixture.respond(Request {
        method: "DELETE",
        target: "/v1/tenants/a",
        if_match: Some("*"),
        ..Request::default()
    });
    let tenant = fixture.get("/v1/tenants/a").1;
    let fields = |value: &Value| -> Vec<String> {
        value.as_object().expect("value is an object").keys().cloned().collect()
    };
    let schema = &document["components"]["schemas"]["Tenant"]["properties"];
    let (mut actual, mut documented) = (fields(&tenant), fields(schema));
    actual.sort();
    documented.sort();
    assert_eq!(actual, documented);
    let (mut actual, mut documented) = (fields(&tenant["limits"]), fields(&schema["limits"]["properties"]));
    actual.sort();
    documented.sort();
    assert_eq!(actual, documented);
    for route in routes::ROUTES {
        let target = route.path.replace("{name}", "a");
        let status = fixture
            .respond(Request {
                method: route.method,
                target: &target,
                if_match: Some("*"),
                ..Request::default()
            })
            .status;
        assert!(status != 405 && status != 403, "{} {target}: {status}", route.method);
        let operation = &document["paths"][route.path][route.method.to_ascii_lowercase()];
        assert_eq!(operation["operationId"], route.operation_id);
        let names = operation["parameters"].as_array().expect("parameters is an array");
        assert!(route.query.iter().all(|known| names.iter().any(|p| p["name"] == known.name)));
        let schema =
            operation["responses"][route.status.to_string()]["content"]["application/json"]["schema"]["$ref"]
                .as_str();
        let name = schema.and_then(|s| s.rsplit('/').next()).expect("response refers to a schema");
        assert!(document["components"]["schemas"][name].is_object(), "{name}");
    }
}

#[test]
fn lease_is_granted_only_with_the_newest_snapshot() {
    let mut fixture = Fixture::new();
    for name in ["a", "b", "c"] {
        fixture.create(json!({ "name": name }), None);
    }
    let lease = |(status, body): (u16, Value)| (status, body["lease_ms"].clone());
    assert_eq!(lease(fixture.get("/v1/watch?controller=3&life=9&after=0")), (200, json!(3_009)));
    assert_eq!(
        lease(fixture.get("/v1/watch?controller=3&life=9&after=0&limit=2")),
        (200, Value::Null),
        "a change is missing"
    );
    assert_eq!(lease(fixture.get("/v1/watch?after=0")), (200, Value::Null), "no controller is named");
    assert_eq!(lease(fixture.get("/v1/snapshot?controller=4&life=1")), (200, json!(4_001)));
    assert_eq!(fixture.post("/v1/fleet/fence", None).0, 422, "the controller is required");
    assert_eq!(
        fixture.post("/v1/fleet/fence?controller=3", None),
        (200, json!({ "controller": 3, "lives": 1 }))
    );
    let (status, problem) = fixture.get("/v1/watch?controller=3&life=9&after=0");
    assert_eq!((status, &problem["type"]), (403, &json!("/problems/fenced")));
    fixture.post("/v1/fleet/admit?controller=3", None);
    assert_eq!(fixture.get("/v1/watch?controller=3&life=9&after=3").0, 200);
    assert_eq!(fixture.get("/v1/fleet/change").1["revision"], 3);
    let clock = fixture.get("/v1/watch?controller=3&life=9&after=0").1["clock"].clone();
    assert_eq!(clock, json!({ "by": 77, "at_ms": 1_234, "held_ms": 0 }));
    let body = b"[\"a line\",\"another\"]";
    let lines = Request {
        method: "POST",
        target: "/v1/fleet/records?controller=3",
        content_type: Some("application/json"),
        body,
        ..Request::default()
    };
    assert_eq!(read(&fixture.respond(lines)), (200, json!({ "last": 2 })));
    assert_eq!(fixture.get("/v1/fleet/records?of=3&from=5").1["from"], 5);
    let report = Request {
        method: "POST",
        target: "/v1/fleet/loans?controller=3&life=9",
        content_type: Some("application/json"),
        body: b"[]",
        ..Request::default()
    };
    assert_eq!(read(&fixture.respond(report.clone())).1["by"], json!([3, 9]));
    // Only a controller or an admin may report demand.
    for (role, status) in [(Role::Viewer, 403), (Role::Operator, 403), (Role::Controller, 200)] {
        fixture.role = role;
        assert_eq!(fixture.respond(report.clone()).status, status, "{role:?}");
    }
    fixture.role = Role::Admin;
}

#[test]
fn restrictive_change_is_marked() {
    let mut fixture = Fixture::new();
    fixture.create(json!({"name": "a"}), None);
    let mut post = |target| match fixture
        .send(Request { method: "POST", target, if_match: Some("*"), ..Request::default() }, None)
    {
        Outcome::Committed { revision, restricts, .. } => (revision, restricts),
        other => panic!("{other:?}"),
    };
    assert_eq!(post("/v1/tenants/a/suspend"), (2, true));
    assert_eq!(post("/v1/tenants/a/suspend"), (2, true), "a repeated change is marked too");
    assert_eq!(post("/v1/tenants/a/resume"), (3, false));
}
