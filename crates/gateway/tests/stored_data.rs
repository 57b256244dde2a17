//! This version reads the files written by the program of 6b10503 (`golden/state`, see `golden/README.md`) and finds
//! the data that was written: the tenant store, its snapshot, a follower's durable record, the persisted worker list,
//! the lease span, write-ahead log segments, audit logs and delivered records.

mod common;
use common::admin_client::*;
use common::golden;
use common::*;

use std::path::Path;

use nettleferry_audit_log::chain;
use nettleferry_config::workers;
use nettleferry_durable::{FileContents, FileSystem, RecordFile};
use nettleferry_net::grpc::Code;
use nettleferry_tenancy::{Entry, Tenant};
use nettleferry_tenant_store::{Snapshot, Store};
use nettleferry_wal::{DirectoryStorage, Limits, WriteAheadLog};
use serde_json::{Value, json};

/// The state that the API of the earlier program reported before it ended.
fn recorded_state() -> Value {
    let text = std::fs::read_to_string(golden::path("state/told.json")).expect("golden file exists");
    serde_json::from_str(&text).expect("valid JSON")
}

fn tenants() -> Vec<Tenant> {
    serde_json::from_value(recorded_state()["tenants"]["tenants"].clone()).expect("recorded tenants")
}

fn entries() -> Vec<Entry> {
    serde_json::from_value(recorded_state()["audit"]["entries"].clone()).expect("recorded audit entries")
}

/// The payload of a record file, which must be intact.
fn record(path: &Path) -> Vec<u8> {
    match RecordFile::open(&FileSystem, path).expect("record file readable").1 {
        FileContents::Intact(record) => record.payload,
        damaged => panic!("{}: not intact: {damaged:?}", path.display()),
    }
}

/// Payloads of the records of a write-ahead log, which must be undamaged.
fn log_payloads(folder: &Path) -> Vec<Vec<u8>> {
    let storage = DirectoryStorage::open(folder.to_owned()).expect("log folder opened");
    let (log, recovered) = WriteAheadLog::open(storage, Limits::default()).expect("log opened");
    let counters = log.counters();
    assert_eq!((counters.damaged, counters.torn_bytes, counters.lost_bytes), (0, 0, 0));
    recovered.records.into_iter().map(|record| record.payload).collect()
}

#[test]
fn the_tenant_store_is_opened() {
    let dir = golden::copy_of("state/leader");
    let (store, registry) = Store::open(&dir.path().join("tenants.redb")).expect("store opened");
    assert_eq!(registry.tenants().cloned().collect::<Vec<_>>(), tenants());
    assert_eq!(store.audit(0, 1_000, None).expect("audit entries readable"), entries());
    let response =
        store.idempotent_response("ada/once-1").expect("responses readable").expect("a stored response");
    assert_eq!((response.status, response.revision), (201, 1));
    let created: Tenant = serde_json::from_str(&response.body).expect("a tenant");
    assert_eq!(created.name, "kalahari");
    let origin = store.origin().expect("origin readable");
    assert_eq!(
        (json!(origin.store), json!(origin.epoch)),
        (recorded_state()["store"].clone(), recorded_state()["epoch"].clone())
    );
}

#[test]
fn the_snapshot_beside_the_store_is_read() {
    let snapshot = Snapshot::read(&golden::path("state/leader/tenants.snapshot")).expect("valid snapshot");
    assert_eq!((snapshot.tenants, snapshot.audit), (tenants(), Vec::new()));
    let origin = snapshot.origin.expect("the snapshot has an origin");
    assert_eq!(
        (json!(origin.store), json!(origin.epoch)),
        (recorded_state()["store"].clone(), recorded_state()["epoch"].clone())
    );
}

#[test]
fn a_snapshot_of_all_of_a_store_is_read() {
    let dir = golden::copy_of("state");
    let snapshot = Snapshot::read(&dir.path().join("complete.snapshot")).expect("valid snapshot");
    assert_eq!((snapshot.tenants, snapshot.audit), (tenants(), entries()));
}

#[test]
fn the_lease_span_is_read() {
    assert_eq!(record(&golden::path("state/leader/tenants.lease")), b"4500");
}

#[test]
fn the_record_of_a_follower_is_read() {
    let persisted: Value =
        serde_json::from_slice(&record(&golden::path("state/follower/kept.json"))).expect("valid JSON");
    assert_eq!(
        (&persisted["store"], &persisted["epoch"]),
        (&recorded_state()["store"], &recorded_state()["epoch"])
    );
    assert_eq!(persisted["book"]["revision"], recorded_state()["tenants"]["revision"]);
    let persisted_tenants: Vec<Tenant> = match &persisted["book"]["tenants"] {
        Value::Object(by_name) => {
            by_name.values().map(|tenant| serde_json::from_value(tenant.clone()).expect("a tenant")).collect()
        }
        list => serde_json::from_value(list.clone()).expect("a list of tenants"),
    };
    assert_eq!(persisted_tenants, tenants());
}

