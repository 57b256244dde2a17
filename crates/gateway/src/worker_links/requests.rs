//! Requests of the model repository extension, encoded.

use bytes::Bytes;
use nettleferry_proto::inference::{
    ModelRepositoryParameter, REPLICAS, RepositoryModelLoadRequest, RepositoryModelUnloadRequest,
    ServerReadyRequest, model_repository_parameter::ParameterChoice,
};
use nettleferry_proto::metadata;
use prost::Message;

/// An order to a worker to load a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadOrder<'a> {
    /// The model's name.
    pub model: &'a str,
    /// The model's version; empty: the worker's choice.
    pub version: &'a str,
    /// Memory of one replica, where the settings have it.
    pub memory_bytes: Option<u64>,
    /// Replicas wanted.
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
