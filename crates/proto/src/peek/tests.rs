//! Unit tests of `peek`.

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
fn the_head_is_read_past_large_tensors() {
    let head = infer_request(&request().encode_to_vec().into()).expect("sound");
    assert_eq!((head.model.as_str(), head.version.as_str(), head.id.as_str()), ("climb", "2", "r-1"));
    assert_eq!(head.parameters[0].1.int64(), Some(3));
}

#[test]
fn every_cut_is_an_error_or_a_shorter_head_and_never_a_panic() {
    let whole: Bytes = request().encode_to_vec().into();
    for end in 0..200 {
        let _ = infer_request(&whole.slice(..end));
    }
    assert!(matches!(infer_request(&whole.slice(..whole.len() - 1)), Err(PeekError::Malformed(_))));
    assert!(infer_request(&Bytes::from_static(&[0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f])).is_err());
}

#[test]
fn a_name_over_the_limit_is_told_with_its_field() {
    let long = ModelInferRequest { id: "x".repeat(MOST_NAME + 1), ..request() };
    let error = infer_request(&long.encode_to_vec().into()).expect_err("too long");
    assert_eq!(error, PeekError::TooLong { field: 3, length: MOST_NAME + 1 });
}

#[test]
fn the_final_mark_merges_and_leaves_the_tensors() {
    let answer = ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(ModelInferResponse {
            id: "r-1".into(),
            raw_output_contents: vec![Bytes::from_static(b"tensor")],
            ..Default::default()
        }),
    };
    let bytes = Bytes::from(answer.encode_to_vec());
    assert!(!stream_response(&bytes).expect("sound").last);
    let marked = marked_final(&bytes);
    assert!(stream_response(&marked).expect("sound").last);
    let read = ModelStreamInferResponse::decode(marked).expect("sound").infer_response.expect("there");
    assert_eq!(read.raw_output_contents, vec![Bytes::from_static(b"tensor")]);
    assert_eq!(read.parameters[FINAL].truth(), Some(true));
    assert_eq!(read.id, "r-1");
}
