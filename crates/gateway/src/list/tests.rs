//! Unit tests of `list`.

use std::path::Path;

use nettleferry_fleet::recovery_policy;

use super::*;

fn file(path: &Path, kept: &Path) -> ListFile {
    ListFile::new(path.to_owned(), Some(kept.to_owned()), Arc::default())
}

#[test]
fn a_bad_version_leaves_the_last_and_the_kept_one_comes_back_while_it_is_young() {
    let dir = tempfile::tempdir().expect("a folder");
    let (path, kept) = (dir.path().join("w.sexp"), dir.path().join("kept.sexp"));
    let mut first = file(&path, &kept);
    assert!(first.look(false).is_none(), "it is not there yet");
    assert_eq!(first.look(true).expect("asked for").form, ListForm::Failed);
    std::fs::write(&path, "(worker w1 (address \"127.0.0.1:9\"))").expect("written");
    assert_eq!(first.look(false).expect("changed").workers.len(), 1);
    assert!(first.look(false).is_none(), "unchanged");
    std::fs::write(&path, "(worker w1 (address \"127.0.0.1:9\")) (worker w2 (adress").expect("written");
    assert!(first.look(false).is_none(), "half written: not at all");
    assert_eq!(first.refused.load(Ordering::Relaxed), 3);
    let now = clock::wall() / 1000;
    drop(first);
    let restored = file(&path, &kept).restored(now).expect("kept");
    assert_eq!((restored.form, restored.workers[0].name.as_str()), (ListForm::Restored, "w1"));
    let old = recovery_policy::rule(recovery_policy::PersistedState::WorkerList)
        .max_age_ms
        .expect("a list has an age limit");
    assert!(file(&path, &kept).restored(now + old + 60_000).is_none(), "too old to be believed");
    std::fs::write(&kept, "(worker w1 (address \"127.0.0.1:9\"))").expect("written");
    assert!(file(&path, &kept).restored(now).is_none(), "of an age that nobody knows");
}
