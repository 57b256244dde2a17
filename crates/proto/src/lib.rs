//! Protobuf messages of the published protocols that nettleferry uses, and readers that decode only the metadata of
//! inference messages.
//!
//! This crate contains encodings and names only. It must not depend on calls, workers or decisions.
//!
//! * [`inference`]: the Open Inference Protocol v2 over gRPC with its model repository extension.
//! * [`orca`]: `xds.data.orca.v3.OrcaLoadReport`, sent in the trailer [`orca::TRAILER`].
//! * [`rpc`]: `google.rpc.Status` and `RetryInfo`, sent in `grpc-status-details-bin`.
//! * [`metadata`]: names and values of headers, trailers and parameters defined by nettleferry.
//! * [`remote_write`]: Prometheus remote write 1.0 and 2.0 with snappy compression.
//! * [`peek`]: reads the metadata of inference requests and stream responses without decoding tensors.

#![forbid(unsafe_code)]

pub mod peek;
pub mod remote_write;

/// Messages and names of the gRPC service `inference.GRPCInferenceService`.
pub mod inference {
    include!(concat!(env!("OUT_DIR"), "/inference.rs"));

    /// Prefix of the path of each method, such as `/inference.GRPCInferenceService/ModelInfer`.
    pub const SERVICE: &str = "/inference.GRPCInferenceService/";
    /// Boolean response parameter that marks the last response of a call on a stream.
    pub const FINAL: &str = "triton_final_response";
    /// Parameter of `RepositoryModelLoad` (int64): the desired number of replicas. 0 only queries the number
    /// of loaded ones.
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
        /// Returns the value if it is an int64.
        pub fn int64(&self) -> Option<i64> {
            match self.parameter_choice {
                Some(infer_parameter::ParameterChoice::Int64Param(n)) => Some(n),
                _ => None,
            }
        }

        /// Returns the value if it is a boolean.
        pub fn boolean(&self) -> Option<bool> {
            match self.parameter_choice {
                Some(infer_parameter::ParameterChoice::BoolParam(b)) => Some(b),
                _ => None,
            }
        }
    }
}

/// ORCA load reports, which workers send in trailers.
pub mod orca {
    include!(concat!(env!("OUT_DIR"), "/xds.data.orca.v3.rs"));

    /// Trailer with a base64-encoded report (gRFC A51).
    pub const TRAILER: &str = "endpoint-load-metrics-bin";
    /// Named metric: state of the replica for this call. 1: it was loaded. 2: the call started its
    /// load. 3: the call waited for a load in progress. 4: the load failed.
    pub const LOAD_NOTE: &str = "nettleferry.copy_note";
    /// Named metric: calls of the same model at the worker when this call arrived.
    pub const SAME_MODEL_CALLS: &str = "nettleferry.same_model_calls";
    /// Named metric of the response to a load order: number of loaded replicas.
    pub const LOADED_REPLICAS: &str = "nettleferry.copies";
    /// Named metric: calls that are being executed.
    pub const INFLIGHT: &str = "nettleferry.inflight";
    /// Named metric: calls that are queued.
    pub const QUEUE: &str = "nettleferry.queue";
    /// Named metric: loads that are in progress or queued.
    pub const LOADS: &str = "nettleferry.loads";
}

/// Names and values of headers, trailers and parameters that nettleferry defines.
pub mod metadata {
    /// Trailer with which a worker guarantees that the call was not executed: [`FULL`], [`MISS`], [`LOAD_FAILED`] or
    /// [`FENCED`].
    pub const NEVER_RAN: &str = "nettleferry-never-ran";
    /// Value of [`NEVER_RAN`]: the worker was full and rejected the call without reading it.
    pub const FULL: &str = "full";
    /// Value of [`NEVER_RAN`]: the model is not loaded, and no load is in progress.
    pub const MISS: &str = "miss";
    /// Value of [`NEVER_RAN`]: the load for which the call waited has failed.
    pub const LOAD_FAILED: &str = "load-failed";
    /// Value of [`NEVER_RAN`]: the worker has seen a later incarnation of the same controller (see
    /// [`FENCE`]).
    pub const FENCED: &str = "fenced";
    /// Header to workers: the fencing token of the controller's incarnation, which is higher for a later incarnation. A
    /// worker that has seen a higher token of the same controller rejects the call without reading it.
    pub const FENCE: &str = "nettleferry-fence";
    /// Header to workers: the number of the controller.
    pub const CONTROLLER: &str = "nettleferry-controller";
    /// Header to workers: the number of the attempt, starting at 0.
    pub const ATTEMPT: &str = "nettleferry-attempt";
    /// Header from clients: the tenant.
    pub const TENANT: &str = "nettleferry-tenant";
    /// Header from clients: the first failed call of a stream ends the stream with the status of that call.
    pub const GRPC_ERROR: &str = "triton_grpc_error";
    /// Parameter of load orders (int64): memory of a replica in bytes.
    pub const MEMORY: &str = "memory_bytes";
}

/// Status and error details of `google.rpc`.
pub mod rpc {
    include!(concat!(env!("OUT_DIR"), "/google.rpc.rs"));

    use prost::Message;

    /// Type URL of [`RetryInfo`] in a `google.protobuf.Any`.
    pub const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";

    /// Encodes a status with a [`RetryInfo`] detail that asks the client to wait for `after` before a retry.
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
