//! Unit tests of `chain`.

use super::*;
use crate::recorder::{NameResolver, Recorder};
use crate::view::View;

struct Plain;

impl NameResolver for Plain {
    fn tenant(&self, id: u64) -> String {
        format!("t{id}")
    }

    fn worker(&self, id: u64) -> String {
        format!("w{id}")
    }
}

fn record() -> Vec<String> {
    let mut all = Vec::new();
    let mut left = None;
    for life in 1..=2 {
        let mut recorder = Recorder::new(0, life, 3, "1.0", left.take());
        for revision in 1..4 {
            recorder.view_applied(revision * 10, View { revision, ..View::default() }, &Plain);
            recorder.call(revision * 10 + 1, 7);
            recorder.call(revision * 10 + 2, 8);
            recorder.attempt(revision * 10 + 2, 1);
        }
        recorder.close(&Plain);
        all.extend(recorder.take(usize::MAX));
        left = check(all.iter().map(String::as_str)).tail;
    }
    all
}

fn faults(texts: &[String]) -> Vec<ChainError> {
    check(texts.iter().map(String::as_str)).errors
}

#[test]
fn a_whole_record_over_two_lives_is_whole() {
    let texts = record();
    let checked = check(texts.iter().map(String::as_str));
    assert_eq!((checked.errors, checked.entries.len()), (vec![], 14));
    let EntryKind::Activity { calls, attempts, .. } = &checked.entries[2].kind else {
        panic!("{:?}", checked.entries[2])
    };
    assert_eq!((calls.len(), calls["t7"], attempts["w1"]), (2, 1, 1));
    assert_eq!((checked.entries[2].from, checked.entries[2].to), (11, 12));
}

#[test]
fn a_lost_an_altered_and_a_garbled_line_are_found() {
    let texts = record();
    for place in 1..texts.len() - 1 {
        let mut lost = texts.clone();
        lost.remove(place);
        assert_eq!(faults(&lost), [ChainError::Missing { after: place as u64, before: place as u64 + 2 }]);
        let mut altered = texts.clone();
        // One digit of a time or a count: still a line, and no longer the same.
        altered[place] = altered[place].replacen("\"from\":", "\"from\":1", 1);
        assert_eq!(faults(&altered), [ChainError::Altered { number: place as u64 + 2 }], "line {place}");
        let mut garbled = texts.clone();
        garbled[place].truncate(9);
        assert_eq!(faults(&garbled), [ChainError::Unreadable { index: place }]);
    }
    assert_eq!(faults(&texts[4..]), [ChainError::Truncated { first: 5 }]);
}

#[test]
fn what_finds_no_room_is_said_to_be_missing() {
    let mut recorder = Recorder::new(0, 1, 3, "1.0", None);
    for revision in 0..5_000 {
        recorder.view_applied(revision, View { revision, ..View::default() }, &Plain);
    }
    assert_eq!(recorder.waiting(), crate::recorder::MAX_WAITING);
    let mut texts: Vec<String> = recorder.take(usize::MAX).collect();
    recorder.view_applied(9_000, View { revision: 9_000, ..View::default() }, &Plain);
    texts.extend(recorder.take(usize::MAX));
    let [ChainError::DeclaredGap { entries: lines, .. }] = &faults(&texts)[..] else {
        panic!("{:?}", faults(&texts))
    };
    assert_eq!(*lines, 5_001 - crate::recorder::MAX_WAITING as u64);
}
