//! The file operations that the log needs, with implementations for a directory and for tests in memory.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// Storage of segment files, which are identified by numbers.
pub trait SegmentStorage {
    /// The numbers of all files, in ascending order.
    fn list(&self) -> io::Result<Vec<u64>>;
    /// Reads a whole file.
    fn read(&self, number: u64) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created if it does not exist. On an error, a part of the bytes may
    /// have been written.
    fn append(&mut self, number: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length.
    fn truncate(&mut self, number: u64, length: u64) -> io::Result<()>;
    /// Removes a file with all its records.
    fn remove(&mut self, number: u64) -> io::Result<()>;
    /// Makes all appended bytes of a file durable.
    fn sync(&mut self, number: u64) -> io::Result<()>;
}

/// A segment file that is open for appending.
struct OpenFile {
    number: u64,
    file: File,
}

/// Stores segments as the files `NUMBER.spool` of a directory. The file that was written last stays open. The
/// directory itself is not synced.
pub struct DirectoryStorage {
    directory: PathBuf,
    open: Option<OpenFile>,
}

impl DirectoryStorage {
    /// Opens a directory, which is created if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the directory can't be created.
    pub fn open(directory: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&directory)?;
        Ok(Self { directory, open: None })
    }

    fn path(&self, number: u64) -> PathBuf {
        self.directory.join(format!("{number:020}.spool"))
    }

    /// The file of a segment, which is opened for appending unless it is open already.
    fn file(&mut self, number: u64) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|open| open.number != number) {
            let file = OpenOptions::new().create(true).append(true).open(self.path(number))?;
            self.open = Some(OpenFile { number, file });
        }
        self.open
            .as_mut()
            .map(|open| &mut open.file)
            .ok_or_else(|| io::Error::other(format!("segment file {number} is not open")))
    }
}

impl SegmentStorage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let name = entry?.file_name();
            // Files with other names are not segments.
            let number: Option<u64> =
                name.to_str().and_then(|n| n.strip_suffix(".spool")).and_then(|n| n.parse().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn read(&self, number: u64) -> io::Result<Vec<u8>> {
        fs::read(self.path(number))
    }

    fn append(&mut self, number: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(number)?.write_all(bytes)
    }

    fn truncate(&mut self, number: u64, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(number))?.set_len(length)
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|open| open.number == number) {
            self.open = None;
        }
        fs::remove_file(self.path(number))
    }

    fn sync(&mut self, number: u64) -> io::Result<()> {
        self.file(number)?.sync_data()
    }
}

/// Storage in memory for tests, which can simulate a full or read-only disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    /// The content of each file, by number.
    pub files: BTreeMap<u64, Vec<u8>>,
    /// Maximum bytes of all files together; `None` for no limit. An append that does not fit is written in
    /// part, as on a real disk.
    pub capacity: Option<usize>,
    /// Whether all operations that change a file fail.
    pub read_only: bool,
}

impl MemoryStorage {
    fn check_writable(&self) -> io::Result<()> {
        if self.read_only { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(()) }
    }
}

impl SegmentStorage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<u64>> {
        Ok(self.files.keys().copied().collect())
    }

    fn read(&self, number: u64) -> io::Result<Vec<u8>> {
        self.files.get(&number).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, number: u64, bytes: &[u8]) -> io::Result<()> {
        self.check_writable()?;
        let used: usize = self.files.values().map(Vec::len).sum();
        let fits =
            self.capacity.map_or(bytes.len(), |capacity| capacity.saturating_sub(used).min(bytes.len()));
        self.files.entry(number).or_default().extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, number: u64, length: u64) -> io::Result<()> {
        self.check_writable()?;
        let file = self.files.get_mut(&number).ok_or(io::ErrorKind::NotFound)?;
        file.truncate(length as usize);
        Ok(())
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        self.check_writable()?;
        self.files.remove(&number);
        Ok(())
    }

    fn sync(&mut self, _: u64) -> io::Result<()> {
        self.check_writable()
    }
}
