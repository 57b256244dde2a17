//! What a keep wants of a file system.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use crate::record::MAX_BYTES;

/// Storage by path. Each call may wait for the disk.
pub trait Storage: Send {
    /// All bytes of a file; `None`: there is none.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Writes a file whole; its content is durable after this, its name need not be.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Gives a file another name, in place of what had it.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// The names in the folder of this file are durable after this.
    fn sync_names(&mut self, path: &Path) -> io::Result<()>;
}

/// The system's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        // A file that has grown out of all bounds is not read into memory: its length tells that it is damaged.
        let mut bytes = Vec::new();
        file.take(MAX_BYTES as u64 + 4096).read_to_end(&mut bytes)?;
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
        let folder =
            path.parent().filter(|p| !p.as_os_str().is_empty()).map_or(PathBuf::from("."), Path::to_owned);
        File::open(folder)?.sync_all()
    }
}
