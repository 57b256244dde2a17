//! Encodes the control requests to workers: load, unload and readiness probe.

use bytes::Bytes;
use nettleferry_proto::inference::{
    ModelRepositoryParameter, REPLICAS, RepositoryModelLoadRequest, RepositoryModelUnloadRequest,
    ServerReadyRequest, model_repository_parameter::ParameterChoice,
};
use nettleferry_proto::metadata;
use prost::Message;

/// The contents of an order to load a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadOrder<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Version of the model; empty where the worker chooses.
    pub version: &'a str,
    /// Memory that one replica needs, in bytes; `None` where the settings do not say.
    pub memory_bytes: Option<u64>,
    /// Target number of replicas at the worker.
    pub replicas: u32,
}

pub(super) fn load(order: &LoadOrder) -> Bytes {
    let mut request = RepositoryModelLoadRequest { model_name: order.model.to_owned(), ..Default::default() };
    let mut insert = |name: &str, value: ParameterChoice| {
        let parameter = ModelRepositoryParameter { parameter_choice: Some(value) };
        request.parameters.insert(name.to_owned(), parameter);
    };
    insert(REPLICAS, ParameterChoice::Int64Param(i64::from(order.replicas)));
    if let Some(bytes) = order.memory_bytes {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        insert(metadata::MEMORY, ParameterChoice::Int64Param(bytes));
    }
    if !order.version.is_empty() {
        insert("version", ParameterChoice::StringParam(order.version.to_owned()));
    }
    request.encode_to_vec().into()
}

pub(super) fn unload(model: &str) -> Bytes {
    let request = RepositoryModelUnloadRequest { model_name: model.to_owned(), ..Default::default() };
    request.encode_to_vec().into()
}

pub(super) fn probe() -> Bytes {
    ServerReadyRequest {}.encode_to_vec().into()
}
