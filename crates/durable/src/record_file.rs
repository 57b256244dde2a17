//! The file of a record, together with the previous intact version in a second file.
//!
//! A write syncs `NAME.new`, renames an intact `NAME` to `NAME.before`, renames `NAME.new` to `NAME`, and syncs the
//! directory. A power loss at any step leaves at least one complete version: the last acknowledged one, or the one that
//! was being written. The payload is opaque to this module.

use std::io;
use std::path::{Path, PathBuf};

use crate::record::{MAX_PAYLOAD_BYTES, Record, RecordError, decode, encode};
use crate::storage::Storage;

/// The content of a record's file when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileContents {
    /// The newest version is intact.
    Intact(Record),
    /// The newest version is damaged, and the previous one is intact.
    Older {
        /// The previous version.
        record: Record,
        /// Why the newest version could not be decoded.
        error: RecordError,
    },
    /// The file has no header: another program wrote it, or a version of this program from before the header
    /// was introduced. Contains the whole file, which may be incomplete.
    Unframed(Vec<u8>),
    /// Neither the newest nor the previous version can be decoded.
    Damaged(RecordError),
    /// No write has completed.
    Absent,
}

impl FileContents {
    /// Returns the name of the variant in logs and metrics.
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

/// Writes the versions of one record to its file.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    new_path: PathBuf,
    previous_path: PathBuf,
    version: u64,
    /// Whether the file at `path` is usable, so that the next write keeps it as the previous version.
    intact: bool,
    /// The file that has the newest intact version, if an interrupted write left no file at `path`.
    recovered_from: Option<PathBuf>,
}

impl RecordFile {
    /// Opens the file of a record and reads its newest usable version.
    ///
    /// # Errors
    /// Returns an error if the storage can't be read.
    pub fn open(files: &impl Storage, path: &Path) -> io::Result<(Self, FileContents)> {
        let sibling = |suffix: &str| {
            let mut name = path.file_name().unwrap_or_default().to_owned();
            name.push(suffix);
            path.with_file_name(name)
        };
        let (new_path, previous_path) = (sibling(".new"), sibling(".before"));
        let read = |path: &Path| files.read(path).map(|bytes| bytes.map(|b| (decode(&b), b)));
        let mut recovered_from = None;
        let found = match read(path)? {
            Some((Ok(record), _)) => FileContents::Intact(record),
            Some((Err(RecordError::Unframed), bytes)) => FileContents::Unframed(bytes),
            Some((Err(error), _)) => match read(&previous_path)? {
                Some((Ok(record), _)) => FileContents::Older { record, error },
                _ => FileContents::Damaged(error),
            },
            // Power was lost between the two renames, so the newest version is still in the `.new` file. If
            // that file is damaged, the `.before` file has the newest intact version.
            None => match (read(&new_path)?, read(&previous_path)?) {
                (Some((Ok(record), _)), _) => {
                    recovered_from = Some(new_path.clone());
                    FileContents::Intact(record)
                }
                (_, Some((Ok(record), _))) => {
                    recovered_from = Some(previous_path.clone());
                    FileContents::Intact(record)
                }
                (_, Some((Err(error), _))) => FileContents::Damaged(error),
                // The first write was interrupted, so it was never acknowledged.
                (_, None) => FileContents::Absent,
            },
        };
        let version = match &found {
            FileContents::Intact(record) => record.version,
            // The damaged file may have had the next version number, which is not reused.
            FileContents::Older { record, .. } => record.version + 1,
            _ => 0,
        };
        let intact = matches!(found, FileContents::Intact(_) | FileContents::Unframed(_));
        let path = path.to_owned();
        Ok((Self { path, new_path, previous_path, version, intact, recovered_from }, found))
    }

    /// Returns the path of the newest version.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes the next version and returns its number. The version is durable when this returns.
    ///
    /// # Errors
    /// Returns an error if the payload is longer than [`MAX_PAYLOAD_BYTES`] or the storage fails. The last version is
    /// kept, and the failed write uses up no version number.
    pub fn write(&mut self, files: &mut impl Storage, payload: &[u8]) -> io::Result<u64> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("the payload has {} bytes, the maximum is {MAX_PAYLOAD_BYTES}", payload.len()),
            ));
        }
        let version = self.version + 1;
        if let Some(recovered_from) = &self.recovered_from {
            // A failure below must not lose the newest version: if it is in `.new`, the write would overwrite
            // it.
            files.rename(recovered_from, &self.path)?;
            files.sync_directory(&self.path)?;
            self.recovered_from = None;
        }
        files.write(&self.new_path, &encode(version, payload))?;
        if self.intact {
            match files.rename(&self.path, &self.previous_path) {
                // No file exists at `path`, so there is no previous version to keep.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                result => result?,
            }
        }
        files.rename(&self.new_path, &self.path)?;
        files.sync_directory(&self.path)?;
        (self.version, self.intact) = (version, true);
        Ok(version)
    }
}
