//! Unit tests of `file`.

use std::path::Path;

use nettleferry_fleet::recovery_policy;

use super::*;

fn file(path: &Path, persisted: &Path) -> ListFile {
    ListFile::new(path.to_owned(), Some(persisted.to_owned()), Arc::default())
}

#[test]
fn rejected_version_keeps_the_last_list_which_is_restored_while_recent() {
    let dir = tempfile::tempdir().expect("a folder");
    let (path, persisted) = (dir.path().join("w.sexp"), dir.path().join("kept.sexp"));
    let mut first = file(&path, &persisted);
    assert!(first.read(false).is_none(), "there is no file yet");
    assert_eq!(first.read(true).expect("requested").form, ListForm::Failed);
    std::fs::write(&path, "(worker w1 (address \"127.0.0.1:9\"))").expect("written");
    assert_eq!(first.read(false).expect("changed").workers.len(), 1);
    assert!(first.read(false).is_none(), "unchanged");
    std::fs::write(&path, "(worker w1 (address \"127.0.0.1:9\")) (worker w2 (adress").expect("written");
    assert!(first.read(false).is_none(), "half written: rejected");
    assert_eq!(first.rejected.load(Ordering::Relaxed), 3);
    let now = clock::wall() / 1000;
    drop(first);
    let restored = file(&path, &persisted).restore(now).expect("persisted");
    assert_eq!((restored.form, restored.workers[0].name.as_str()), (ListForm::Restored, "w1"));
    let old = recovery_policy::rule(recovery_policy::PersistedState::WorkerList)
        .max_age_ms
        .expect("a list has an age limit");
    assert!(file(&path, &persisted).restore(now + old + 60_000).is_none(), "too old to be used");
    std::fs::write(&persisted, "(worker w1 (address \"127.0.0.1:9\"))").expect("written");
    assert!(file(&path, &persisted).restore(now).is_none(), "of unknown age");
}
