//! The models of a test worker. `echo` and `echo-*` return their input tensors. `climb` and `climb-*` return the total
//! ascent and descent of a height profile for each of its segments.

use bytes::Bytes;
use nettleferry_proto::inference::infer_parameter::ParameterChoice;
use nettleferry_proto::inference::model_infer_response::InferOutputTensor;
use nettleferry_proto::inference::{
    FINAL, InferParameter, InferTensorContents, ModelInferRequest, ModelInferResponse,
};

/// An invalid request. The text is returned to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadInput {
    /// No model has this name.
    #[error("there is no model {0}: the names are echo, echo-*, climb and climb-*")]
    NoModel(String),
    /// The request to `climb` has no valid input `HEIGHT`.
    #[error("climb needs an input HEIGHT of datatype FP32 with one dimension and at least two values")]
    NoHeight,
    /// The number of values differs from the shape of the tensor.
    #[error("HEIGHT has {actual} values, but its shape says {expected}")]
    Length {
        /// Number of values in the request.
        actual: usize,
        /// Number of values according to the shape.
        expected: i64,
    },
    /// The parameter `segments` is out of range.
    #[error("segments is a whole number from 1 to the number of steps, {max}; given: {actual}")]
    Segments {
        /// The value in the request. 0 if the parameter is not an integer.
        actual: i64,
        /// The maximum: the number of steps between neighbouring heights.
        max: usize,
    },
}

/// The result of a call. A streamed call gets it in parts. Any other call gets it in one response.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The input tensors, unchanged.
    Echo(Box<ModelInferResponse>),
    /// The result of `climb`.
    Climb {
        /// Name of the model.
        model: String,
        /// Id of the request.
        id: String,
        /// Total ascent and descent of each segment.
        segments: Vec<(f32, f32)>,
        /// Whether tensors are encoded as raw bytes instead of typed contents. The request decides it.
        raw: bool,
    },
}

/// Computes the result of a request.
///
/// # Errors
/// If the model does not exist, or its input is invalid.
pub fn answer(request: &ModelInferRequest) -> Result<Answer, BadInput> {
    let name = request.model_name.as_str();
    if name == "echo" || name.starts_with("echo-") {
        Ok(Answer::Echo(Box::new(echo(request))))
    } else if name == "climb" || name.starts_with("climb-") {
        climb(request)
    } else {
        Err(BadInput::NoModel(name.to_owned()))
    }
}

/// Whether a model of this name exists.
pub fn exists(name: &str) -> bool {
    ["echo", "climb"]
        .iter()
        .any(|model| name.strip_prefix(model).is_some_and(|rest| rest.is_empty() || rest.starts_with('-')))
}

fn echo(request: &ModelInferRequest) -> ModelInferResponse {
    let outputs = request.inputs.iter().map(|input| InferOutputTensor {
        name: input.name.clone(),
        datatype: input.datatype.clone(),
        shape: input.shape.clone(),
        parameters: input.parameters.clone(),
        contents: input.contents.clone(),
    });
    ModelInferResponse {
        model_name: request.model_name.clone(),
        model_version: request.model_version.clone(),
        id: request.id.clone(),
        parameters: Default::default(),
        outputs: outputs.collect(),
        raw_output_contents: request.raw_input_contents.clone(),
    }
}

fn climb(request: &ModelInferRequest) -> Result<Answer, BadInput> {
    let index =
        request.inputs.iter().position(|i| i.name == "HEIGHT" && i.datatype == "FP32" && i.shape.len() == 1);
    let index = index.ok_or(BadInput::NoHeight)?;
    let input = &request.inputs[index];
    let heights: Vec<f32> = match request.raw_input_contents.get(index) {
        Some(raw) => raw.chunks_exact(4).map(|b| f32::from_le_bytes([b[0], b[1], b[2], b[3]])).collect(),
        None => input.contents.as_ref().map(|c| c.fp32_contents.clone()).unwrap_or_default(),
    };
    if heights.len() as i64 != input.shape[0] {
        return Err(BadInput::Length { actual: heights.len(), expected: input.shape[0] });
    }
    let steps = heights.len().checked_sub(1).filter(|n| *n > 0).ok_or(BadInput::NoHeight)?;
    let requested = request.parameters.get("segments").map_or(Some(1), InferParameter::int64).unwrap_or(0);
    let segments = usize::try_from(requested).ok().filter(|n| (1..=steps).contains(n));
    let segments = segments.ok_or(BadInput::Segments { actual: requested, max: steps })?;
    let (min_length, longer_segments) = (steps / segments, steps % segments);
    let mut from = 0;
    let sums = (0..segments).map(|n| {
        let length = min_length + usize::from(n < longer_segments);
        let part = &heights[from..=from + length];
        from += length;
        part.windows(2).fold((0.0f32, 0.0f32), |(up, down), pair| {
            let rise = pair[1] - pair[0];
            if rise > 0.0 { (up + rise, down) } else { (up, down - rise) }
        })
    });
    Ok(Answer::Climb {
        model: request.model_name.clone(),
        id: request.id.clone(),
        segments: sums.collect(),
        raw: !request.raw_input_contents.is_empty(),
    })
}

