//! `call`: makes one inference call and prints its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use http::HeaderMap;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::model_infer_request::InferInputTensor;
use nettleferry_proto::inference::model_infer_response::InferOutputTensor;
use nettleferry_proto::inference::{ModelInferRequest, ModelInferResponse, ModelStreamInferResponse};
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use prost::Message;

use super::console::announce;
use super::error::{CommandError, UsageError};
use super::exit_code;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Additional wait for the end of a call after its timeout.
const END_GRACE: Duration = Duration::from_secs(1);
/// Trailer with the delay, in milliseconds, after which the server accepts a retry; a negative number means that the
/// client must not retry (gRFC A6).
const PUSHBACK_TRAILER: &str = "grpc-retry-pushback-ms";

/// Make one inference call.
#[derive(Args)]
pub(crate) struct Call {
    /// Address of the gateway, or of a worker
    address: SocketAddr,
    /// Name of the model
    model: String,
    /// FP32 values of the input tensor
    #[arg(allow_negative_numbers = true)]
    values: Vec<f32>,
    /// Name of the input tensor
    #[arg(long, default_value = "HEIGHT")]
    input: String,
    /// Use ModelStreamInfer, and print the parts of the response as they arrive
    #[arg(long)]
    stream: bool,
    /// Version of the model
    #[arg(long, default_value = "")]
    version_wanted: String,
    /// Id of the call
    #[arg(long, default_value = "1")]
    id: String,
    /// Integer parameter of the call, as NAME=VALUE; can be repeated
    #[arg(long, value_name = "NAME=VALUE")]
    param: Vec<String>,
    /// Timeout of the call, in milliseconds
    #[arg(long, default_value_t = 10_000)]
    timeout_ms: u64,
    /// Tenant of the call
    #[arg(long)]
    tenant: Option<String>,
}

impl Call {
    fn request(&self) -> Result<ModelInferRequest, UsageError> {
        let mut request = ModelInferRequest {
            model_name: self.model.clone(),
            model_version: self.version_wanted.clone(),
            id: self.id.clone(),
            inputs: vec![InferInputTensor {
                name: self.input.clone(),
                datatype: "FP32".to_owned(),
                shape: vec![self.values.len() as i64],
                ..Default::default()
            }],
            ..Default::default()
        };
        let raw: Vec<u8> = self.values.iter().flat_map(|value| value.to_le_bytes()).collect();
        request.raw_input_contents = vec![raw.into()];
        for param in &self.param {
            let (name, value) = parse_parameter(param).ok_or_else(|| UsageError::Parameter(param.clone()))?;
            request.parameters.insert(name.to_owned(), value.into());
        }
        Ok(request)
    }

    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let request = self.request()?;
        let limits = NetLimits { connect_timeout: CONNECT_TIMEOUT, ..NetLimits::default() };
        let mut client = Client::new(1, limits).map_err(CommandError::system("can't create the client"))?;
        let timeout = Duration::from_millis(self.timeout_ms);
        client
            .call(self.address, self.client_request(&request, timeout))
            .map_err(CommandError::system(format!("can't start the call to {}", self.address)))?;
        let give_up_at = Instant::now() + timeout + END_GRACE;
        let mut events = Vec::new();
        let mut served = true;
        while Instant::now() < give_up_at {
            client
                .poll(Some(give_up_at - Instant::now()), &mut events)
                .map_err(CommandError::system("can't poll the connection"))?;
            for event in events.drain(..) {
                match event {
                    ClientEvent::Message { payload, .. } => served &= self.print_message(payload)?,
                    ClientEvent::End { status: Ok(status), trailers, .. } => {
                        if status.code == Code::Ok {
                            return Ok(exit_code::of_check(served));
                        }
                        let advice = retry_advice(&trailers);
                        eprintln!("{}: {}{advice}", status.code.name(), status.message);
                        return Ok(exit_code::FAILED);
                    }
                    ClientEvent::End { status: Err(error), .. } => {
                        eprintln!("{}: {error}", self.address);
                        return Ok(exit_code::FAILED);
                    }
                }
            }
        }
        eprintln!("{}: no response within the timeout", self.address);
        Ok(exit_code::FAILED)
    }

    fn client_request(&self, request: &ModelInferRequest, timeout: Duration) -> ClientRequest {
        let tenant_header =
            |tenant: &String| (nettleferry_proto::metadata::TENANT.to_owned(), tenant.clone());
        ClientRequest {
            method: if self.stream { "ModelStreamInfer" } else { "ModelInfer" },
            messages: vec![request.encode_to_vec().into()],
            timeout: Some(timeout),
            headers: self.tenant.iter().map(tenant_header).collect(),
            ..ClientRequest::default()
        }
    }

    /// Prints the outputs of a response message. Returns false if it is a stream message with an error, which
    /// is printed to standard error.
    fn print_message(&self, payload: Bytes) -> Result<bool, CommandError> {
        let response = if self.stream {
            let part = ModelStreamInferResponse::decode(payload).map_err(UsageError::Response)?;
            if !part.error_message.is_empty() {
                eprintln!("{}", part.error_message);
                return Ok(false);
            }
            part.infer_response.unwrap_or_default()
        } else {
            ModelInferResponse::decode(payload).map_err(UsageError::Response)?
        };
        for (index, output) in response.outputs.iter().enumerate() {
            let values = fp32_values(output, response.raw_output_contents.get(index));
            announce(&format!("{} {} {:?}: {values:?}", output.name, output.datatype, output.shape))?;
        }
        Ok(true)
    }
}

/// Splits `NAME=VALUE` and parses the value; `None` if the text has another form.
fn parse_parameter(text: &str) -> Option<(&str, i64)> {
    let (name, value) = text.split_once('=')?;
    Some((name, value.parse().ok()?))
}

/// Describes the server's advice on retries; empty without a readable trailer.
fn retry_advice(trailers: &HeaderMap) -> String {
    match trailers.get(PUSHBACK_TRAILER).and_then(|value| value.to_str().ok()) {
        Some(ms) if ms.starts_with('-') => " (the server advises against a retry)".to_owned(),
        Some(ms) => format!(" (the server accepts a retry after {ms} ms)"),
        None => String::new(),
    }
}

/// Decodes the values of an FP32 output tensor from its typed contents or from raw little-endian bytes. Returns no
/// values for a tensor of another type.
fn fp32_values(output: &InferOutputTensor, raw: Option<&Bytes>) -> Vec<f32> {
    match (&output.contents, raw) {
        (Some(contents), _) if !contents.fp32_contents.is_empty() => contents.fp32_contents.clone(),
        (_, Some(raw)) if output.datatype == "FP32" => {
            raw.chunks_exact(4).map(|b| f32::from_le_bytes([b[0], b[1], b[2], b[3]])).collect()
        }
        _ => Vec::new(),
    }
}
