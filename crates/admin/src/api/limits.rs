//! Bounds of requests, and what holds where a request names nothing.

use nettleferry_tenancy::Millis;

/// Longest body, bytes; the server's limit must be this one.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Most rows of a page.
pub const MAX_PAGE_ROWS: usize = 1_000;
/// Rows of a page where the request names no limit.
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Longest grace of a removal, milliseconds.
pub const MAX_GRACE_MS: Millis = 3_600_000;
/// Grace of a removal where the request names none, milliseconds.
pub const DEFAULT_GRACE_MS: Millis = 10_000;
/// Longest wait of a watch, milliseconds.
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// Longest idempotency key, bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
