//! Fits of values that are generated from known lines and power laws.

use nettleferry_scale::fit::{Fit, Line};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [f64; 5] = [100.0, 1_000.0, 5_000.0, 10_000.0, 20_000.0];

fn points(mut value: impl FnMut(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, value(*size))).collect()
}

/// Whether a value differs from the expected one by at most the relative `tolerance`.
fn near(found: f64, expected: f64, tolerance: f64) -> bool {
    (found - expected).abs() <= tolerance * expected.abs().max(1e-9)
}

#[test]
fn exact_line_is_fitted_without_error() {
    let fit = Fit::from_points(&points(|size| 7.0 + 0.1 * size)).expect("five sizes are fitted");
    assert!(near(fit.line.slope, 0.1, 1e-9) && near(fit.line.intercept, 7.0, 1e-6), "{fit:?}");
    assert!(fit.line.slope_error < 1e-9, "{fit:?}");
    assert!(near(fit.line.at(40_000.0), 4_007.0, 1e-9));
}

#[test]
fn standard_error_of_the_slope_matches_a_computed_example() {
    // y = 2, 4, 5, 4, 5 over x = 1..5: slope 0.6, sum of squared residuals 2.4, sum of squares of x 10,
    // standard error sqrt(2.4 / 3 / 10).
    let line = Line::through(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)])
        .expect("five points are fitted");
    assert!(near(line.slope, 0.6, 1e-12) && near(line.intercept, 2.2, 1e-12), "{line:?}");
    assert!(near(line.slope_error, (2.4f64 / 3.0 / 10.0).sqrt(), 1e-12), "{line:?}");
}

#[test]
fn exponents_of_power_laws_are_recovered() {
    for power in [0.0, 0.5, 1.0, 1.5, 2.0] {
        let fit = Fit::from_points(&points(|size| 3.0 * size.powf(power))).expect("five sizes are fitted");
        let found = fit.exponent.expect("values above zero have an exponent");
        assert!((found.power - power).abs() < 1e-9 && found.error < 1e-9, "{power}: {found:?}");
    }
}

#[test]
fn slope_of_noisy_values_is_within_its_error() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let (mut within, rounds) = (0, 400);
    for _ in 0..rounds {
        let noisy = points(|size| 20.0 + 0.1 * size + 50.0 * (random.random::<f64>() - 0.5));
        let line = Fit::from_points(&noisy).expect("five sizes are fitted").line;
        // With three degrees of freedom, 99 in 100 lie within 5.84 standard errors.
        within += u32::from((line.slope - 0.1).abs() <= 5.84 * line.slope_error);
    }
    assert!(within >= rounds * 97 / 100, "{within} of {rounds} slopes are within their error");
}

#[test]
fn too_few_sizes_equal_sizes_and_zero_values_are_not_fitted() {
    assert_eq!(Fit::from_points(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]), None, "three sizes are too few");
    assert_eq!(Fit::from_points(&[(1.0, 1.0); 4]), None, "four equal sizes have no line");
    let zero = Fit::from_points(&points(|_| 0.0)).expect("zeros are fitted with a line");
    assert_eq!((zero.line.slope, zero.exponent), (0.0, None), "values of zero have no exponent");
}
