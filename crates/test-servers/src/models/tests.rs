//! Unit tests of `models`.

use super::*;

#[test]
fn longer_segments_come_first_and_sums_are_per_segment() {
    let heights = [0.0, 1.0, 3.0, 2.0, 2.5, 0.5, 1.0, 9.0];
    let answer = answer(&climb_request("climb-x", "7", &heights, 3)).expect("valid request");
    // The 7 steps are divided into segments of 3, 2 and 2.
    let Answer::Climb { segments, .. } = &answer else { panic!("not a result of climb: {answer:?}") };
    assert_eq!(segments, &[(3.0, 1.0), (0.5, 2.0), (8.5, 0.0)]);
    assert_eq!(answer.part(0).parameters[FINAL].boolean(), Some(false));
    assert_eq!(answer.part(2).parameters[FINAL].boolean(), Some(true));
    assert_eq!(answer.complete().outputs[0].shape, [3]);
}

#[test]
fn typed_and_raw_heights_give_the_same_answer() {
    let mut typed = climb_request("climb", "", &[1.0, 2.0], 1);
    let raw = answer(&typed).expect("valid request").complete();
    typed.raw_input_contents.clear();
    typed.inputs[0].contents =
        Some(InferTensorContents { fp32_contents: vec![1.0, 2.0], ..Default::default() });
    let typed = answer(&typed).expect("valid request").complete();
    assert_eq!(raw.raw_output_contents[0], Bytes::from_static(&[0, 0, 128, 63]));
    assert_eq!(typed.outputs[0].contents.as_ref().map(|c| c.fp32_contents[0]), Some(1.0));
    assert!(typed.raw_output_contents.is_empty());
}

#[test]
fn invalid_inputs_are_reported() {
    let error =
        |heights: &[f32], n| answer(&climb_request("climb", "", heights, n)).expect_err("invalid request");
    assert_eq!(error(&[1.0, 2.0], 2), BadInput::Segments { actual: 2, max: 1 });
    assert_eq!(error(&[1.0, 2.0], 0), BadInput::Segments { actual: 0, max: 1 });
    assert_eq!(error(&[1.0], 1), BadInput::NoHeight);
    let mut short = climb_request("climb", "", &[1.0, 2.0], 1);
    short.inputs[0].shape = vec![i64::MAX];
    assert_eq!(answer(&short), Err(BadInput::Length { actual: 2, expected: i64::MAX }));
    assert!(matches!(answer(&ModelInferRequest::default()), Err(BadInput::NoModel(_))));
    assert!(exists("echo-a") && !exists("echoes"));
}
