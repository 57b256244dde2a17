//! Interprets a receiver's HTTP response: whether the batch was accepted, and whether the protocol version was
//! understood.

use std::time::SystemTime;

use nettleferry::Micros;
use nettleferry_net::http1_client::Answer;
use nettleferry_proto::remote_write::Version;
use nettleferry_remote_write::{Acceptance, Response};
use tracing::warn;

use super::sample::{Batch, SampleValue};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What a response, or the lack of one, says about the batch and the protocol version.
pub(super) struct InterpretedResponse {
    /// How the queue proceeds with the batch: it was accepted, is sent again, is halved, or is dropped.
    pub(super) response: Response,
    /// Whether the receiver understood the protocol version.
    pub(super) acceptance: Acceptance,
    /// Whether the receiver accepted the batch and wrote only a part of it.
    pub(super) short_write: bool,
}

impl InterpretedResponse {
    fn new(response: Response, acceptance: Acceptance) -> Self {
        Self { response, acceptance, short_write: false }
    }

    /// The result where no response was received: the batch is retried, and the protocol version is not judged.
    pub(super) fn no_response() -> Self {
        Self::new(Response::Unavailable { retry_after: None }, Acceptance::Unknown)
    }

    /// Interprets the status of a response:
    ///
    /// * 2xx: the batch was accepted. With version 2.0 this holds only where the response states how much was written:
    ///   a receiver of version 1.0 that does not check the content type answers 2xx, but reads no samples from the
    ///   body.
    /// * 415 to version 2.0: the receiver does not support this version. The batch is retried.
    /// * 429 and 5xx: the receiver is unavailable. The batch is retried.
    /// * 400, 413 and 422: something in the batch is invalid. The batch is halved, as one half may be accepted.
    /// * Any other status: the batch is rejected permanently.
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

/// The number of samples or histograms that the receiver reports as written; `kind` is `samples` or `histograms`.
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

/// Reads the delay from Retry-After (RFC 9110, 10.2.3), which holds seconds or a date.
fn retry_after(answer: &Answer) -> Option<Micros> {
    let text = answer.header("retry-after")?.trim();
    if let Ok(seconds) = text.parse::<u64>() {
        return Some(seconds.saturating_mul(MICROS_PER_SECOND));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let wait = at.duration_since(SystemTime::now()).unwrap_or_default();
    Some(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}
