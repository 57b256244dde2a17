//! A kept file of the program: read and written by a writer's thread, believed by the table of trust. Who keeps
//! something decides neither how it survives a loss of power nor how far it is believed after one.

use std::path::PathBuf;
use std::time::Duration;

use nettleferry_durable::{FileSystem, Found, RecordWriter};
use nettleferry_fleet::Millis;
use nettleferry_fleet::recovery_policy::{self, PersistedState, StoredState, Verdict};
use tracing::{info, warn};

/// A kept file, and what it held at the start until that is taken.
pub struct Kept {
    /// `None`: it can't be kept, which was said.
    writer: Option<RecordWriter>,
    found: Found,
    file: PathBuf,
    what: &'static str,
}

impl Kept {
    /// Opens it; its disk is waited for so long and no longer. `what`: its name in the log.
    pub fn open(file: PathBuf, what: &'static str, most: Duration) -> Self {
        Self::open_and_tell(file, what, most, || ())
    }

    /// The same; `written` is called after each write, on the writer's thread.
    pub fn open_and_tell(
        file: PathBuf,
        what: &'static str,
        most: Duration,
        written: impl Fn() + Send + 'static,
    ) -> Self {
        let shown = file.display().to_string();
        let told = move |result: std::io::Result<u64>| {
            if let Err(error) = result {
                warn!(file = shown, %error, "the {what} can't be kept for the next start");
            }
            written();
        };
        let opened = RecordWriter::start(FileSystem, &file, told)
            .and_then(|writer| writer.found(most).map(|found| (writer, found)));
        let (writer, found) = match opened {
            Ok((writer, Some(found))) => (Some(writer), found),
            Ok((writer, None)) => {
                warn!(file = %file.display(), "the kept {what} can't be read in time and is not used");
                (Some(writer), Found::Absent)
            }
            Err(error) => {
                warn!(file = %file.display(), %error, "the {what} can't be kept");
                (None, Found::Absent)
            }
        };
        Self { writer, found, file, what }
    }

    /// What was kept, where it is believed at this time of the wall clock; `at`: when it was kept, by its own word.
    /// To be asked once.
    pub fn take(
        &mut self,
        thing: PersistedState,
        now_ms: Millis,
        at: impl FnOnce(&[u8]) -> Option<Millis>,
    ) -> Option<Vec<u8>> {
        let (file, what) = (self.file.display(), self.what);
        let found = std::mem::replace(&mut self.found, Found::Absent);
        let word = found.as_str();
        let payload = match found {
            Found::Intact(record) => Some(record.payload),
            Found::Older { record, error: flaw } => {
                warn!(%file, %flaw, "the kept {what} is damaged: the one before it is looked at");
                Some(record.payload)
            }
            // Of an earlier version of the program: whole or not, its owner finds out.
            Found::Unframed(bytes) => Some(bytes),
            Found::Damaged(flaw) => {
                warn!(%file, %flaw, "the kept {what} is damaged");
                None
            }
            Found::Absent => return None,
        };
        let held = StoredState { readable: payload.is_some(), saved_at_ms: payload.as_deref().and_then(at) };
        match recovery_policy::judge(thing, &held, now_ms) {
            Verdict::Use(belief) => info!(%file, word, ?belief, "the kept {what} is looked at"),
            Verdict::Discard(why) => {
                warn!(%file, word, why, "the kept {what} is not believed");
                return None;
            }
        }
        payload
    }

    /// What can't be used after all, for the log.
    pub fn unusable(&self, why: &impl std::fmt::Display) {
        let (file, what) = (self.file.display(), self.what);
        warn!(%file, %why, "the kept {what} is not sound and is not used");
    }

    /// Keeps this for the next start. Never waits for a disk. Which put this is; 0: it can't be kept.
    pub fn put(&self, payload: Vec<u8>) -> u64 {
        self.writer.as_ref().map_or(0, |writer| writer.submit(payload))
    }

    /// The last put that is durable.
    pub fn durable(&self) -> u64 {
        self.writer.as_ref().map_or(0, RecordWriter::durable)
    }

    /// Waits until all that was put is durable, or the span is over: false. Not for a thread that answers calls.
    pub fn settle(&self, most: Duration) -> bool {
        self.writer.as_ref().is_some_and(|writer| writer.flush(most))
    }
}
