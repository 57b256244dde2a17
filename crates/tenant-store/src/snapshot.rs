//! All of a store as one text file: a line of head, a line a tenant, a line an entry of the audit trail, and a
//! last line with the checksum of those before. Written beside, synced, renamed: there is never half a snapshot
//! under its name.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use nettleferry_tenancy::{Entry, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};

use crate::origin::Origin;

/// The format that is written.
const FORMAT: u32 = 1;
const KIND: &str = "nettleferry-tenants";

/// What a store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The last revision.
    pub revision: Revision,
    /// Tenants by name.
    pub tenants: Vec<Tenant>,
    /// The audit trail, or its end.
    pub audit: Vec<Entry>,
    /// The store it is of; snapshots of earlier versions do not tell.
    pub origin: Option<Origin>,
}

/// Why a snapshot can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The file can't be read or written.
    #[error("the snapshot {path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It is not what was written.
    #[error("the snapshot {path}, line {line}: {what}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        what: String,
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
    /// A book without its audit trail: what a controller needs to go on.
    pub fn from_tenants(book: &TenantSnapshot, origin: Option<Origin>) -> Self {
        let tenants = book.tenants().cloned().collect();
        Self { revision: book.revision(), tenants, audit: Vec::new(), origin }
    }

    /// As a book.
    pub fn tenant_snapshot(&self) -> TenantSnapshot {
        TenantSnapshot::from_tenants(self.revision, self.tenants.iter().cloned())
    }

    /// Writes it.
    pub fn write(&self, path: &Path) -> Result<(), SnapshotError> {
        let io = |source| SnapshotError::Io { path: path.to_owned(), source };
        let (tenants, audit) = (self.tenants.len(), self.audit.len());
        let (kind, origin) = (KIND.to_owned(), self.origin.clone());
        let head = Header { kind, format: FORMAT, revision: self.revision, tenants, audit, origin };
        let mut text = line(&head).map_err(io)?;
        for tenant in &self.tenants {
            text.push_str(&line(tenant).map_err(io)?);
        }
        for entry in &self.audit {
            text.push_str(&line(entry).map_err(io)?);
        }
        let foot = line(&Footer { crc32: crc32fast::hash(text.as_bytes()) }).map_err(io)?;
        text.push_str(&foot);
        let beside = path.with_extension("new");
        let mut file = File::create(&beside).map_err(io)?;
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(io)?;
        fs::rename(&beside, path).map_err(io)?;
        // The name is durable when its folder is.
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(io)
    }

    /// Reads one.
    pub fn read(path: &Path) -> Result<Self, SnapshotError> {
        let text =
            fs::read_to_string(path).map_err(|source| SnapshotError::Io { path: path.to_owned(), source })?;
        let unsound = |line: usize, what: String| SnapshotError::Invalid {
            path: path.to_owned(),
            line: line + 1,
            what,
        };
        let lines: Vec<&str> = text.lines().collect();
        let Some((foot, body)) = lines.split_last() else { return Err(unsound(0, "it is empty".to_owned())) };
        let end = lines.len() - 1;
        let sum: Footer = serde_json::from_str(foot)
            .map_err(|_| unsound(end, "the last line is no checksum: the file is cut off".to_owned()))?;
        let summed = text.len() - foot.len() - usize::from(text.ends_with('\n'));
        if crc32fast::hash(&text.as_bytes()[..summed]) != sum.crc32 {
            return Err(unsound(end, "the checksum is another: the file was changed or damaged".to_owned()));
        }
        let read = |at: usize| body.get(at).copied().unwrap_or("");
        let head: Header = serde_json::from_str(read(0)).map_err(|e| unsound(0, e.to_string()))?;
        if head.kind != KIND || head.format != FORMAT {
            return Err(unsound(
                0,
                format!("{} of format {}, wanted {KIND} of {FORMAT}", head.kind, head.format),
            ));
        }
        if body.len() != 1 + head.tenants + head.audit {
            return Err(unsound(
                end,
                format!("{} lines, wanted {}", body.len(), 1 + head.tenants + head.audit),
            ));
        }
        let (mut tenants, mut audit) = (Vec::new(), Vec::new());
        for at in 1..=head.tenants {
            tenants.push(serde_json::from_str(read(at)).map_err(|e| unsound(at, e.to_string()))?);
        }
        for at in head.tenants + 1..body.len() {
            audit.push(serde_json::from_str(read(at)).map_err(|e| unsound(at, e.to_string()))?);
        }
        Ok(Self { revision: head.revision, tenants, audit, origin: head.origin })
    }
}

fn line(value: &impl Serialize) -> io::Result<String> {
    let mut line = serde_json::to_string(value)?;
    line.push('\n');
    Ok(line)
}
