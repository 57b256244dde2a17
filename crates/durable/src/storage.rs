//! The file operations that a record's file needs. Which files there are is left to [`crate::RecordFile`].

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::record::MAX_PAYLOAD_BYTES;

/// Files by path. Each call may wait for the disk.
pub trait Storage: Send {
    /// All bytes of a file; `None`: there is none.
    ///
    /// # Errors
    /// Where it can't be read.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Writes a complete file; its content is durable after this, its name need not be.
    ///
    /// # Errors
    /// Where it can't be written; parts of it may be there.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file, and replaces what has the new name.
    ///
    /// # Errors
    /// `NotFound` where there is no such file, or why it can't be renamed.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the names in this file's directory durable.
    ///
    /// # Errors
    /// Where the directory can't be synced.
    fn sync_names(&mut self, path: &Path) -> io::Result<()>;
}

/// Bytes beyond the longest payload that are read of a file: more than any header.
const HEADER_ALLOWANCE_BYTES: u64 = 4096;

/// The operating system's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        // A file far beyond the bound is not read into memory: its length already shows that it is damaged.
        let mut bytes = Vec::new();
        file.take(MAX_PAYLOAD_BYTES as u64 + HEADER_ALLOWANCE_BYTES).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_names(&mut self, path: &Path) -> io::Result<()> {
        let directory =
            path.parent().filter(|p| !p.as_os_str().is_empty()).map_or(PathBuf::from("."), Path::to_owned);
        File::open(directory)?.sync_all()
    }
}
