//! Unit tests of the screen of `top`.

use super::*;
use ratatui::Terminal;
use ratatui::backend::TestBackend;
use serde_json::json;

#[test]
fn busiest_tenant_is_first_and_a_failed_refresh_is_shown() {
    let usage = |name: &str, open: u64, held: u64| {
        json!({ "tenant": name, "open_calls": open, "held_calls": held, "admitted": 70, "refused": 3,
                "loaded_memory_bytes": 5 << 20, "open_by_class": { "quick": open } })
    };
    let mut sample = Sample {
        usage: vec![usage("kalahari", 1, 0), usage("morava", 9, 4)],
        workers: vec![json!({ "name": "w1", "zone": "a", "address": "x", "listed": "on", "drained": true })],
        revision: 17,
        ..Sample::default()
    };
    let mut terminal = Terminal::new(TestBackend::new(100, 30)).expect("test terminal created");
    let mut render = |sample: &Sample| {
        terminal.draw(|frame| draw(frame, sample)).expect("screen drawn");
        terminal.backend().to_string()
    };
    let screen = render(&sample);
    let position =
        |text: &str| screen.find(text).unwrap_or_else(|| panic!("{text:?} is not on the screen:\n{screen}"));
    assert!(position("morava") < position("kalahari"));
    for text in ["revision 17", "open 10", "held 4", "refused 6", "5 MiB", "quick", "drained by hand"] {
        position(text);
    }
    sample.error = Some("no answer".to_owned());
    assert!(render(&sample).contains("no answer"));
}
