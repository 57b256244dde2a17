//! A persisted file of the program: written by a thread of its own, and read at the start as far as the recovery policy
//! trusts it. How a file survives a loss of power is decided by `nettleferry_durable`; how far its content is trusted
//! afterwards, by `nettleferry_fleet`.

use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use nettleferry_durable::{FileContents, FileSystem, RecordWriter};
use nettleferry_fleet::Millis;
use nettleferry_fleet::recovery_policy::{self, PersistedState, StoredState, Verdict};
use tracing::{info, warn};

/// A persisted file, and what it held at the start until that is read.
pub struct PersistedFile {
    /// `None`: nothing can be persisted, which was logged.
    writer: Option<RecordWriter>,
    found: FileContents,
    file: PathBuf,
    /// What the file holds, for the log.
    content: &'static str,
}

impl PersistedFile {
    /// Opens the file, and waits for its disk at most this long. `content` says in the log what the file holds.
    pub fn open(file: PathBuf, content: &'static str, timeout: Duration) -> Self {
        Self::open_with_callback(file, content, timeout, || ())
    }

    /// As [`PersistedFile::open`]; `written` is called after each write, on the writer's thread.
    pub fn open_with_callback(
        file: PathBuf,
        content: &'static str,
        timeout: Duration,
        written: impl Fn() + Send + 'static,
    ) -> Self {
        let path = file.display().to_string();
        let write_ended = move |result: io::Result<u64>| {
            if let Err(error) = result {
                warn!(file = path, content, %error, "persisting for the next start failed");
            }
            written();
        };
        let opened = RecordWriter::start(FileSystem, &file, write_ended)
            .and_then(|writer| writer.initial_contents(timeout).map(|found| (writer, found)));
        let (writer, found) = match opened {
            Ok((writer, Some(found))) => (Some(writer), found),
            Ok((writer, None)) => {
                warn!(file = %file.display(), content, "persisted file can't be read in time and is not used");
                (Some(writer), FileContents::Absent)
            }
            Err(error) => {
                warn!(file = %file.display(), content, %error, "nothing can be persisted");
                (None, FileContents::Absent)
            }
        };
        Self { writer, found, file, content }
    }

    /// What the file held at the start, where the recovery policy for `state` trusts it. `now_ms` is the time of the wall
    /// clock; `written_at` reads from the content when it was written. The content is returned once.
    pub fn read_trusted(
        &mut self,
        state: PersistedState,
        now_ms: Millis,
        written_at: impl FnOnce(&[u8]) -> Option<Millis>,
    ) -> Option<Vec<u8>> {
        let (file, content) = (self.file.display(), self.content);
        let found = std::mem::replace(&mut self.found, FileContents::Absent);
        let condition = found.as_str();
        let payload = match found {
            FileContents::Intact(record) => Some(record.payload),
            FileContents::Older { record, error } => {
                warn!(%file, content, %error, "persisted file is damaged: its previous version is read");
                Some(record.payload)
            }
            // Written by an earlier version of the program, without a checksum: its owner finds out whether it is valid.
            FileContents::Unframed(bytes) => Some(bytes),
            FileContents::Damaged(error) => {
                warn!(%file, content, %error, "persisted file is damaged");
                None
            }
            FileContents::Absent => return None,
        };
        let stored =
            StoredState { readable: payload.is_some(), saved_at_ms: payload.as_deref().and_then(written_at) };
        match recovery_policy::judge(state, &stored, now_ms) {
            Verdict::Use(trust) => info!(%file, content, condition, ?trust, "persisted file is used"),
            Verdict::Discard(reason) => {
                warn!(%file, content, condition, reason, "persisted file is not trusted");
                return None;
            }
        }
        payload
    }

    /// Logs that the content cannot be used after all.
    pub fn log_invalid(&self, error: &impl Display) {
        warn!(file = %self.file.display(), content = self.content, %error, "persisted file is invalid and is not used");
    }

    /// Submits new content for the next start; never waits for a disk. Returns the number of this write; `None`: nothing
    /// can be persisted.
    pub fn write(&self, payload: Vec<u8>) -> Option<u64> {
        self.writer.as_ref().map(|writer| writer.submit(payload))
    }

    /// The number of the last durable write.
    pub fn durable(&self) -> u64 {
        self.writer.as_ref().map_or(0, RecordWriter::durable)
    }

    /// Waits until all that was submitted is durable; `false`: not within this time. Not for a thread that answers calls.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.flush(timeout))
    }
}
