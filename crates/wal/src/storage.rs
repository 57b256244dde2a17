//! The file operations that the log needs.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// Files by number.
pub trait SegmentStorage {
    /// Numbers of the files that are there, in order.
    fn list(&self) -> io::Result<Vec<u64>>;
    /// All bytes of a file.
    fn read(&self, number: u64) -> io::Result<Vec<u8>>;
    /// Adds bytes to the end of a file, which is made where it is not there.
    fn append(&mut self, number: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to a length.
    fn cut(&mut self, number: u64, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, number: u64) -> io::Result<()>;
    /// What was added to a file is durable after this.
    fn sync(&mut self, number: u64) -> io::Result<()>;
}

/// Files `NUMBER.spool` of a folder. The last one written is kept open.
pub struct DirectoryStorage {
    folder: PathBuf,
    open: Option<(u64, File)>,
}

impl DirectoryStorage {
    /// A folder, made where it is not there.
    pub fn open(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        Ok(Self { folder, open: None })
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{number:020}.spool"))
    }

    fn file(&mut self, number: u64) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(n, _)| *n != number) {
            let file = OpenOptions::new().create(true).append(true).open(self.path(number))?;
            self.open = Some((number, file));
        }
        self.open.as_mut().map(|(_, file)| file).ok_or_else(|| io::Error::other("the file was just opened"))
    }
}

impl SegmentStorage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name();
            // Other files are not ours.
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

    fn cut(&mut self, number: u64, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(number))?.set_len(length)
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(n, _)| *n == number) {
            self.open = None;
        }
        fs::remove_file(self.path(number))
    }

    fn sync(&mut self, number: u64) -> io::Result<()> {
        self.file(number)?.sync_data()
    }
}

/// Files in memory, for tests: with a room, and a will to fail.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    /// Files.
    pub files: BTreeMap<u64, Vec<u8>>,
    /// Bytes that fit in all; none: any. What does not fit is written in part, as disks do.
    pub room: Option<usize>,
    /// Every change fails.
    pub read_only: bool,
}

impl MemoryStorage {
    fn may(&self) -> io::Result<()> {
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
        self.may()?;
        let used: usize = self.files.values().map(Vec::len).sum();
        let fits = self.room.map_or(bytes.len(), |room| room.saturating_sub(used).min(bytes.len()));
        self.files.entry(number).or_default().extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn cut(&mut self, number: u64, length: u64) -> io::Result<()> {
        self.may()?;
        let file = self.files.get_mut(&number).ok_or(io::ErrorKind::NotFound)?;
        file.truncate(length as usize);
        Ok(())
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        self.may()?;
        self.files.remove(&number);
        Ok(())
    }

    fn sync(&mut self, _: u64) -> io::Result<()> {
        self.may()
    }
}
