//! A disk in memory that can lose power, fill up, refuse, or stand still: for tests and simulations.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use crate::storage::Storage;

/// What becomes of bytes that were not durable when the power went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// None of them are there: the file is empty.
    Lost,
    /// The first half.
    Torn,
    /// They were on the disk all the same.
    Survived,
}

#[derive(Clone, Debug)]
enum Naming {
    Made(PathBuf, Vec<u8>),
    Moved(PathBuf, PathBuf),
}

/// The disk. Names change in order, and the changes since the last sync may be lost from the end.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    durable: BTreeMap<PathBuf, Vec<u8>>,
    /// Since names were last made durable.
    pending: Vec<Naming>,
    /// Steps that still succeed; the power goes at the next. `None`: it stays.
    pub steps_left: Option<usize>,
    /// Nothing can be changed.
    pub read_only: bool,
    /// Bytes that fit in one file.
    pub capacity: Option<usize>,
    /// Bytes of a write that the power cut through.
    cut: Option<(PathBuf, Vec<u8>)>,
}

impl MemoryStorage {
    /// What is seen while the power is on.
    fn seen(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        let mut files = self.durable.clone();
        self.pending.iter().for_each(|step| apply(&mut files, step));
        files
    }

    /// Changes of names that are not durable.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The disk as it is found after the power went: the first `names` of the pending changes have lasted.
    pub fn lose_power(&self, names: usize, loss: Loss) -> Self {
        let mut files = self.durable.clone();
        self.pending.iter().take(names).for_each(|step| apply(&mut files, step));
        if let Some((path, bytes)) = self.cut.as_ref().filter(|_| names >= self.pending.len()) {
            let kept = match loss {
                Loss::Lost => Vec::new(),
                Loss::Torn => bytes[..bytes.len() / 2].to_vec(),
                Loss::Survived => bytes.clone(),
            };
            files.insert(path.clone(), kept);
        }
        Self { durable: files, ..Self::default() }
    }

    /// Puts a file there, as another hand would.
    pub fn put(&mut self, path: &Path, bytes: &[u8]) {
        self.durable.insert(path.to_owned(), bytes.to_vec());
    }

    fn step(&mut self) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut self.steps_left {
            Some(0) => Err(io::Error::other("the power is gone")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

fn apply(files: &mut BTreeMap<PathBuf, Vec<u8>>, step: &Naming) {
    match step {
        Naming::Made(path, bytes) => {
            files.insert(path.clone(), bytes.clone());
        }
        Naming::Moved(from, to) => {
            if let Some(bytes) = files.remove(from) {
                files.insert(to.clone(), bytes);
            }
        }
    }
}

impl Storage for MemoryStorage {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        Ok(self.seen().get(path).cloned())
    }

    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.step() {
            if !self.read_only {
                self.cut = Some((path.to_owned(), bytes.to_vec()));
            }
            return Err(error);
        }
        if self.capacity.is_some_and(|room| bytes.len() > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.pending.push(Naming::Made(path.to_owned(), bytes.to_vec()));
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.step()?;
        if !self.seen().contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.pending.push(Naming::Moved(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn sync_names(&mut self, _: &Path) -> io::Result<()> {
        self.step()?;
        self.durable = self.seen();
        self.pending.clear();
        Ok(())
    }
}
