//! The longest span for which leases may be out, persisted beside the tenant store: a later leader waits for so long
//! before it takes an earlier leader's leases as over.

use std::path::{Path, PathBuf};
use std::time::Duration;

use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::MAX_SPAN;
use nettleferry_fleet::recovery_policy::PersistedState;
use tracing::warn;

use super::store::wall_ms;
use crate::persisted_file::PersistedFile;

/// A start waits at most this long for the file's disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(2);

/// The spans of leases at a start, in milliseconds.
pub(super) struct LeaseSpans {
    /// The span that this leader may grant; `None`: it grants no leases.
    pub(super) granted: Option<Millis>,
    /// The span that earlier leaders may have granted.
    pub(super) earlier: Option<Millis>,
}

/// The file.
pub(super) struct LeaseSpanFile {
    file: PersistedFile,
    /// The span to write once no lease of an earlier leader is out; `None`: it was written.
    unwritten: Option<Millis>,
}

impl LeaseSpanFile {
    /// Reads the span of earlier leaders, and persists the longer of theirs and the configured one.
    pub(super) fn open(store: &Path, configured: Option<Millis>) -> (LeaseSpans, Self) {
        let restarted = store.exists();
        let mut file = PersistedFile::open(lease_file(store), "longest lease span", DISK_TIMEOUT);
        let persisted = file.read_trusted(PersistedState::LongestLease, wall_ms(), |_| None);
        let persisted = persisted.and_then(|bytes| std::str::from_utf8(&bytes).ok()?.trim().parse().ok());
        // What cannot be known is taken at its worst.
        let earlier = persisted.or(restarted.then_some(MAX_SPAN)).filter(|span: &Millis| *span > 0);
        let longest = configured.max(earlier).unwrap_or(0);
        file.write(longest.to_string().into_bytes());
        let durable = file.flush(DISK_TIMEOUT) && file.durable() > 0;
        if !durable && configured.is_some() {
            warn!("lease span can't be persisted in time, no leases are granted until a restart");
        }
        let granted = configured.filter(|_| durable);
        (LeaseSpans { granted, earlier }, Self { file, unwritten: Some(granted.unwrap_or(0)) })
    }

    /// IdempotentResponse the leases of earlier leaders are over, only our own span counts for later ones. Returns when that is, if it
    /// is not yet so.
    pub(super) fn write_own_span(&mut self, now: Millis, earlier_leases_over: Millis) -> Option<Millis> {
        self.unwritten?;
        if now < earlier_leases_over {
            return Some(earlier_leases_over);
        }
        if let Some(span) = self.unwritten.take() {
            self.file.write(span.to_string().into_bytes());
        }
        None
    }
}

fn lease_file(store: &Path) -> PathBuf {
    store.with_extension("lease")
}
