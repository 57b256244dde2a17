//! A disk that stands still holds up nobody, and only the newest version is written when it moves again.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use nettleferry_durable::{Found, MemoryStorage, RecordWriter, Storage};

/// A disk whose writes wait until they are let through.
struct Still {
    disk: MemoryStorage,
    began: Sender<()>,
    go: Receiver<()>,
}

impl Storage for Still {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(path)
    }
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let _ = self.began.send(());
        // The test has ended: so does the wait.
        let _ = self.go.recv();
        self.disk.write(path, bytes)
    }
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.disk.rename(from, to)
    }
    fn sync_names(&mut self, path: &Path) -> io::Result<()> {
        self.disk.sync_names(path)
    }
}

const PATIENCE: Duration = Duration::from_secs(30);

#[test]
fn a_disk_that_stands_still_is_waited_for_by_the_keeper_alone() {
    let ((began, begins), (go, gone)) = (channel(), channel());
    let (tell, told) = channel();
    let still = Still { disk: MemoryStorage::default(), began, go: gone };
    let keeper = RecordWriter::start(still, Path::new("kept"), move |result| {
        let _ = tell.send(result.ok());
    })
    .expect("started");
    let found = keeper.found(PATIENCE).expect("readable").expect("in time");
    assert_eq!(found, Found::Absent);
    keeper.submit(b"0".to_vec());
    begins.recv_timeout(PATIENCE).expect("the first write has begun and stands");
    for n in 1..=1000 {
        keeper.submit(format!("{n}").into_bytes());
    }
    assert!(!keeper.flush(Duration::ZERO));
    assert_eq!(keeper.counters().superseded, 999);
    go.send(()).expect("the keeper waits");
    assert_eq!(told.recv_timeout(PATIENCE), Ok(Some(1)));
    go.send(()).expect("the keeper waits");
    assert_eq!(told.recv_timeout(PATIENCE), Ok(Some(2)));
    assert!(keeper.flush(PATIENCE));
    let counted = keeper.counters();
    assert_eq!((counted.submitted, counted.written, counted.failed), (1001, 2, 0));
}
