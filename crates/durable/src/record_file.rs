//! One place: a record, and the good one before beside it.
//!
//! A write makes `NAME.new` durable, moves a good `NAME` to `NAME.before`, `NAME.new` to `NAME`, and makes the
//! names durable. Whatever of it a loss of power leaves, one whole version is there: the last that was
//! acknowledged, or the one that was being written.

use std::io;
use std::path::{Path, PathBuf};

use crate::record::{MAX_BYTES, Record, RecordError, decode, encode};
use crate::storage::Storage;

/// What a place holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The newest version.
    Intact(Record),
    /// The newest can't be used; this is the one before it.
    Older {
        /// The one before.
        record: Record,
        /// What is wrong with the newest.
        error: RecordError,
    },
    /// It was written without a encode, by an earlier version of the program: whole or not, nobody knows.
    Unframed(Vec<u8>),
    /// Something is there and nothing of it can be used.
    Damaged(RecordError),
    /// Nothing was kept.
    Absent,
}

impl Found {
    /// A word for logs and figures.
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

/// A place for a record.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    new: PathBuf,
    before: PathBuf,
    version: u64,
    /// What stands under the name is good, and worth keeping beside the next.
    good: bool,
    /// Nothing stands under the name, and the only good version under this one.
    stray: Option<PathBuf>,
}

impl RecordFile {
    /// A place, with what it holds.
    pub fn open(files: &impl Storage, path: &Path) -> io::Result<(Self, Found)> {
        let beside = |word: &str| {
            let mut name = path.file_name().unwrap_or_default().to_owned();
            name.push(word);
            path.with_file_name(name)
        };
        let (new, before) = (beside(".new"), beside(".before"));
        let look = |path: &Path| files.read(path).map(|bytes| bytes.map(|b| (decode(&b), b)));
        let mut stray = None;
        let found = match look(path)? {
            Some((Ok(record), _)) => Found::Intact(record),
            Some((Err(RecordError::Unframed), bytes)) => Found::Unframed(bytes),
            Some((Err(flaw), _)) => match look(&before)? {
                Some((Ok(record), _)) => Found::Older { record, error: flaw },
                _ => Found::Damaged(flaw),
            },
            // The power went between the two renames: what was written last is durable under its first name.
            None => match (look(&new)?, look(&before)?) {
                (Some((Ok(record), _)), _) => {
                    stray = Some(new.clone());
                    Found::Intact(record)
                }
                (_, Some((Ok(record), _))) => {
                    stray = Some(before.clone());
                    Found::Intact(record)
                }
                (_, Some((Err(flaw), _))) => Found::Damaged(flaw),
                // A first write that never came to its end was never acknowledged.
                (_, None) => Found::Absent,
            },
        };
        let version = match &found {
            Found::Intact(record) => record.version,
            // The damaged one may have been the next.
            Found::Older { record, .. } => record.version + 1,
            _ => 0,
        };
        let good = matches!(found, Found::Intact(_) | Found::Unframed(_));
        Ok((Self { path: path.to_owned(), new, before, version, good, stray }, found))
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the next version; it is durable when this returns.
    pub fn write(&mut self, files: &mut impl Storage, payload: &[u8]) -> io::Result<u64> {
        if payload.len() > MAX_BYTES {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, "a record is longer than is kept"));
        }
        let version = self.version + 1;
        if let Some(stray) = &self.stray {
            // The next write would begin over it, or leave it for the second place.
            files.rename(stray, &self.path)?;
            files.sync_names(&self.path)?;
            self.stray = None;
        }
        files.write(&self.new, &encode(version, payload))?;
        if self.good {
            match files.rename(&self.path, &self.before) {
                // It has its name still under `.new` or `.before`: nothing good is lost.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                result => result?,
            }
        }
        files.rename(&self.new, &self.path)?;
        files.sync_names(&self.path)?;
        (self.version, self.good) = (version, true);
        Ok(version)
    }
}
