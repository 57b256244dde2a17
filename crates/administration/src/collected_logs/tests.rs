//! Unit tests of `collected_logs`.

use super::*;

fn entry(number: u64) -> String {
    format!(
        "{{\"n\":{number},\"life\":1,\"from\":0,\"to\":0,\"prev\":\"x\",\"what\":\"everywhere\",\"epoch\":1,\"revision\":{number}}}"
    )
}

#[test]
fn delivered_entries_survive_a_restart_and_are_stored_once() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let mut logs = CollectedLogs::open(dir.path().to_owned());
    assert_eq!(logs.append("1", (1..=5).map(entry).collect()), 5);
    assert_eq!(logs.append("1", (3..=7).map(entry).collect()), 7, "delivered again as the response was lost");
    assert_eq!(logs.append("2", vec!["no entry".to_owned(), entry(1)]), 1);
    drop(logs);
    let logs = CollectedLogs::open(dir.path().to_owned());
    let page = logs.page("1", 0, 6).expect("there");
    assert_eq!((page.entries.len(), page.next), (6, Some(6)));
    let last = logs.page("1", 6, 6).expect("there");
    assert_eq!((last.entries, last.next), (vec![entry(7).as_str()], None));
    assert_eq!((logs.last_number("2"), logs.page("3", 0, 1)), (1, None));
}

#[test]
fn logs_and_their_entries_are_bounded() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let mut logs = CollectedLogs::open(dir.path().to_owned());
    logs.wal = None;
    for number in 1..=MAX_ENTRIES as u64 + 9 {
        logs.append("1", vec![entry(number)]);
    }
    assert_eq!(logs.logs["1"].entries.len(), MAX_ENTRIES);
    for owner in 0..MAX_LOGS + 5 {
        logs.append(&format!("c{owner}"), vec![entry(1)]);
    }
    assert_eq!(logs.logs.len(), MAX_LOGS);
}
