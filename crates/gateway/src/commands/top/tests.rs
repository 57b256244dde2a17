//! Unit tests of `top`.

use super::*;
use ratatui::Terminal;
use ratatui::backend::TestBackend;
use serde_json::json;

#[test]
fn the_busiest_tenant_stands_first_and_a_failure_is_told() {
    let usage = |name: &str, open: u64, held: u64| {
        json!({ "tenant": name, "open_calls": open, "held_calls": held, "admitted": 70, "refused": 3,
                "loaded_memory_bytes": 5 << 20, "open_by_class": { "quick": open } })
    };
    let mut seen = Seen {
        usage: vec![usage("kalahari", 1, 0), usage("morava", 9, 4)],
        workers: vec![json!({ "name": "w1", "zone": "a", "address": "x", "listed": "on", "drained": true })],
        revision: 17,
        ..Seen::default()
    };
    let mut terminal = Terminal::new(TestBackend::new(100, 30)).expect("a screen");
    let mut text = |seen: &Seen| {
        terminal.draw(|frame| draw(frame, seen)).expect("drawn");
        terminal.backend().to_string()
    };
    let screen = text(&seen);
    let at = |what: &str| screen.find(what).unwrap_or_else(|| panic!("{what} in {screen}"));
    assert!(at("morava") < at("kalahari"));
    for what in ["revision 17", "open 10", "held 4", "refused 6", "5 MiB", "quick", "drained by hand"] {
        at(what);
    }
    seen.error = Some("no answer".to_owned());
    assert!(text(&seen).contains("no answer"));
}
