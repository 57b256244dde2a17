//! All of a store as one text file: a header line, a line for each tenant, a line for each entry of the audit trail,
//! and a footer line with the checksum of those before. Written beside the old file, synced and renamed: there is
//! never half a snapshot of its name.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use nettleferry_tenancy::{Entry, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};

use crate::origin::Origin;

/// The format that is written.
const FORMAT: u32 = 1;
/// Says in the header what the file is.
const KIND: &str = "nettleferry-tenants";

/// The content of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The number of the last change.
    pub revision: Revision,
    /// Tenants by name.
    pub tenants: Vec<Tenant>,
    /// The audit trail, or the last part of it.
    pub audit: Vec<Entry>,
    /// The store that it is of; `None` in files of early versions.
    pub origin: Option<Origin>,
}

/// Why a snapshot file can't be used.
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
    #[error("the snapshot {path}, line {line}: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
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
    /// A snapshot without an audit trail: what a controller needs to continue.
    pub fn from_tenants(snapshot: &TenantSnapshot, origin: Option<Origin>) -> Self {
        let tenants = snapshot.tenants().cloned().collect();
        Self { revision: snapshot.revision(), tenants, audit: Vec::new(), origin }
    }

    /// Its tenants.
    pub fn tenant_snapshot(&self) -> TenantSnapshot {
        TenantSnapshot::from_tenants(self.revision, self.tenants.iter().cloned())
    }

    /// Writes it; durable when this returns.
    ///
    /// # Errors
    /// Where the file can't be written: an old file of this name stays.
    pub fn write(&self, path: &Path) -> Result<(), SnapshotError> {
        let io = |source| SnapshotError::Io { path: path.to_owned(), source };
        let (tenants, audit) = (self.tenants.len(), self.audit.len());
        let (kind, origin) = (KIND.to_owned(), self.origin.clone());
        let header = Header { kind, format: FORMAT, revision: self.revision, tenants, audit, origin };
        let mut text = line(&header).map_err(io)?;
        for tenant in &self.tenants {
            text.push_str(&line(tenant).map_err(io)?);
        }
        for entry in &self.audit {
            text.push_str(&line(entry).map_err(io)?);
        }
        let footer = line(&Footer { crc32: crc32fast::hash(text.as_bytes()) }).map_err(io)?;
        text.push_str(&footer);
        let beside = path.with_extension("new");
        let mut file = File::create(&beside).map_err(io)?;
        file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).map_err(io)?;
        fs::rename(&beside, path).map_err(io)?;
        // The name is durable when its directory is.
        let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory).and_then(|directory| directory.sync_all()).map_err(io)
    }

    /// Reads a snapshot file.
    ///
    /// # Errors
    /// Where it can't be read, is incomplete, or was changed.
    pub fn read(path: &Path) -> Result<Self, SnapshotError> {
        let text =
            fs::read_to_string(path).map_err(|source| SnapshotError::Io { path: path.to_owned(), source })?;
        let invalid = |line: usize, reason: String| SnapshotError::Invalid {
            path: path.to_owned(),
            line: line + 1,
            reason,
        };
        let lines: Vec<&str> = text.lines().collect();
        let Some((footer, body)) = lines.split_last() else {
            return Err(invalid(0, "it is empty".to_owned()));
        };
        let end = lines.len() - 1;
        let checksum: Footer = serde_json::from_str(footer)
            .map_err(|_| invalid(end, "the last line is no checksum: the file is cut off".to_owned()))?;
        let checked_bytes = text.len() - footer.len() - usize::from(text.ends_with('\n'));
        if crc32fast::hash(&text.as_bytes()[..checked_bytes]) != checksum.crc32 {
            return Err(invalid(
                end,
                "the checksum does not match: the file was changed or damaged".to_owned(),
            ));
        }
        let read = |at: usize| body.get(at).copied().unwrap_or("");
        let header: Header = serde_json::from_str(read(0)).map_err(|e| invalid(0, e.to_string()))?;
        if header.kind != KIND || header.format != FORMAT {
            return Err(invalid(
                0,
                format!("{} of format {}, wanted {KIND} of {FORMAT}", header.kind, header.format),
            ));
        }
        if body.len() != 1 + header.tenants + header.audit {
            return Err(invalid(
                end,
                format!("{} lines, wanted {}", body.len(), 1 + header.tenants + header.audit),
            ));
        }
        let (mut tenants, mut audit) = (Vec::new(), Vec::new());
        for at in 1..=header.tenants {
            tenants.push(serde_json::from_str(read(at)).map_err(|e| invalid(at, e.to_string()))?);
        }
        for at in header.tenants + 1..body.len() {
            audit.push(serde_json::from_str(read(at)).map_err(|e| invalid(at, e.to_string()))?);
        }
        Ok(Self { revision: header.revision, tenants, audit, origin: header.origin })
    }
}

fn line(value: &impl Serialize) -> io::Result<String> {
    let mut line = serde_json::to_string(value)?;
    line.push('\n');
    Ok(line)
}
