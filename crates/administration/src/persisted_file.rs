//! A file that is persisted for the next start: written on a separate thread, and read at the start if the recovery
//! policy trusts its content. `nettleferry_durable` makes the writes survive a power failure; the recovery policy is in
//! `nettleferry_fleet`.

use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use nettleferry_durable::{FileContents, FileSystem, RecordWriter};
use nettleferry_fleet::Millis;
use nettleferry_fleet::recovery_policy::{self, PersistedState, StoredState, Verdict};
use tracing::{info, warn};

/// A persisted file and the handle to its writer.
pub struct PersistedFile {
    /// `None` if the file could not be opened, which was logged; nothing is persisted then.
    writer: Option<RecordWriter>,
    /// The content at the start, until [`PersistedFile::read_trusted`] returns it.
    found: FileContents,
    file: PathBuf,
    /// A name for the content, for log messages.
    content: &'static str,
}

impl PersistedFile {
    /// Opens the file, and waits up to `timeout` for its content to be read. `content` names the content in log
    /// messages. Failures are logged: a file that cannot be read in time counts as absent, and one that cannot be
    /// opened is never written.
    pub fn open(file: PathBuf, content: &'static str, timeout: Duration) -> Self {
        Self::open_with_callback(file, content, timeout, || ())
    }

    /// Like [`PersistedFile::open`]; `written` is called on the writer's thread after each write, also a failed one.
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
                warn!(file = %file.display(), content, %error, "persisted file can't be opened, nothing is persisted");
                (None, FileContents::Absent)
            }
        };
        Self { writer, found, file, content }
    }

    /// Returns the content that the file had at the start, if the recovery policy for `state` trusts it. `now_ms` is
    /// the wall-clock time; `written_at` extracts the time of writing from the content. Further calls return `None`.
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
            // Written by an earlier version of the program, without a checksum: the caller must validate the content.
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

    /// Logs that the content was returned by [`PersistedFile::read_trusted`] but could not be decoded.
    pub fn log_invalid(&self, error: &impl Display) {
        warn!(file = %self.file.display(), content = self.content, %error, "persisted file is invalid and is not used");
    }

    /// Submits new content to be written, without waiting for the disk. Returns the number of this write; `None` if the
    /// file could not be opened.
    pub fn write(&self, payload: Vec<u8>) -> Option<u64> {
        self.writer.as_ref().map(|writer| writer.submit(payload))
    }

    /// The number of the last durable write; 0 if there is none.
    pub fn durable(&self) -> u64 {
        self.writer.as_ref().map_or(0, RecordWriter::durable)
    }

    /// Blocks until all submitted content is durable; `false` if it is not within `timeout`. Must not be called on the
    /// thread that serves calls.
    pub fn flush(&self, timeout: Duration) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.flush(timeout))
    }
}
