//! The methods for liveness, readiness and metadata. They are answered by this controller itself, without a worker.

use bytes::Bytes;
use nettleferry_config::Config;
use nettleferry_config::settings::Tensor;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::model_metadata_response::TensorMetadata;
use nettleferry_proto::inference::*;
use prost::Message;

use super::failure::Failure;

/// A method that is answered without a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InfoMethod {
    ServerLive,
    ServerReady,
    ModelReady,
    ServerMetadata,
    ModelMetadata,
}

impl InfoMethod {
    /// Returns the method with this name in the protocol.
    pub(super) fn from_name(name: &str) -> Option<Self> {
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

/// Encodes the response of an info method. `ready`: a worker is in service, and neither a drain nor the state of the
/// lease makes this controller not ready.
///
/// # Errors
/// INVALID_ARGUMENT where the request cannot be decoded, NOT_FOUND for the metadata of a model that is not served.
pub(super) fn answer(
    method: InfoMethod,
    request: Bytes,
    config: &Config,
    ready: bool,
) -> Result<Bytes, Failure> {
    let malformed = |error: prost::DecodeError| {
        Failure::new(Code::InvalidArgument, format!("malformed request: {error}"))
    };
    let message = match method {
        InfoMethod::ServerLive => ServerLiveResponse { live: true }.encode_to_vec(),
        InfoMethod::ServerReady => ServerReadyResponse { ready }.encode_to_vec(),
        InfoMethod::ModelReady => {
            let request = ModelReadyRequest::decode(request).map_err(malformed)?;
            let known = config.models.served(&request.name, &request.version).is_some();
            ModelReadyResponse { ready: ready && known }.encode_to_vec()
        }
        InfoMethod::ServerMetadata => ServerMetadataResponse {
            name: "nettleferry".to_owned(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            extensions: Vec::new(),
        }
        .encode_to_vec(),
        InfoMethod::ModelMetadata => {
            let request = ModelMetadataRequest::decode(request).map_err(malformed)?;
            let model = config.models.served(&request.name, &request.version);
            let model = model.ok_or_else(|| unknown_model(&request.name))?;
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

fn unknown_model(name: &str) -> Failure {
    Failure::new(Code::NotFound, format!("no model {name:?} is served here"))
}

fn tensor(tensor: &Tensor) -> TensorMetadata {
    TensorMetadata {
        name: tensor.name.clone(),
        datatype: tensor.datatype.clone(),
        shape: tensor.shape.clone(),
    }
}
