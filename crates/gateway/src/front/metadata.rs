//! The small methods: live, ready, metadata. Answered from the settings alone.

use bytes::Bytes;
use nettleferry_config::Config;
use nettleferry_config::settings::Tensor;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::model_metadata_response::TensorMetadata;
use nettleferry_proto::inference::*;
use prost::Message;

use super::ends::Failure;

/// A small method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Small {
    ServerLive,
    ServerReady,
    ModelReady,
    ServerMetadata,
    ModelMetadata,
}

impl Small {
    /// By its published name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "ServerLive" => Self::ServerLive,
            "ServerReady" => Self::ServerReady,
            "ModelReady" => Self::ModelReady,
            "ServerMetadata" => Self::ServerMetadata,
            "ModelMetadata" => Self::ModelMetadata,
            _ => return None,
        })
    }
}

/// Its answer. `ready`: a worker is in service and we take calls.
pub fn answer(small: Small, request: Bytes, config: &Config, ready: bool) -> Result<Bytes, Failure> {
    let malformed =
        |error: prost::DecodeError| Failure::of(Code::InvalidArgument, format!("malformed request: {error}"));
    let message = match small {
        Small::ServerLive => ServerLiveResponse { live: true }.encode_to_vec(),
        Small::ServerReady => ServerReadyResponse { ready }.encode_to_vec(),
        Small::ModelReady => {
            let request = ModelReadyRequest::decode(request).map_err(malformed)?;
            let known = find(config, &request.name, &request.version).is_ok();
            ModelReadyResponse { ready: ready && known }.encode_to_vec()
        }
        Small::ServerMetadata => ServerMetadataResponse {
            name: "nettleferry".to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            extensions: Vec::new(),
        }
        .encode_to_vec(),
        Small::ModelMetadata => {
            let request = ModelMetadataRequest::decode(request).map_err(malformed)?;
            let model = find(config, &request.name, &request.version)?;
            let tensors = |all: &[Tensor]| all.iter().map(tensor).collect();
            ModelMetadataResponse {
                name: request.name,
                versions: model.versions.clone(),
                platform: model.platform.clone(),
                inputs: tensors(&model.inputs),
                outputs: tensors(&model.outputs),
            }
            .encode_to_vec()
        }
    };
    Ok(message.into())
}

fn find<'a>(config: &'a Config, name: &str, version: &str) -> Result<&'a nettleferry_config::Model, Failure> {
    config
        .models
        .served(name, version)
        .ok_or_else(|| Failure::of(Code::NotFound, format!("no model {name:?} is served here")))
}

fn tensor(tensor: &Tensor) -> TensorMetadata {
    TensorMetadata {
        name: tensor.name.clone(),
        datatype: tensor.datatype.clone(),
        shape: tensor.shape.clone(),
    }
}
