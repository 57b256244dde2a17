//! Unit tests of `chain`.

use super::*;
use crate::recorder::{NameResolver, Recorder};
use crate::view::View;

struct NumberedNames;

impl NameResolver for NumberedNames {
    fn tenant(&self, id: u64) -> String {
        format!("t{id}")
    }

    fn worker(&self, id: u64) -> String {
        format!("w{id}")
    }
}

/// The log that two successive incarnations of a controller write.
fn log() -> Vec<String> {
    let mut all = Vec::new();
    let mut tail = None;
    for incarnation in 1..=2 {
        let mut recorder = Recorder::new(0, incarnation, 3, "1.0", tail.take());
        for revision in 1..4 {
            recorder.view_applied(revision * 10, View { revision, ..View::default() }, &NumberedNames);
            recorder.call_accepted(revision * 10 + 1, 7);
            recorder.call_accepted(revision * 10 + 2, 8);
            recorder.attempt_sent(revision * 10 + 2, 1);
        }
        recorder.close(&NumberedNames);
        all.extend(recorder.take(usize::MAX));
        tail = check(all.iter().map(String::as_str)).tail;
    }
    all
}

fn chain_errors(texts: &[String]) -> Vec<ChainError> {
    check(texts.iter().map(String::as_str)).errors
}

#[test]
fn log_over_two_incarnations_is_complete() {
    let texts = log();
    let checked = check(texts.iter().map(String::as_str));
    assert_eq!((checked.errors, checked.entries.len()), (vec![], 14));
    let EntryKind::Activity { calls, attempts, .. } = &checked.entries[2].kind else {
        panic!("{:?}", checked.entries[2])
    };
    assert_eq!((calls.len(), calls["t7"], attempts["w1"]), (2, 1, 1));
    assert_eq!((checked.entries[2].from, checked.entries[2].to), (11, 12));
}

#[test]
fn lost_altered_and_garbled_entries_are_found() {
    let texts = log();
    for index in 1..texts.len() - 1 {
        let mut lost = texts.clone();
        lost.remove(index);
        assert_eq!(
            chain_errors(&lost),
            [ChainError::Missing { after: index as u64, before: index as u64 + 2 }]
        );
        let mut altered = texts.clone();
        // A changed time leaves the text a valid entry, so only the hash shows the change.
        altered[index] = altered[index].replacen("\"from\":", "\"from\":1", 1);
        assert_eq!(
            chain_errors(&altered),
            [ChainError::Altered { number: index as u64 + 2 }],
            "entry at index {index} is altered"
        );
        let mut garbled = texts.clone();
        garbled[index].truncate(9);
        assert_eq!(chain_errors(&garbled), [ChainError::Unreadable { index }]);
    }
    assert_eq!(chain_errors(&texts[4..]), [ChainError::Truncated { first: 5 }]);
}

#[test]
fn entries_dropped_from_full_queue_are_declared_missing() {
    let mut recorder = Recorder::new(0, 1, 3, "1.0", None);
    for revision in 0..5_000 {
        recorder.view_applied(revision, View { revision, ..View::default() }, &NumberedNames);
    }
    assert_eq!(recorder.waiting(), crate::recorder::MAX_WAITING_ENTRIES);
    let mut texts: Vec<String> = recorder.take(usize::MAX).collect();
    recorder.view_applied(9_000, View { revision: 9_000, ..View::default() }, &NumberedNames);
    texts.extend(recorder.take(usize::MAX));
    let [ChainError::DeclaredGap { entries, .. }] = &chain_errors(&texts)[..] else {
        panic!("{:?}", chain_errors(&texts))
    };
    assert_eq!(*entries, 5_001 - crate::recorder::MAX_WAITING_ENTRIES as u64);
}
