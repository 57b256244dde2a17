//! Unit tests of `trail`.

use super::*;
use nettleferry_audit_log::View;
use nettleferry_audit_log::recorder::NameResolver;

struct Plain;

impl NameResolver for Plain {
    fn tenant(&self, id: u64) -> String {
        id.to_string()
    }

    fn worker(&self, id: u64) -> String {
        id.to_string()
    }
}

fn settled(log: &Log, n: u64) {
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while lock(&log.held).last() < n {
        assert!(std::time::Instant::now() < until, "never written");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_record_goes_on_over_lives_and_lets_the_oldest_go() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut last = 0;
    for life in 1..=3 {
        let (log, tail) = Log::start(dir.path().to_owned(), 64 << 10).expect("a thread");
        assert_eq!(tail.as_ref().map_or(0, |t| t.number), last, "behind what the life before wrote");
        let mut recorder = Recorder::new(0, life, 1, "1.0", tail);
        for revision in 0..400 {
            recorder.view_applied(revision, View { revision, ..View::default() }, &Plain);
            recorder.call(revision, 1);
        }
        while recorder.waiting() > 0 {
            log.hand_on(&mut recorder);
        }
        last += 800;
        settled(&log, last);
        let some = lock(&log.held).after(last - 10, 1 << 20);
        assert_eq!(some.iter().map(|(n, _)| *n).collect::<Vec<_>>(), (last - 9..=last).collect::<Vec<_>>());
        assert_eq!(lock(&log.held).after(last - 10, 1).len(), 1, "one at the least");
    }
    let checked = read(dir.path().to_owned()).expect("it can be read");
    assert!(matches!(&checked.errors[..], [chain::ChainError::Truncated { .. }]), "{:?}", checked.errors);
    assert_eq!(checked.tail.map(|t| t.number), Some(last));
}