#[test]
fn the_persisted_worker_list_is_read() {
    for source in ["leader", "follower"] {
        let payload = record(&golden::path(&format!("state/{source}/kept-workers.sexp")));
        let text = String::from_utf8(payload).expect("the list is UTF-8");
        let written_at = text
            .lines()
            .next()
            .and_then(|line| line.strip_prefix(";at "))
            .expect("the first line has a time");
        assert!(written_at.parse::<u64>().is_ok(), "not a time: {written_at}");
        let workers = workers::read("the list", &text).expect("valid worker list");
        let names_and_zones: Vec<(&str, &str)> =
            workers.iter().map(|worker| (worker.name.as_str(), worker.zone.as_str())).collect();
        assert_eq!(names_and_zones, [("w1", "room-a"), ("w2", "room-b")]);
        assert_eq!(workers[1].state, nettleferry::WorkerState::Draining);
    }
}

#[test]
fn segments_of_the_write_ahead_log_are_read() {
    let dir = golden::copy_of("state/leader");
    let lengths_and_checksums: Vec<Value> = log_payloads(&dir.path().join("spool"))
        .iter()
        .map(|bytes| json!([bytes.len(), format!("{:08x}", crc32fast::hash(bytes))]))
        .collect();
    assert_eq!(json!(lengths_and_checksums), recorded_state()["spool"]);
    assert!(!lengths_and_checksums.is_empty());
}

#[test]
fn audit_logs_are_read_and_complete() {
    for source in ["leader", "follower"] {
        let dir = golden::copy_of(&format!("state/{source}"));
        let texts: Vec<String> = log_payloads(&dir.path().join("trail"))
            .into_iter()
            .map(|payload| String::from_utf8(payload).expect("the entry is UTF-8"))
            .collect();
        let checked = chain::check(texts.iter().map(String::as_str));
        assert_eq!(checked.errors, []);
        assert_eq!(json!(texts), recorded_state()["trail"][source]);
        let rewritten: Vec<String> =
            checked.entries.iter().map(nettleferry_audit_log::Entry::to_json).collect();
        assert_eq!(rewritten, texts, "the entries serialize to the stored text");
    }
}

#[test]
fn delivered_records_are_read() {
    let dir = golden::copy_of("state/leader");
    let records: Vec<Value> = log_payloads(&dir.path().join("tenants.records"))
        .iter()
        .map(|bytes| serde_json::from_slice(bytes).expect("valid JSON"))
        .collect();
    for source in ["1", "administration"] {
        let texts: Vec<Value> = records
            .iter()
            .filter(|record| record["of"] == source)
            .map(|record| record["text"].clone())
            .collect();
        let lines =
            recorded_state()["records_of"][source]["lines"].as_array().expect("an array of lines").clone();
        assert_eq!(
            texts[..lines.len()],
            lines,
            "{source}: the log begins with the lines that the API reported"
        );
    }
}

#[test]
fn an_administration_goes_on_with_all_that_was_stored() {
    let (token, key_settings) = key("ada", "admin");
    let settings = format!(
        "{SETTINGS}(controller (number 0) (of 2))(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") {key_settings} \
         (lease 4500ms) (loans (reserve 0.2)) (trail (folder \"trail\")))"
    );
    let dir = golden::copy_of("state/leader");
    std::fs::write(dir.path().join("workers.sexp"), "").expect("worker list written");
    let program = serve_in(dir, &settings, None);
    let api = program.line("listening admin ");
    let http = AdminClient { api, token };
    assert_eq!(http.get("/v1/tenants"), recorded_state()["tenants"]);
    assert_eq!(http.get("/v1/audit?limit=100"), recorded_state()["audit"]);
    for source in ["1", "administration"] {
        let lines = http.get(&format!("/v1/fleet/records?of={source}&limit=1000"))["lines"].clone();
        let recorded = recorded_state()["records_of"][source]["lines"].clone();
        let lines = lines.as_array().expect("an array of lines").clone();
        let recorded = recorded.as_array().expect("an array of lines").clone();
        assert_eq!(lines[..recorded.len()], recorded, "{source}");
    }
    // A repeated request with the same idempotency key gets the same response.
    let first = recorded_state()["first"].clone();
    let (status, response) = http.send(
        "POST",
        "/v1/tenants",
        "Idempotency-Key: once-1\r\n",
        first["request"].as_str().expect("a body"),
    );
    assert_eq!((json!(status), &response), (first["status"].clone(), &first["answer"]));
}

#[test]
fn a_follower_serves_by_the_record_it_has() {
    let fleet = Fleet::new(1, SPEC);
    let dir = golden::copy_of("state/follower");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    std::fs::write(dir.path().join("key"), "fleet.none").expect("key file written");
    let settings = format!(
        "{SETTINGS}(controller (number 1) (of 2))(admin (follow \"127.0.0.1:9\") (key-file \"key\") (kept \"kept.json\"))"
    );
    let program = serve_in(dir, &settings, None);
    let mut caller = Caller::new(program.address);
    eventually("a call of the tenant is served", || {
        code(&mut caller, Some("kalahari"), "echo").0 == Code::Ok
    });
    assert_eq!(
        code(&mut caller, Some("morava"), "echo").0,
        Code::PermissionDenied,
        "the tenant is suspended"
    );
    assert_eq!(code(&mut caller, Some("taymyr"), "echo").0, Code::PermissionDenied, "the tenant was removed");
}
