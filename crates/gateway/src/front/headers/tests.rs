//! Unit tests of `headers`.

use super::*;

fn parts(headers: &[(&str, &str)]) -> request::Parts {
    let mut request = http::Request::post("http://x/y");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a valid request").into_parts().0
}

#[test]
fn other_content_types_are_answered_with_415() {
    for kind in ["application/grpc", "application/grpc+proto", "application/grpc; v=1"] {
        assert_eq!(check_grpc(&parts(&[("content-type", kind)])), Ok(()), "{kind}");
    }
    for kind in ["application/json", "application/grpc-web", "application/grpc+json", ""] {
        assert_eq!(
            check_grpc(&parts(&[("content-type", kind)])),
            Err(StatusCode::UNSUPPORTED_MEDIA_TYPE),
            "{kind}"
        );
    }
}

#[test]
fn timeouts_and_encodings_are_read_or_rejected() {
    let headers =
        read(&parts(&[("grpc-timeout", "600m"), ("grpc-encoding", "gzip")]), 5).expect("valid headers");
    assert_eq!((headers.deadline, headers.gzip), (Some(600_005), true));
    let error = |name, value| read(&parts(&[(name, value)]), 0).expect_err("rejected").status;
    assert_eq!(error("grpc-timeout", "soon").code, Code::InvalidArgument);
    assert_eq!(error("grpc-encoding", "snappy").code, Code::Unimplemented);
}
