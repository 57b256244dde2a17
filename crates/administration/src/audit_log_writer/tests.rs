//! Unit tests of `audit_log_writer`.

use super::*;
use nettleferry_audit_log::View;
use nettleferry_audit_log::recorder::NameResolver;

struct NumberNames;

impl NameResolver for NumberNames {
    fn tenant(&self, id: u64) -> String {
        id.to_string()
    }

    fn worker(&self, id: u64) -> String {
        id.to_string()
    }
}

fn wait_until_written(log: &AuditLogWriter, number: u64) {
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while lock(&log.recent).last_number() < number {
        assert!(std::time::Instant::now() < until, "never written");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn log_continues_over_incarnations_and_drops_the_oldest_entries() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let mut last = 0;
    for incarnation in 1..=3 {
        let (log, tail) = AuditLogWriter::start(dir.path().to_owned(), 64 << 10).expect("started");
        assert_eq!(
            tail.as_ref().map_or(0, |tail| tail.number),
            last,
            "continues the earlier incarnation's chain"
        );
        let mut recorder = Recorder::new(0, incarnation, 1, "1.0", tail);
        for revision in 0..400 {
            recorder.view_applied(revision, View { revision, ..View::default() }, &NumberNames);
            recorder.call_accepted(revision, 1);
        }
        while recorder.waiting() > 0 {
            log.submit(&mut recorder);
        }
        last += 800;
        wait_until_written(&log, last);
        let newest = lock(&log.recent).after(last - 10, 1 << 20);
        assert_eq!(
            newest.iter().map(|entry| entry.number).collect::<Vec<_>>(),
            (last - 9..=last).collect::<Vec<_>>()
        );
        assert_eq!(lock(&log.recent).after(last - 10, 1).len(), 1, "at least one");
    }
    let checked = read(dir.path().to_owned()).expect("readable");
    assert!(matches!(&checked.errors[..], [chain::ChainError::Truncated { .. }]), "{:?}", checked.errors);
    assert_eq!(checked.tail.map(|tail| tail.number), Some(last));
}
