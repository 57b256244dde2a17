//! One record's file, with the intact version before it beside it.
//!
//! A write makes `NAME.new` durable, moves an intact `NAME` to `NAME.before`, `NAME.new` to `NAME`, and makes the names
//! durable. Whatever of it a loss of power leaves, one complete version is there: the last that was acknowledged, or
//! the one that was being written. What the payload means is left to the caller.

use std::io;
use std::path::{Path, PathBuf};

use crate::record::{MAX_PAYLOAD_BYTES, Record, RecordError, decode, encode};
use crate::storage::Storage;

/// What a record's file contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileContents {
    /// The newest version.
    Intact(Record),
    /// The newest version is damaged; this is the one before it.
    Older {
        /// The version before.
        record: Record,
        /// What is wrong with the newest version.
        error: RecordError,
    },
    /// It has no header, as an early version of the program wrote it: whether it is complete is unknown.
    Unframed(Vec<u8>),
    /// No version of it can be used.
    Damaged(RecordError),
    /// There is none.
    Absent,
}

impl FileContents {
    /// Its name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Intact(_) => "sound",
            Self::Older { .. } => "older",
            Self::Unframed(_) => "unsealed",
            Self::Damaged(_) => "damaged",
            Self::Absent => "absent",
        }
    }
}

/// A record's file.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    new: PathBuf,
    before: PathBuf,
    version: u64,
    /// The file of this name is intact, and to be kept beside the next version.
    intact: bool,
    /// There is no file of this name, and the only intact version has this other name.
    stray: Option<PathBuf>,
}

impl RecordFile {
    /// Opens a record's file, and reads what it contains.
    ///
    /// # Errors
    /// Where the storage can't be read.
    pub fn open(files: &impl Storage, path: &Path) -> io::Result<(Self, FileContents)> {
        let beside = |suffix: &str| {
            let mut name = path.file_name().unwrap_or_default().to_owned();
            name.push(suffix);
            path.with_file_name(name)
        };
        let (new, before) = (beside(".new"), beside(".before"));
        let read = |path: &Path| files.read(path).map(|bytes| bytes.map(|b| (decode(&b), b)));
        let mut stray = None;
        let found = match read(path)? {
            Some((Ok(record), _)) => FileContents::Intact(record),
            Some((Err(RecordError::Unframed), bytes)) => FileContents::Unframed(bytes),
            Some((Err(error), _)) => match read(&before)? {
                Some((Ok(record), _)) => FileContents::Older { record, error },
                _ => FileContents::Damaged(error),
            },
            // Power was lost between the two renames: what was written last is durable under its first name.
            None => match (read(&new)?, read(&before)?) {
                (Some((Ok(record), _)), _) => {
                    stray = Some(new.clone());
                    FileContents::Intact(record)
                }
                (_, Some((Ok(record), _))) => {
                    stray = Some(before.clone());
                    FileContents::Intact(record)
                }
                (_, Some((Err(error), _))) => FileContents::Damaged(error),
                // A first write that never came to its end was never acknowledged.
                (_, None) => FileContents::Absent,
            },
        };
        let version = match &found {
            FileContents::Intact(record) => record.version,
            // The damaged one may have been the next.
            FileContents::Older { record, .. } => record.version + 1,
            _ => 0,
        };
        let intact = matches!(found, FileContents::Intact(_) | FileContents::Unframed(_));
        Ok((Self { path: path.to_owned(), new, before, version, intact, stray }, found))
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the next version; it is durable when this returns. Its version.
    ///
    /// # Errors
    /// Where the payload is longer than [`MAX_PAYLOAD_BYTES`], or the storage fails: the version before stays.
    pub fn write(&mut self, files: &mut impl Storage, payload: &[u8]) -> io::Result<u64> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "a record is longer than is kept"));
        }
        let version = self.version + 1;
        if let Some(stray) = &self.stray {
            // The next write would begin over it, or leave it as the version before.
            files.rename(stray, &self.path)?;
            files.sync_names(&self.path)?;
            self.stray = None;
        }
        files.write(&self.new, &encode(version, payload))?;
        if self.intact {
            match files.rename(&self.path, &self.before) {
                // It was never renamed from `.new` or `.before`: nothing intact is lost.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                result => result?,
            }
        }
        files.rename(&self.new, &self.path)?;
        files.sync_names(&self.path)?;
        (self.version, self.intact) = (version, true);
        Ok(version)
    }
}
