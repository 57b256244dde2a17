//! The longest span of leases that may still be valid, persisted beside the tenant store. A leader that starts waits
//! for this span before it considers the leases of earlier leaders expired.

use std::path::{Path, PathBuf};
use std::time::Duration;

use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::MAX_SPAN;
use nettleferry_fleet::recovery_policy::PersistedState;
use tracing::warn;

use super::store::wall_ms;
use crate::persisted_file::PersistedFile;

/// Maximum time that a start waits for the file to be read, and again for it to be written.
const DISK_TIMEOUT: Duration = Duration::from_secs(2);

/// The spans of leases that apply at a start, in milliseconds.
pub(super) struct LeaseSpans {
    /// The span of the leases that this leader grants; `None` if it grants none.
    pub(super) granted: Option<Millis>,
    /// The longest span that earlier leaders may have granted; `None` if they have granted no leases.
    pub(super) earlier: Option<Millis>,
}

/// The file with the longest span of leases that may still be valid.
pub(super) struct LeaseSpanFile {
    file: PersistedFile,
    /// The span to write once the leases of earlier leaders have expired, 0 if this leader grants no leases; `None`
    /// after it was written.
    unwritten: Option<Millis>,
}

impl LeaseSpanFile {
    /// Reads the span of earlier leaders, and persists the longer one of theirs and the configured one. If that is not
    /// durable in time, this leader grants no leases.
    pub(super) fn open(store: &Path, configured: Option<Millis>) -> (LeaseSpans, Self) {
        let restarted = store.exists();
        let mut file = PersistedFile::open(lease_file(store), "longest lease span", DISK_TIMEOUT);
        let persisted = file.read_trusted(PersistedState::LongestLease, wall_ms(), |_| None);
        let persisted = persisted.and_then(|bytes| std::str::from_utf8(&bytes).ok()?.trim().parse().ok());
        // A leader has run before, but its span cannot be read: the longest possible span is assumed.
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

    /// Persists this leader's own span once the leases of earlier leaders have expired, because from then on it is the
    /// longest. Returns the time of their expiry while that is in the future.
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
