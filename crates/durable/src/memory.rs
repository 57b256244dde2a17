//! Files in memory that lose unsynced data on a simulated power loss, fill up or reject writes: for tests and
//! simulations.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use crate::storage::Storage;

/// What becomes of bytes that were not durable when power was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// None of them survive: the file is empty.
    Lost,
    /// The first half survives.
    Torn,
    /// All of them survive.
    Survived,
}

#[derive(Clone, Debug)]
enum NameChange {
    Created(PathBuf, Vec<u8>),
    Renamed(PathBuf, PathBuf),
}

/// The files. Names change in order, and the changes since the last sync may be lost from the end.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    durable: BTreeMap<PathBuf, Vec<u8>>,
    /// Changes since names were last made durable.
    pending: Vec<NameChange>,
    /// Operations that still succeed; power is lost at the next. `None`: it stays.
    pub operations_left: Option<usize>,
    /// Nothing can be changed.
    pub read_only: bool,
    /// Bytes that fit in one file.
    pub capacity: Option<usize>,
    /// The write that was interrupted by the loss of power.
    interrupted: Option<(PathBuf, Vec<u8>)>,
}

impl MemoryStorage {
    /// The files as they are seen before a loss of power.
    fn visible(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        let mut files = self.durable.clone();
        self.pending.iter().for_each(|change| apply(&mut files, change));
        files
    }

    /// How many changes of names are not durable.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The files as they are found after a loss of power, which the first `names` of the pending changes survive.
    pub fn lose_power(&self, names: usize, loss: Loss) -> Self {
        let mut files = self.durable.clone();
        self.pending.iter().take(names).for_each(|change| apply(&mut files, change));
        if let Some((path, bytes)) = self.interrupted.as_ref().filter(|_| names >= self.pending.len()) {
            let survived = match loss {
                Loss::Lost => Vec::new(),
                Loss::Torn => bytes[..bytes.len() / 2].to_vec(),
                Loss::Survived => bytes.clone(),
            };
            files.insert(path.clone(), survived);
        }
        Self { durable: files, ..Self::default() }
    }

    /// Replaces a file from outside, durably.
    pub fn put(&mut self, path: &Path, bytes: &[u8]) {
        self.durable.insert(path.to_owned(), bytes.to_vec());
    }

    /// Counts one operation; fails where power is lost or nothing can be written.
    fn begin_operation(&mut self) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("the power is gone")),
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

    fn sync_names(&mut self, _: &Path) -> io::Result<()> {
        self.begin_operation()?;
        self.durable = self.visible();
        self.pending.clear();
        Ok(())
    }
}