impl Answer {
    /// Returns the number of responses in which the result is streamed.
    pub fn parts(&self) -> usize {
        match self {
            Self::Echo(_) => 1,
            Self::Climb { segments, .. } => segments.len(),
        }
    }

    /// Returns part `n`, counted from 0, for a stream. The last part has [`FINAL`] set to true.
    pub fn part(&self, n: usize) -> ModelInferResponse {
        let mut response = match self {
            Self::Echo(response) => (**response).clone(),
            Self::Climb { model, id, segments, raw } => {
                let pair = segments.get(n..=n).unwrap_or_default();
                climb_response(model, id, pair, *raw)
            }
        };
        response.parameters.insert(FINAL.to_owned(), (n + 1 == self.parts()).into());
        response
    }

    /// Returns the whole result as one response, for a call that is not streamed.
    pub fn complete(&self) -> ModelInferResponse {
        match self {
            Self::Echo(response) => (**response).clone(),
            Self::Climb { model, id, segments, raw } => climb_response(model, id, segments, *raw),
        }
    }
}

fn climb_response(model: &str, id: &str, segments: &[(f32, f32)], raw: bool) -> ModelInferResponse {
    let mut response =
        ModelInferResponse { model_name: model.to_owned(), id: id.to_owned(), ..Default::default() };
    let rises = segments.iter().map(|s| s.0).collect();
    let falls = segments.iter().map(|s| s.1).collect();
    for (name, values) in [("ASCENT", rises), ("DESCENT", falls)] {
        let values: Vec<f32> = values;
        let mut tensor = InferOutputTensor {
            name: name.to_owned(),
            datatype: "FP32".to_owned(),
            shape: vec![values.len() as i64],
            ..Default::default()
        };
        if raw {
            let bytes: Vec<u8> = values.iter().flat_map(|v| v.to_le_bytes()).collect();
            response.raw_output_contents.push(bytes.into());
        } else {
            tensor.contents = Some(InferTensorContents { fp32_contents: values, ..Default::default() });
        }
        response.outputs.push(tensor);
    }
    response
}

/// Request parameter by which a test names a call whose request has no id.
const CALL_NAME: &str = "test_call_name";

/// Removes the id of a request, and names the call by a parameter instead, which only the records of test workers use.
pub fn remove_id(request: &mut ModelInferRequest) {
    let name = std::mem::take(&mut request.id);
    let name = InferParameter { parameter_choice: Some(ParameterChoice::StringParam(name)) };
    request.parameters.insert(CALL_NAME.to_owned(), name);
}

/// The name of a call in the records of a test: the id of its request, or the parameter of [`remove_id`].
pub(crate) fn call_name(request: &ModelInferRequest) -> &str {
    match request.parameters.get(CALL_NAME).and_then(|parameter| parameter.parameter_choice.as_ref()) {
        Some(ParameterChoice::StringParam(name)) => name,
        _ => &request.id,
    }
}

/// Builds a `climb` request with raw tensor contents, for clients and tests.
pub fn climb_request(model: &str, id: &str, heights: &[f32], segments: i64) -> ModelInferRequest {
    use nettleferry_proto::inference::model_infer_request::InferInputTensor;
    ModelInferRequest {
        model_name: model.to_owned(),
        id: id.to_owned(),
        parameters: [("segments".to_owned(), segments.into())].into(),
        inputs: vec![InferInputTensor {
            name: "HEIGHT".to_owned(),
            datatype: "FP32".to_owned(),
            shape: vec![heights.len() as i64],
            ..Default::default()
        }],
        raw_input_contents: vec![Bytes::from(
            heights.iter().flat_map(|h| h.to_le_bytes()).collect::<Vec<u8>>(),
        )],
        ..Default::default()
    }
}

#[cfg(test)]
mod tests;
