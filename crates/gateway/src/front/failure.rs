//! Maps the final answer of a call to a gRPC status.
//!
//! * Served: OK.
//! * Rejected by the worker: INVALID_ARGUMENT, without advice on retries.
//! * Refused: UNAVAILABLE with `grpc-retry-pushback-ms` (gRFC A6) and `RetryInfo`, because a retry does no harm. If the
//!   tenant was removed: PERMISSION_DENIED, because no retry helps.
//! * Failed: ABORTED, INTERNAL or DEADLINE_EXCEEDED with a pushback of -1 ("do not retry"), because the call may have
//!   run. Never UNAVAILABLE.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use nettleferry_engine::{Cause, FinalAnswer, Refusal};
use nettleferry_net::grpc::{Code, Status, write_binary};
use nettleferry_proto::inference::{FINAL, InferParameter, ModelInferResponse, ModelStreamInferResponse};
use nettleferry_proto::rpc::status_with_retry;
use prost::Message;

/// Metadata key of the retry delay (gRFC A6).
pub(super) const PUSHBACK: &str = "grpc-retry-pushback-ms";

/// The gRPC status of an unsuccessful call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    /// The gRPC code, and the message for the client.
    pub status: Status,
    /// Retry delay in milliseconds. Negative: the client must not retry. `None`: no advice is sent.
    pub pushback_ms: Option<i64>,
}

impl Failure {
    /// Creates a failure without advice on retries.
    pub(super) fn new(code: Code, message: impl Into<String>) -> Self {
        Self { status: Status::new(code, message), pushback_ms: None }
    }

    /// Creates the refusal of a call that was not run, or may be repeated: the client may retry after the delay
    /// `after`.
    pub(super) fn refused(message: impl Into<String>, after: Duration) -> Self {
        let ms = i64::try_from(after.as_millis()).unwrap_or(i64::MAX);
        Self { status: Status::new(Code::Unavailable, message), pushback_ms: Some(ms) }
    }

    /// This failure for an RPC with further calls that may have run and must not run twice: one that permits a retry is
    /// replaced by ABORTED.
    pub(super) fn without_retry(&self) -> Self {
        if self.pushback_ms.is_none_or(|ms| ms < 0) {
            return self.clone();
        }
        let message = format!("{}; other calls of the stream may have run", self.status.message);
        Self { status: Status::new(Code::Aborted, message), pushback_ms: Some(-1) }
    }

    /// The trailers that end an RPC with this failure. A retry delay is sent as metadata and in `RetryInfo`; a negative
    /// one as metadata only.
    pub(super) fn trailers(&self) -> HeaderMap {
        let mut map = self.status.trailers();
        if let Some(ms) = self.pushback_ms {
            map.insert(PUSHBACK, HeaderValue::from(ms));
            if let Ok(ms) = u64::try_from(ms) {
                let after = Duration::from_millis(ms);
                let details = status_with_retry(self.status.code as i32, &self.status.message, after);
                if let Some(value) = write_binary(&details) {
                    map.insert("grpc-status-details-bin", value);
                }
            }
        }
        map
    }

    /// Encodes this failure as the last message of one call on a stream, which stays open for other calls. It carries
    /// the `id` of the call, the code and the message as `error_message`, and the advice on retries as a parameter.
    pub(super) fn message(&self, id: &str) -> Bytes {
        let mut response = ModelInferResponse { id: id.to_owned(), ..Default::default() };
        let text = |s: &str| InferParameter {
            parameter_choice: Some(
                nettleferry_proto::inference::infer_parameter::ParameterChoice::StringParam(s.to_owned()),
            ),
        };
        response.parameters.insert(FINAL.to_owned(), true.into());
        response.parameters.insert("grpc_status".to_owned(), text(self.status.code.name()));
        if let Some(ms) = self.pushback_ms {
            response.parameters.insert("grpc_retry_pushback_ms".to_owned(), ms.into());
        }
        let error_message = format!("{}: {}", self.status.code.name(), self.status.message);
        ModelStreamInferResponse { error_message, infer_response: Some(response) }.encode_to_vec().into()
    }
}

/// Maps a final answer to a failure; `None` if the call was served. `pushback` is the retry delay of refusals for which
/// the engine gives none.
pub(super) fn failure_for_answer(answer: &FinalAnswer, pushback: Duration) -> Option<Failure> {
    Some(match answer {
        FinalAnswer::Served { .. } => return None,
        FinalAnswer::Rejected { message } => Failure::new(Code::InvalidArgument, message.clone()),
        FinalAnswer::Refused { reason: Refusal::TenantRemoved, .. } => {
            Failure::new(Code::PermissionDenied, "its tenant was removed; it was not run")
        }
        FinalAnswer::Refused { reason, retry_after } => {
            let message = match reason {
                Refusal::TenantRemoved => "its tenant was removed; it was not run",
                Refusal::ClientDisconnected => "its client left; it was not run",
                Refusal::TooManyOpen => "too many open calls at this controller; it was not run",
                Refusal::NoWorker => "no worker is in service; it was not run or may be repeated",
                Refusal::NoCapacity => "no worker had room in time; it was not run or may be repeated",
            };
            Failure::refused(message, retry_after.map_or(pushback, Duration::from_micros))
        }
        FinalAnswer::Failed { cause, message } => {
            let code = match cause {
                Cause::Aborted => Code::Aborted,
                Cause::Internal => Code::Internal,
                Cause::Deadline => Code::DeadlineExceeded,
            };
            Failure { status: Status::new(code, message.clone()), pushback_ms: Some(-1) }
        }
    })
}

/// Builds the message that ends a served call on a stream, for a worker that did not mark its last message as final.
pub(super) fn empty_final_message(id: &str, model: &str) -> Bytes {
    let mut response =
        ModelInferResponse { id: id.to_owned(), model_name: model.to_owned(), ..Default::default() };
    response.parameters.insert(FINAL.to_owned(), true.into());
    ModelStreamInferResponse { error_message: String::new(), infer_response: Some(response) }
        .encode_to_vec()
        .into()
}

#[cfg(test)]
mod tests;
