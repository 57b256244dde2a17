//! An in-memory [`Storage`] for tests and simulations. It can lose unsynced data in a simulated power loss, run out of
//! space or reject writes.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use crate::storage::Storage;

/// The part of an interrupted write that survives a simulated power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No byte survives: the file is empty.
    Lost,
    /// The first half of the bytes survives.
    Torn,
    /// All bytes survive.
    Survived,
}

/// A change of a directory entry. It may be lost in a power loss until the directory is synced.
#[derive(Clone, Debug)]
enum NameChange {
    Created(PathBuf, Vec<u8>),
    Renamed(PathBuf, PathBuf),
}

/// Files in memory, with the durable state and the unsynced changes kept apart. A power loss keeps a prefix of the
/// unsynced changes.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    durable: BTreeMap<PathBuf, Vec<u8>>,
    /// Changes of directory entries since the last [`Storage::sync_directory`], in order.
    pending: Vec<NameChange>,
    /// Number of further writes, renames and syncs that succeed before power is lost. `None` for no power
    /// loss.
    pub operations_left: Option<usize>,
    /// Whether every operation that changes a file fails.
    pub read_only: bool,
    /// Maximum size of a file in bytes; `None` for no maximum.
    pub capacity: Option<usize>,
    /// Path and content of the last write that the power loss interrupted.
    interrupted: Option<(PathBuf, Vec<u8>)>,
}

impl MemoryStorage {
    /// Returns the files as a running program sees them, with all pending changes applied.
    fn visible(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        let mut files = self.durable.clone();
        self.pending.iter().for_each(|change| apply(&mut files, change));
        files
    }

    /// Returns the number of changes of directory entries that are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the storage as it is after a power loss. The first `surviving` pending changes survive. If
    /// these are all, `loss` determines the content of a write that was in progress. Otherwise that write has
    /// no effect.
    pub fn lose_power(&self, surviving: usize, loss: Loss) -> Self {
        let mut files = self.durable.clone();
        self.pending.iter().take(surviving).for_each(|change| apply(&mut files, change));
        if let Some((path, bytes)) = self.interrupted.as_ref().filter(|_| surviving >= self.pending.len()) {
            let survived = match loss {
                Loss::Lost => Vec::new(),
                Loss::Torn => bytes[..bytes.len() / 2].to_vec(),
                Loss::Survived => bytes.clone(),
            };
            files.insert(path.clone(), survived);
        }
        Self { durable: files, ..Self::default() }
    }

    /// Replaces the durable content of a file without a write operation, for example to damage it in a test.
    pub fn put(&mut self, path: &Path, bytes: &[u8]) {
        self.durable.insert(path.to_owned(), bytes.to_vec());
    }

    /// Counts one operation against [`MemoryStorage::operations_left`]. Fails if power is lost or the storage is
    /// read-only.
    fn begin_operation(&mut self) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("simulated power loss")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

fn apply(files: &mut BTreeMap<PathBuf, Vec<u8>>, change: &NameChange) {
    match change {
        NameChange::Created(path, bytes) => {
            files.insert(path.clone(), bytes.clone());
        }
        NameChange::Renamed(from, to) => {
            if let Some(bytes) = files.remove(from) {
                files.insert(to.clone(), bytes);
            }
        }
    }
}

impl Storage for MemoryStorage {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.visible().get(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.begin_operation() {
            if !self.read_only {
                self.interrupted = Some((path.to_owned(), bytes.to_vec()));
            }
            return Err(error);
        }
        if self.capacity.is_some_and(|capacity| bytes.len() > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.pending.push(NameChange::Created(path.to_owned(), bytes.to_vec()));
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.begin_operation()?;
        if !self.visible().contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.pending.push(NameChange::Renamed(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_directory(&mut self, _: &Path) -> io::Result<()> {
        self.begin_operation()?;
        self.durable = self.visible();
        self.pending.clear();
        Ok(())
    }
}
