//! Unit tests of `retry`.

use super::*;

const QUICK: RetryPolicy =
    RetryPolicy { timeout: Duration::from_millis(20), pause: Duration::from_millis(1) };

#[test]
fn transient_errors_are_retried_until_the_operation_succeeds() {
    let (mut attempts, mut retries) = (0, 0);
    let operation = || {
        attempts += 1;
        if attempts < 3 { Err("transient") } else { Ok(attempts) }
    };
    assert_eq!(QUICK.run(operation, |_| true, |_| retries += 1), Ok(3));
    assert_eq!(retries, 2);
}

#[test]
fn permanent_errors_are_returned_at_once() {
    let mut attempts = 0;
    let operation = || -> Result<(), &str> {
        attempts += 1;
        Err("permanent")
    };
    assert_eq!(QUICK.run(operation, |_| false, |_| panic!("not retried")), Err("permanent"));
    assert_eq!(attempts, 1);
}

#[test]
fn the_last_error_is_returned_after_the_timeout() {
    let started = Instant::now();
    let result: Result<(), &str> = QUICK.run(|| Err("transient"), |_| true, |_| {});
    assert_eq!(result, Err("transient"));
    assert!(started.elapsed() >= QUICK.timeout);
}
