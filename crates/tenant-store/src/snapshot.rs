//! Snapshot files: the content of a store as text. A file has a header line, a line for each tenant, a line for each
//! entry of the audit trail, and a footer line with the CRC-32 of all lines before it.
//!
//! A snapshot is written to a temporary file, which is synced and then renamed, so that a crash never leaves a partial
//! snapshot under the final name.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use nettleferry_tenancy::{Entry, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};

use crate::origin::Origin;

/// The format version of the files that are written. Files of other versions are rejected.
const FORMAT: u32 = 1;
/// The kind in the header, which distinguishes snapshots from other files.
const KIND: &str = "nettleferry-tenants";

/// The content of a store, apart from the responses stored under idempotency keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The revision of the last change.
    pub revision: Revision,
    /// The tenants, in the order of their names.
    pub tenants: Vec<Tenant>,
    /// The entries of the audit trail, in the order of their revisions. The earliest entries, or all, may be missing.
    pub audit: Vec<Entry>,
    /// The store that the snapshot was made of. `None` in files written before stores had names.
    pub origin: Option<Origin>,
}

/// Why a snapshot file can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// Reading or writing the file failed.
    #[error("the snapshot {path} can't be read or written: {source}")]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The file is incomplete, damaged, or not a snapshot of the supported format.
    #[error("the snapshot {path}, line {line}: {reason}")]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The number of the invalid line, from 1.
        line: usize,
        /// Why the line, or the file as a whole, is invalid.
        reason: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Header {
    kind: String,
    format: u32,
    revision: Revision,
    tenants: usize,
    audit: usize,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    origin: Option<Origin>,
}

#[derive(Serialize, Deserialize)]
struct Footer {
    crc32: u32,
}

impl Snapshot {
    /// Makes a snapshot without an audit trail, which suffices for a controller to continue after a restart.
    pub fn from_tenants(snapshot: &TenantSnapshot, origin: Option<Origin>) -> Self {
        let tenants = snapshot.tenants().cloned().collect();
        Self { revision: snapshot.revision(), tenants, audit: Vec::new(), origin }
    }

    /// The tenants at the snapshot's revision.
    pub fn tenant_snapshot(&self) -> TenantSnapshot {
        TenantSnapshot::from_tenants(self.revision, self.tenants.iter().cloned())
    }

    /// Writes the snapshot to a file, replacing an existing one. The file is durable once this has returned.
    ///
    /// # Errors
    /// Returns an error if a file can't be written, renamed or synced. The file at `path` then has either its
    /// previous content or the complete new one.
    pub fn write(&self, path: &Path) -> Result<(), SnapshotError> {
        let io_error = |source| SnapshotError::Io { path: path.to_owned(), source };
        let (tenants, audit) = (self.tenants.len(), self.audit.len());
        let (kind, origin) = (KIND.to_owned(), self.origin.clone());
        let header = Header { kind, format: FORMAT, revision: self.revision, tenants, audit, origin };
        let mut text = json_line(&header).map_err(io_error)?;
        for tenant in &self.tenants {
            text.push_str(&json_line(tenant).map_err(io_error)?);
        }
        for entry in &self.audit {
            text.push_str(&json_line(entry).map_err(io_error)?);
        }
        let footer = json_line(&Footer { crc32: crc32fast::hash(text.as_bytes()) }).map_err(io_error)?;
        text.push_str(&footer);
        let temporary = path.with_extension("new");
        let mut file = File::create(&temporary).map_err(io_error)?;
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(io_error)?;
        fs::rename(&temporary, path).map_err(io_error)?;
        // The rename is durable only once the directory is synced.
        let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory).and_then(|directory| directory.sync_all()).map_err(io_error)
    }

    /// Reads a snapshot file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, is incomplete, does not match its checksum, or has another format.
    pub fn read(path: &Path) -> Result<Self, SnapshotError> {
        let text =
            fs::read_to_string(path).map_err(|source| SnapshotError::Io { path: path.to_owned(), source })?;
        let invalid = |index: usize, reason: String| SnapshotError::Invalid {
            path: path.to_owned(),
            line: index + 1,
            reason,
        };
        let lines: Vec<&str> = text.lines().collect();
        let Some((footer, body)) = lines.split_last() else {
            return Err(invalid(0, "the file is empty".to_owned()));
        };
        let footer_index = lines.len() - 1;
        let checksum: Footer = serde_json::from_str(footer).map_err(|_| {
            invalid(footer_index, "the last line is not a checksum: the file is cut off".to_owned())
        })?;
        let checked_bytes = text.len() - footer.len() - usize::from(text.ends_with('\n'));
        if crc32fast::hash(&text.as_bytes()[..checked_bytes]) != checksum.crc32 {
            return Err(invalid(
                footer_index,
                "the checksum does not match: the file was changed or damaged".to_owned(),
            ));
        }
        let body_line = |index: usize| body.get(index).copied().unwrap_or("");
        let header: Header = serde_json::from_str(body_line(0)).map_err(|e| invalid(0, e.to_string()))?;
        if header.kind != KIND || header.format != FORMAT {
            return Err(invalid(
                0,
                format!(
                    "the file is {} of format {}, expected {KIND} of format {FORMAT}",
                    header.kind, header.format
                ),
            ));
        }
        if body.len() != 1 + header.tenants + header.audit {
            return Err(invalid(
                footer_index,
                format!(
                    "{} lines before the checksum, expected {}",
                    body.len(),
                    1 + header.tenants + header.audit
                ),
            ));
        }
        let (mut tenants, mut audit) = (Vec::new(), Vec::new());
        for index in 1..=header.tenants {
            tenants.push(serde_json::from_str(body_line(index)).map_err(|e| invalid(index, e.to_string()))?);
        }
        for index in header.tenants + 1..body.len() {
            audit.push(serde_json::from_str(body_line(index)).map_err(|e| invalid(index, e.to_string()))?);
        }
        Ok(Self { revision: header.revision, tenants, audit, origin: header.origin })
    }
}

/// Serializes a value as one line of JSON, with its line break.
fn json_line(value: &impl Serialize) -> io::Result<String> {
    let mut line = serde_json::to_string(value)?;
    line.push('\n');
    Ok(line)
}
