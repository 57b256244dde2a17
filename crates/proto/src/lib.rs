//! The published messages that nettleferry exchanges, and readers of their heads that touch no tensor.
//!
//! May know: field names and numbers as published. Must not know: what a call, a worker or a decision is.
//!
//! * [`inference`]: the Open Inference Protocol v2 over gRPC with its model repository extension.
//! * [`orca`]: `xds.data.orca.v3.OrcaLoadReport`, sent in the trailer [`orca::TRAILER`].
//! * [`rpc`]: `google.rpc.Status` and `RetryInfo`, sent in `grpc-status-details-bin`.
//! * [`remote_write`]: Prometheus remote write 1.0 and 2.0, snappy-compressed.
//! * [`peek`]: reads the head of an inference request and of a stream response without decoding tensors.

#![forbid(unsafe_code)]

pub mod peek;
pub mod remote_write;

/// `inference.GRPCInferenceService`.
pub mod inference {
    include!(concat!(env!("OUT_DIR"), "/inference.rs"));

    /// The service's path prefix: `/inference.GRPCInferenceService/Method`.
    pub const SERVICE: &str = "/inference.GRPCInferenceService/";
    /// Name of the boolean parameter that marks the last response of a call on a stream.
    pub const FINAL: &str = "triton_final_response";
    /// Parameter of `RepositoryModelLoad`: how many replicas are wanted (int64; 0: only a question).
    pub const REPLICAS: &str = "copies";

    impl From<bool> for InferParameter {
        fn from(value: bool) -> Self {
            Self { parameter_choice: Some(infer_parameter::ParameterChoice::BoolParam(value)) }
        }
    }

    impl From<i64> for InferParameter {
        fn from(value: i64) -> Self {
            Self { parameter_choice: Some(infer_parameter::ParameterChoice::Int64Param(value)) }
        }
    }

    impl InferParameter {
        /// The value, where it is an integer.
        pub fn int64(&self) -> Option<i64> {
            match self.parameter_choice {
                Some(infer_parameter::ParameterChoice::Int64Param(n)) => Some(n),
                _ => None,
            }
        }

        /// The value, where it is a boolean.
        pub fn boolean(&self) -> Option<bool> {
            match self.parameter_choice {
                Some(infer_parameter::ParameterChoice::BoolParam(b)) => Some(b),
                _ => None,
            }
        }
    }
}

/// ORCA load reports.
pub mod orca {
    include!(concat!(env!("OUT_DIR"), "/xds.data.orca.v3.rs"));

    /// The trailer that carries a report, base64 (gRFC A51).
    pub const TRAILER: &str = "endpoint-load-metrics-bin";
    /// Named metric: 1 a replica was loaded, 2 this call began its load, 3 it waited for the load, 4 the load failed.
    pub const LOAD_NOTE: &str = "nettleferry.copy_note";
    /// Named metric: calls of the same model that the worker had when this one arrived.
    pub const SAME_MODEL_CALLS: &str = "nettleferry.same_model_calls";
    /// Named metric: loaded replicas, in the response to a load order.
    pub const LOADED_REPLICAS: &str = "nettleferry.copies";
    /// Named metric: calls that run.
    pub const INFLIGHT: &str = "nettleferry.inflight";
    /// Named metric: calls waiting.
    pub const QUEUE: &str = "nettleferry.queue";
    /// Named metric: loads under way or waiting.
    pub const LOADS: &str = "nettleferry.loads";
}

/// Headers, trailers and parameters of nettleferry's own.
pub mod metadata {
    /// Trailer of a worker that proves that the call never ran: [`FULL`], [`MISS`], [`LOAD_FAILED`] or [`FENCED`].
    pub const NEVER_RAN: &str = "nettleferry-never-ran";
    /// The worker is full, and rejected the call unread.
    pub const FULL: &str = "full";
    /// The model is not loaded and no load is under way.
    pub const MISS: &str = "miss";
    /// The load that the call waited for failed.
    pub const LOAD_FAILED: &str = "load-failed";
    /// A later incarnation of the same controller was seen: see [`FENCE`].
    pub const FENCED: &str = "fenced";
    /// Header to workers: the fencing token of the controller's incarnation; a later incarnation has a higher one. A worker
    /// that has seen a higher one from a controller rejects the lower one unread.
    pub const FENCE: &str = "nettleferry-fence";
    /// Header to workers: the controller's number.
    pub const CONTROLLER: &str = "nettleferry-controller";
    /// Header to workers: the number of the attempt, from 0.
    pub const ATTEMPT: &str = "nettleferry-attempt";
    /// Header of clients: the tenant.
    pub const TENANT: &str = "nettleferry-tenant";
    /// Header of clients: a stream's first failing call ends it with its status.
    pub const GRPC_ERROR: &str = "triton_grpc_error";
    /// Parameter of load orders: memory of a replica, bytes (int64).
    pub const MEMORY: &str = "memory_bytes";
}

/// google.rpc error details.
pub mod rpc {
    include!(concat!(env!("OUT_DIR"), "/google.rpc.rs"));

    use prost::Message;

    /// Type URL of [`RetryInfo`] in a `google.protobuf.Any`.
    pub const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";

    /// An encoded status whose one detail says when to retry.
    pub fn status_with_retry(code: i32, message: &str, after: std::time::Duration) -> Vec<u8> {
        let retry = RetryInfo {
            retry_delay: Some(prost_types::Duration {
                seconds: i64::try_from(after.as_secs()).unwrap_or(i64::MAX),
                nanos: after.subsec_nanos() as i32,
            }),
        };
        let any = prost_types::Any { type_url: RETRY_INFO.to_owned(), value: retry.encode_to_vec() };
        Status { code, message: message.to_owned(), details: vec![any] }.encode_to_vec()
    }
}
