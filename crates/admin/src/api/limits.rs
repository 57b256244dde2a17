//! Limits of requests, and defaults for parameters that a request omits.

use nettleferry_tenancy::Millis;

/// Maximum length of a request's body, in bytes. The HTTP server must enforce the same limit.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of rows of a page.
pub const MAX_PAGE_ROWS: usize = 1_000;
/// Number of rows of a page if the request has no `limit`.
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Maximum grace period of a tenant's removal, in milliseconds.
pub const MAX_GRACE_MS: Millis = 3_600_000;
/// Grace period of a tenant's removal if the request has no `grace_ms`, in milliseconds.
pub const DEFAULT_GRACE_MS: Millis = 10_000;
/// Maximum time that a watch waits for a change, in milliseconds.
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
