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
    serde_json::from_str(&text).expect("JSON")
}

fn tenants() -> Vec<Tenant> {
    serde_json::from_value(recorded_state()["tenants"]["tenants"].clone()).expect("tenants")
}

fn entries() -> Vec<Entry> {
    serde_json::from_value(recorded_state()["audit"]["entries"].clone()).expect("entries")
}

/// The payload of a record file, which must be intact.
fn record(path: &Path) -> Vec<u8> {
    match RecordFile::open(&FileSystem, path).expect("read").1 {
        FileContents::Intact(record) => record.payload,
        found => panic!("{}: {found:?}", path.display()),
    }
}

/// Payloads of the records of a write-ahead log, which must be undamaged.
fn logged(folder: &Path) -> Vec<Vec<u8>> {
    let storage = DirectoryStorage::open(folder.to_owned()).expect("opened");
    let (log, found) = WriteAheadLog::open(storage, Limits::default()).expect("opened");
    let counters = log.counters();
    assert_eq!((counters.damaged, counters.torn_bytes, counters.lost_bytes), (0, 0, 0));
    found.records.into_iter().map(|record| record.payload).collect()
}

#[test]
fn the_tenant_store_is_opened() {
    let dir = golden::copy_of("state/leader");
    let (store, book) = Store::open(&dir.path().join("tenants.redb")).expect("opened");
    assert_eq!(book.tenants().cloned().collect::<Vec<_>>(), tenants());
    assert_eq!(store.audit(0, 1_000, None).expect("read"), entries());
    let once = store.idempotent_response("ada/once-1").expect("read").expect("kept");
    assert_eq!((once.status, once.revision), (201, 1));
    let created: Tenant = serde_json::from_str(&once.body).expect("a tenant");
    assert_eq!(created.name, "kalahari");
    let origin = store.origin().expect("read");
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
    let kept: Value =
        serde_json::from_slice(&record(&golden::path("state/follower/kept.json"))).expect("JSON");
    assert_eq!((&kept["store"], &kept["epoch"]), (&recorded_state()["store"], &recorded_state()["epoch"]));
    assert_eq!(kept["book"]["revision"], recorded_state()["tenants"]["revision"]);
    let held: Vec<Tenant> = match &kept["book"]["tenants"] {
        Value::Object(by_name) => {
            by_name.values().map(|t| serde_json::from_value(t.clone()).expect("a tenant")).collect()
        }
        list => serde_json::from_value(list.clone()).expect("tenants"),
    };
    assert_eq!(held, tenants());
}

#[test]
fn the_persisted_worker_list_is_read() {
    for of in ["leader", "follower"] {
        let payload = record(&golden::path(&format!("state/{of}/kept-workers.sexp")));
        let text = String::from_utf8(payload).expect("text");
        let at = text
            .lines()
            .next()
            .and_then(|line| line.strip_prefix(";at "))
            .expect("the first line has a time");
        assert!(at.parse::<u64>().is_ok(), "{at}");
        let workers = workers::read("the list", &text).expect("valid worker list");
        let names: Vec<(&str, &str)> = workers.iter().map(|w| (w.name.as_str(), w.zone.as_str())).collect();
        assert_eq!(names, [("w1", "room-a"), ("w2", "room-b")]);
        assert_eq!(workers[1].state, nettleferry::WorkerState::Draining);
    }
}

#[test]
fn segments_of_the_write_ahead_log_are_read() {
    let dir = golden::copy_of("state/leader");
    let found: Vec<Value> = logged(&dir.path().join("spool"))
        .iter()
        .map(|bytes| json!([bytes.len(), format!("{:08x}", crc32fast::hash(bytes))]))
        .collect();
    assert_eq!(json!(found), recorded_state()["spool"]);
    assert!(!found.is_empty());
}

#[test]
fn audit_logs_are_read_and_complete() {
    for of in ["leader", "follower"] {
        let dir = golden::copy_of(&format!("state/{of}"));
        let texts: Vec<String> = logged(&dir.path().join("trail"))
            .into_iter()
            .map(|b| String::from_utf8(b).expect("text"))
            .collect();
        let checked = chain::check(texts.iter().map(String::as_str));
        assert_eq!(checked.errors, []);
        assert_eq!(json!(texts), recorded_state()["trail"][of]);
        let rewritten: Vec<String> =
            checked.entries.iter().map(nettleferry_audit_log::Entry::to_json).collect();
        assert_eq!(rewritten, texts, "they are written as they were");
    }
}

#[test]
fn delivered_records_are_read() {
    let dir = golden::copy_of("state/leader");
    let records: Vec<Value> = logged(&dir.path().join("tenants.records"))
        .iter()
        .map(|bytes| serde_json::from_slice(bytes).expect("JSON"))
        .collect();
    for of in ["1", "administration"] {
        let texts = records.iter().filter(|r| r["of"] == of).map(|r| r["text"].clone());
        let texts: Vec<Value> = texts.collect();
        let lines = recorded_state()["records_of"][of]["lines"].as_array().expect("lines").clone();
        assert_eq!(texts[..lines.len()], lines, "{of}: what was told is the beginning of what was written");
    }
}

#[test]
fn an_administration_goes_on_with_all_that_was_stored() {
    let (token, line) = key("ada", "admin");
    let settings = format!(
        "{SETTINGS}(controller (number 0) (of 2))(admin (listen \"127.0.0.1:0\") (store \"tenants.redb\") {line} \
         (lease 4500ms) (loans (reserve 0.2)) (trail (folder \"trail\")))"
    );
    let dir = golden::copy_of("state/leader");
    std::fs::write(dir.path().join("workers.sexp"), "").expect("written");
    let program = serve_in(dir, &settings, None);
    let api = program.line("listening admin ");
    let http = AdminClient { api, token };
    assert_eq!(http.get("/v1/tenants"), recorded_state()["tenants"]);
    assert_eq!(http.get("/v1/audit?limit=100"), recorded_state()["audit"]);
    for of in ["1", "administration"] {
        let lines = http.get(&format!("/v1/fleet/records?of={of}&limit=1000"))["lines"].clone();
        let (lines, known) =
            (lines.as_array().expect("lines").clone(), recorded_state()["records_of"][of]["lines"].clone());
        let known = known.as_array().expect("lines").clone();
        assert_eq!(lines[..known.len()], known, "{of}");
    }
    // A repeated request with the same idempotency key gets the same response.
    let first = recorded_state()["first"].clone();
    let (status, answer) = http.send(
        "POST",
        "/v1/tenants",
        "Idempotency-Key: once-1\r\n",
        first["request"].as_str().expect("a body"),
    );
    assert_eq!((json!(status), &answer), (first["status"].clone(), &first["answer"]));
}

#[test]
fn a_follower_serves_by_the_record_it_has() {
    let fleet = Fleet::new(1, SPEC);
    let dir = golden::copy_of("state/follower");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("written");
    std::fs::write(dir.path().join("key"), "fleet.none").expect("written");
    let settings = format!(
        "{SETTINGS}(controller (number 1) (of 2))(admin (follow \"127.0.0.1:9\") (key-file \"key\") (kept \"kept.json\"))"
    );
    let program = serve_in(dir, &settings, None);
    let mut caller = Caller::new(program.address);
    eventually("the worker is known", || code(&mut caller, Some("kalahari"), "echo").0 == Code::Ok);
    assert_eq!(code(&mut caller, Some("morava"), "echo").0, Code::PermissionDenied, "it was suspended");
    assert_eq!(code(&mut caller, Some("taymyr"), "echo").0, Code::PermissionDenied, "it was removed");
}
