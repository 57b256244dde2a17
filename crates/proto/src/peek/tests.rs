//! Unit tests of the metadata readers.

use super::*;
use crate::inference::*;
use prost::Message;

fn request() -> ModelInferRequest {
    ModelInferRequest {
        model_name: "climb".into(),
        model_version: "2".into(),
        id: "r-1".into(),
        parameters: [("segments".to_owned(), InferParameter::from(3))].into(),
        raw_input_contents: vec![Bytes::from(vec![7u8; 100_000])],
        ..Default::default()
    }
}

#[test]
fn head_is_read_past_large_tensors() {
    let head = infer_request(&request().encode_to_vec().into()).expect("the request is valid");
    assert_eq!((head.model.as_str(), head.version.as_str(), head.id.as_str()), ("climb", "2", "r-1"));
    assert_eq!(head.parameters[0].1.int64(), Some(3));
}

#[test]
fn truncated_message_never_panics() {
    let whole: Bytes = request().encode_to_vec().into();
    for end in 0..200 {
        let _ = infer_request(&whole.slice(..end));
    }
    assert!(matches!(infer_request(&whole.slice(..whole.len() - 1)), Err(PeekError::Malformed(_))));
    assert!(infer_request(&Bytes::from_static(&[0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f])).is_err());
}

#[test]
fn long_name_is_rejected_with_its_field() {
    let long = ModelInferRequest { id: "x".repeat(MAX_NAME_BYTES + 1), ..request() };
    let error = infer_request(&long.encode_to_vec().into()).expect_err("the id is too long");
    assert_eq!(error, PeekError::TooLong { field: 3, length: MAX_NAME_BYTES + 1 });
}

#[test]
fn final_marker_merges_and_keeps_the_tensors() {
    let response = ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(ModelInferResponse {
            id: "r-1".into(),
            raw_output_contents: vec![Bytes::from_static(b"tensor")],
            ..Default::default()
        }),
    };
    let bytes = Bytes::from(response.encode_to_vec());
    assert!(!stream_response(&bytes).expect("the response is valid").is_final);
    let marked = with_final_marker(&bytes);
    assert!(stream_response(&marked).expect("the response is valid").is_final);
    let decoded = ModelStreamInferResponse::decode(marked).expect("the message is valid");
    let response = decoded.infer_response.expect("it contains a response");
    assert_eq!(response.raw_output_contents, vec![Bytes::from_static(b"tensor")]);
    assert_eq!(response.parameters[FINAL].boolean(), Some(true));
    assert_eq!(response.id, "r-1");
}
