//! A stalled disk holds up nobody, and only the newest version is written when it works again.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use nettleferry_durable::{FileContents, MemoryStorage, RecordWriter, Storage};

/// A disk whose writes wait until they are let through.
struct StalledDisk {
    disk: MemoryStorage,
    began: Sender<()>,
    go: Receiver<()>,
}

impl Storage for StalledDisk {
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

const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn stalled_disk_holds_up_only_the_writer_thread() {
    let ((began, begins), (go, gone)) = (channel(), channel());
    let (tell, told) = channel();
    let still = StalledDisk { disk: MemoryStorage::default(), began, go: gone };
    let writer = RecordWriter::start(still, Path::new("kept"), move |result| {
        let _ = tell.send(result.ok());
    })
    .expect("started");
    let found = writer.initial_contents(TIMEOUT).expect("readable").expect("in time");
    assert_eq!(found, FileContents::Absent);
    writer.submit(b"0".to_vec());
    begins.recv_timeout(TIMEOUT).expect("the first write has begun and stands");
    for n in 1..=1000 {
        writer.submit(format!("{n}").into_bytes());
    }
    assert!(!writer.flush(Duration::ZERO));
    assert_eq!(writer.counters().superseded, 999);
    go.send(()).expect("the writer waits");
    assert_eq!(told.recv_timeout(TIMEOUT), Ok(Some(1)));
    go.send(()).expect("the writer waits");
    assert_eq!(told.recv_timeout(TIMEOUT), Ok(Some(2)));
    assert!(writer.flush(TIMEOUT));
    let counted = writer.counters();
    assert_eq!((counted.submitted, counted.written, counted.failed), (1001, 2, 0));
}
