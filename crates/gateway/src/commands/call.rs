//! `call`: one inference call, for people.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::model_infer_request::InferInputTensor;
use nettleferry_proto::inference::*;
use nettleferry_scenario::client::{Ask, Client, Heard};
use prost::Message;

use super::{CommandError, announce};

/// Make one inference call.
#[derive(Args)]
pub struct Call {
    /// The gateway, or a worker
    address: SocketAddr,
    /// The model
    model: String,
    /// FP32 values of the one input tensor
    #[arg(allow_negative_numbers = true)]
    values: Vec<f32>,
    /// The input tensor's name
    #[arg(long, default_value = "HEIGHT")]
    input: String,
    /// By ModelStreamInfer: parts are printed as they come
    #[arg(long)]
    stream: bool,
    /// The model's version
    #[arg(long, default_value = "")]
    version_wanted: String,
    /// The call's id
    #[arg(long, default_value = "1")]
    id: String,
    /// A whole-number parameter, as NAME=VALUE; may stand several times
    #[arg(long, value_name = "NAME=VALUE")]
    param: Vec<String>,
    /// Give up after so many milliseconds
    #[arg(long, default_value_t = 10_000)]
    timeout_ms: u64,
    /// The tenant
    #[arg(long)]
    tenant: Option<String>,
}

impl Call {
    fn request(&self) -> Result<ModelInferRequest, CommandError> {
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
        let raw: Vec<u8> = self.values.iter().flat_map(|v| v.to_le_bytes()).collect();
        request.raw_input_contents = vec![raw.into()];
        for param in &self.param {
            let pair =
                param.split_once('=').and_then(|(name, value)| Some((name, value.parse::<i64>().ok()?)));
            let (name, value) = pair.ok_or_else(|| {
                CommandError::Usage(format!(
                    "--param {param:?}: write NAME=VALUE with a whole number, such as segments=3"
                ))
            })?;
            request.parameters.insert(name.to_owned(), value.into());
        }
        Ok(request)
    }

    pub fn run(self) -> Result<u8, CommandError> {
        let request = self.request()?;
        let failed = || CommandError::system("can't open a socket");
        let mut client =
            Client::new(1, NetLimits { connect_timeout: Duration::from_secs(2), ..NetLimits::default() })
                .map_err(failed())?;
        let headers =
            self.tenant.iter().map(|t| (nettleferry_proto::marks::TENANT.to_owned(), t.clone())).collect();
        let timeout = Duration::from_millis(self.timeout_ms);
        let method = if self.stream { "ModelStreamInfer" } else { "ModelInfer" };
        let messages = vec![request.encode_to_vec().into()];
        let ask = Ask { method, messages, timeout: Some(timeout), headers, ..Ask::default() };
        client.call(self.address, ask).map_err(failed())?;
        let until = Instant::now() + timeout + Duration::from_secs(1);
        let mut heard = Vec::new();
        let mut wrong = false;
        while Instant::now() < until {
            client.turn(Some(until - Instant::now()), &mut heard).map_err(failed())?;
            for what in heard.drain(..) {
                match what {
                    Heard::Message { payload, .. } => wrong |= self.show(payload)?,
                    Heard::End { status: Ok(status), trailers, .. } => {
                        if status.code == Code::Ok {
                            return Ok(u8::from(wrong));
                        }
                        let pushback = trailers.get("grpc-retry-pushback-ms").and_then(|v| v.to_str().ok());
                        let advice = match pushback {
                            Some(ms) if ms.starts_with('-') => {
                                " (do not try again: nothing is promised)".to_owned()
                            }
                            Some(ms) => format!(" (another try is harmless, in {ms} ms)"),
                            None => String::new(),
                        };
                        eprintln!("{}: {}{advice}", status.code.name(), status.message);
                        return Ok(1);
                    }
                    Heard::End { status: Err(error), .. } => {
                        eprintln!("{}: {error}", self.address);
                        return Ok(1);
                    }
                }
            }
        }
        eprintln!("{}: no answer within the time given", self.address);
        Ok(1)
    }

    /// Prints a message; true: it tells an error.
    fn show(&self, payload: Bytes) -> Result<bool, CommandError> {
        let read = if self.stream {
            ModelStreamInferResponse::decode(payload)
                .map(|r| (r.error_message, r.infer_response.unwrap_or_default()))
        } else {
            ModelInferResponse::decode(payload).map(|r| (String::new(), r))
        };
        let (error, response) =
            read.map_err(|e| CommandError::Usage(format!("the answer is no message of the protocol: {e}")))?;
        if !error.is_empty() {
            eprintln!("{error}");
            return Ok(true);
        }
        for (at, output) in response.outputs.iter().enumerate() {
            let values = match (&output.contents, response.raw_output_contents.get(at)) {
                (Some(contents), _) if !contents.fp32_contents.is_empty() => contents.fp32_contents.clone(),
                (_, Some(raw)) if output.datatype == "FP32" => {
                    raw.chunks_exact(4).map(|b| f32::from_le_bytes([b[0], b[1], b[2], b[3]])).collect()
                }
                _ => Vec::new(),
            };
            announce(&format!("{} {} {:?}: {values:?}", output.name, output.datatype, output.shape))?;
        }
        Ok(false)
    }
}
