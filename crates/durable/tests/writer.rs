//! A stalled disk blocks no caller of the writer, and once it recovers only the newest payload is written.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use nettleferry_durable::{FileContents, MemoryStorage, RecordWriter, Storage};

/// A disk that announces each write and blocks it until the test releases it.
struct StalledDisk {
    disk: MemoryStorage,
    write_started: Sender<()>,
    release: Receiver<()>,
}

impl Storage for StalledDisk {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(path)
    }
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let _ = self.write_started.send(());
        // Receiving fails if the test has ended. The write continues then.
        let _ = self.release.recv();
        self.disk.write(path, bytes)
    }
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.disk.rename(from, to)
    }
    fn sync_directory(&mut self, path: &Path) -> io::Result<()> {
        self.disk.sync_directory(path)
    }
}

const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn stalled_disk_blocks_only_the_writer_thread() {
    let (started_sender, write_started) = channel();
    let (release, release_receiver) = channel();
    let (result_sender, results) = channel();
    let stalled = StalledDisk {
        disk: MemoryStorage::default(),
        write_started: started_sender,
        release: release_receiver,
    };
    let writer = RecordWriter::start(stalled, Path::new("kept"), move |result| {
        let _ = result_sender.send(result.ok());
    })
    .expect("writer thread started");
    let found =
        writer.initial_contents(TIMEOUT).expect("the file can be opened").expect("opened within the timeout");
    assert_eq!(found, FileContents::Absent);
    writer.submit(b"0".to_vec());
    write_started.recv_timeout(TIMEOUT).expect("the first write has begun and is stalled");
    for n in 1..=1000 {
        writer.submit(format!("{n}").into_bytes());
    }
    assert!(!writer.flush(Duration::ZERO));
    assert_eq!(writer.counters().superseded, 999);
    release.send(()).expect("the writer thread waits");
    assert_eq!(results.recv_timeout(TIMEOUT), Ok(Some(1)));
    release.send(()).expect("the writer thread waits");
    assert_eq!(results.recv_timeout(TIMEOUT), Ok(Some(2)));
    assert!(writer.flush(TIMEOUT));
    let counters = writer.counters();
    assert_eq!((counters.submitted, counters.written, counters.failed), (1001, 2, 0));
}
