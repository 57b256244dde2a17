//! What a receiver's HTTP response means for a batch and for the protocol version.

use std::time::SystemTime;

use nettleferry::Micros;
use nettleferry_net::http1_client::Answer;
use nettleferry_proto::remote_write::Version;
use nettleferry_remote_write::{Acceptance, Response};
use tracing::warn;

use super::sample::{Batch, SampleValue};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The meaning of a response.
pub(super) struct InterpretedResponse {
    /// For the batch.
    pub(super) response: Response,
    /// For the protocol version.
    pub(super) acceptance: Acceptance,
    /// Whether the receiver wrote less than it accepted.
    pub(super) short_write: bool,
}

impl InterpretedResponse {
    fn new(response: Response, acceptance: Acceptance) -> Self {
        Self { response, acceptance, short_write: false }
    }

    /// No response came.
    pub(super) fn no_response() -> Self {
        Self::new(Response::Unavailable { retry_after: None }, Acceptance::Unknown)
    }

    /// The meaning of a status. 2xx: accepted, though for version 2.0 only where the response says what was written: a
    /// receiver of 1.0 that does not check the content type finds nothing in the body. 415: it does not know this version.
    /// 429 and 5xx: unavailable. 400, 413 and 422: something in the batch is invalid. Any other: rejected for good.
    pub(super) fn from_answer(answer: &Answer, batch: &Batch, version: Version) -> Self {
        let unavailable = |retry_after| Response::Unavailable { retry_after };
        match (answer.status, version) {
            (200..300, Version::One) => Self::new(Response::Accepted, Acceptance::Unknown),
            (200..300, Version::Two) => match written(answer, "samples") {
                None => Self::new(unavailable(None), Acceptance::NotUnderstood),
                Some(numbers) => Self {
                    short_write: is_short_write(answer, batch, numbers),
                    ..Self::new(Response::Accepted, Acceptance::Understood)
                },
            },
            (415, Version::Two) => Self::new(unavailable(None), Acceptance::NotUnderstood),
            (429 | 500..600, _) => Self::new(unavailable(retry_after(answer)), Acceptance::Unknown),
            (400 | 413 | 422, _) => Self::new(Response::Invalid, Acceptance::Unknown),
            _ => Self::new(Response::Rejected, Acceptance::Unknown),
        }
    }
}

/// How many samples or histograms the receiver says that it wrote.
fn written(answer: &Answer, kind: &str) -> Option<usize> {
    answer.header(&format!("x-prometheus-remote-write-{kind}-written"))?.trim().parse().ok()
}

fn is_short_write(answer: &Answer, batch: &Batch, numbers: usize) -> bool {
    let sent = batch.samples.iter().filter(|sample| matches!(sample.value, SampleValue::Number(_))).count();
    let natives = written(answer, "histograms").unwrap_or(0);
    let short = numbers < sent || natives < batch.samples.len() - sent;
    if short {
        warn!(numbers, sent, natives, "receiver wrote less than it accepted");
    }
    short
}

/// Retry-After (RFC 9110, 10.2.3): seconds, or a date on the wall clock.
fn retry_after(answer: &Answer) -> Option<Micros> {
    let text = answer.header("retry-after")?.trim();
    if let Ok(seconds) = text.parse::<u64>() {
        return Some(seconds.saturating_mul(MICROS_PER_SECOND));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let wait = at.duration_since(SystemTime::now()).unwrap_or_default();
    Some(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}
