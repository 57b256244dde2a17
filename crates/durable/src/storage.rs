//! The file operations that [`crate::RecordFile`] needs, and their implementation by the operating system.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::record::MAX_PAYLOAD_BYTES;

/// File operations by path. Every operation may block on the disk.
pub trait Storage: Send {
    /// Reads a whole file. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the file can't be read.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Creates or overwrites a file and syncs its content. Its directory entry becomes durable only with
    /// [`Storage::sync_directory`].
    ///
    /// # Errors
    /// Returns an error if the file can't be written. A part of it may exist then.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file, which replaces an existing file of the new name.
    ///
    /// # Errors
    /// Returns `NotFound` if the file does not exist, or the error of the operating system.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Syncs the directory of this file, so that files created and renamed in it survive a power loss.
    ///
    /// # Errors
    /// Returns an error if the directory can't be synced.
    fn sync_directory(&mut self, path: &Path) -> io::Result<()>;
}

/// Number of bytes that are read beyond the maximum payload. Larger than any header.
const HEADER_ALLOWANCE_BYTES: u64 = 4096;

/// [`Storage`] in the file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        // A file beyond the bound is not read completely: its length alone shows that it is damaged.
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

    fn sync_directory(&mut self, path: &Path) -> io::Result<()> {
        let directory =
            path.parent().filter(|p| !p.as_os_str().is_empty()).map_or(PathBuf::from("."), Path::to_owned);
        File::open(directory)?.sync_all()
    }
}
