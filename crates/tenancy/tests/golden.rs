//! The JSON of tenants and audit entries is the same as that of earlier versions, which store and exchange it.

use nettleferry_tenancy::{Entry, Tenant};

const FULL: &str = r#"{"name":"kalahari","uid":1,"revision":4,"state":"active","created_ms":1700000000000,"limits":{"rate_per_second":50.5,"burst":7,"open_calls":150,"held_calls":20,"loaded_memory_bytes":8589934592,"fleet_share":0.5},"classes":{"quick":{"rate_per_second":40.0,"burst":4,"open_calls":100}},"weight":2.5,"models":["echo*","ledger"],"note":"first of all"}"#;
const BARE: &str = r#"{"name":"morava","uid":2,"revision":2,"state":"suspended","created_ms":1700000000000,"limits":{},"classes":{}}"#;
const REMOVING: &str = r#"{"name":"taymyr","uid":3,"revision":8,"state":"removing","gone_at_ms":1700000000500,"created_ms":1700000000000,"limits":{},"classes":{}}"#;

#[test]
fn tenants_of_earlier_versions_are_read_and_written_alike() {
    for text in [FULL, BARE, REMOVING] {
        let tenant: Tenant = serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"));
        assert_eq!(serde_json::to_string(&tenant).expect("serialized as JSON"), text);
    }
}

#[test]
fn entries_of_earlier_versions_are_read_and_written_alike() {
    for (action, before, after) in [
        ("create", None, Some(FULL)),
        ("change", Some(FULL), Some(FULL)),
        ("suspend", Some(BARE), Some(BARE)),
        ("resume", Some(BARE), Some(BARE)),
        ("remove", Some(BARE), Some(REMOVING)),
        ("gone", Some(REMOVING), None),
    ] {
        let side =
            |name: &str, tenant: Option<&str>| tenant.map_or(String::new(), |t| format!(",\"{name}\":{t}"));
        let text = format!(
            r#"{{"revision":8,"at_ms":1700000000400,"who":"ada","action":"{action}","tenant":"taymyr"{}{}}}"#,
            side("before", before),
            side("after", after)
        );
        let entry: Entry = serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}"));
        assert_eq!(serde_json::to_string(&entry).expect("serialized as JSON"), text);
    }
}
