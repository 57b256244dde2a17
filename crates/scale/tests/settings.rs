//! Validation of plan files: which errors are reported, their position, and the suggested correction.

use nettleferry_scale::capacity::Capacity;
use nettleferry_scale::settings;

const GIB: u64 = 1 << 30;

/// Resources of a fixed machine, so that the tests don't depend on the one that runs them.
fn capacity() -> Capacity {
    Capacity { memory: 4 * GIB, processes: 300, descriptors: 1_000, ports: 28_000 }
}

/// Returns the errors of an invalid plan file.
fn rejection(text: &str) -> String {
    match settings::read("x.sexp", text, &capacity()) {
        Ok(_) => panic!("the plan file was accepted: {text}"),
        Err(errors) => errors.to_string(),
    }
}

#[test]
fn example_files_are_valid() {
    for text in
        [include_str!("../../../examples/scale.sexp"), include_str!("../../../examples/scale-quick.sexp")]
    {
        let large = Capacity { memory: 12 * GIB, descriptors: 20_000, ..capacity() };
        let settings = settings::read("example", text, &large).unwrap_or_else(|errors| panic!("{errors}"));
        assert!(!settings.measures.is_empty());
        assert!(!settings.bounds.is_empty());
    }
}

#[test]
fn unknown_key_error_has_line_column_and_nearest_key() {
    let errors = rejection("(module\n  (workers 1 2)\n  (functoins 10))");
    assert!(
        errors.contains("x.sexp:3:3: module has no key (functoins ...): did you mean functions?"),
        "{errors}"
    );
    let errors = rejection("(modul (workers 1 2))");
    assert!(errors.contains("x.sexp:1:1: the file has no key (modul ...): did you mean module?"), "{errors}");
}

#[test]
fn file_without_a_measure_is_rejected() {
    let errors = rejection("(seed 3)");
    assert!(errors.contains("x.sexp:1:1: nothing is measured: write (module ...) or (list ...)"), "{errors}");
}

#[test]
fn sizes_must_be_positive_and_ascending() {
    for sizes in ["5 5", "9 3", "0 1", ""] {
        let errors = rejection(&format!("(module (workers {sizes}))"));
        assert!(errors.contains("x.sexp:1:9: (workers ...): "), "{errors}");
    }
}

#[test]
fn size_beyond_the_memory_is_rejected_with_the_largest_that_fits() {
    let text = |size: u64| format!("(deadline 30min)\n(list\n  (workers 10 {size}))");
    let small = Capacity { memory: GIB, ..capacity() };
    let errors = match settings::read("x.sexp", &text(100_000), &small) {
        Ok(_) => panic!("a size beyond the memory was accepted"),
        Err(errors) => errors.to_string(),
    };
    assert!(errors.contains("x.sexp:3:3: workers 100000 can't fit: needs "), "{errors}");
    assert!(errors.contains("GiB of memory; there are 1.0 GiB for a run; write at most "), "{errors}");
    let fits: u64 = errors
        .split("write at most ")
        .nth(1)
        .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
        .and_then(|digits| digits.parse().ok())
        .expect("the error states the largest size that fits");
    assert!(
        settings::read("x.sexp", &text(fits), &small).is_ok(),
        "size {fits} is reported to fit, but was rejected"
    );
    assert!(
        settings::read("x.sexp", &text(fits + 1), &small).is_err(),
        "size {fits} is reported to be the largest that fits, but the next one was accepted"
    );
}

#[test]
fn size_beyond_descriptors_processes_or_ports_is_rejected() {
    let text = "(list (workers 10))";
    let cases = [
        (Capacity { descriptors: 10, ..capacity() }, "descriptors of one process; there are 10 for a run"),
        (Capacity { processes: 1, ..capacity() }, "2 processes; there are 1 for a run"),
        (Capacity { ports: 1, ..capacity() }, "local ports; there are 1 for a run"),
    ];
    for (capacity, expected) in cases {
        let errors =
            settings::read("x.sexp", text, &capacity).err().expect("the plan file is rejected").to_string();
        assert!(errors.contains("x.sexp:1:7: workers 10 can't fit: needs "), "{errors}");
        assert!(errors.contains(expected), "{errors}");
    }
}

#[test]
fn run_that_may_exceed_its_deadline_is_rejected_with_a_sufficient_one() {
    let errors = rejection("(seed 1)\n(deadline 1s)\n(module (workers 1 2 3 20000))");
    assert!(errors.contains("x.sexp:2:1: the run may take "), "{errors}");
    assert!(errors.contains("write (deadline "), "{errors}");
}

#[test]
fn bounds_must_name_measured_metrics_and_sizes() {
    let bound = |bound: &str| rejection(&format!("(module (workers 10 20))\n(bounds {bound})"));
    let errors = bound("(at-most (module call-maen 10) 5us)");
    assert!(errors.contains("x.sexp:2:26: the figure is one of "), "{errors}");
    assert!(errors.contains("did you mean call-mean?"), "{errors}");
    let errors = bound("(at-most (module call-mean 11) 5us)");
    assert!(errors.contains("x.sexp:2:18: size 11 is not measured: write one of 10, 20"), "{errors}");
    let errors = bound("(at-most (list change 10) 5us)");
    assert!(errors.contains("x.sexp:2:18: this file measures module, not list"), "{errors}");
    let errors = bound("(at-most (module call-mean 10) 5)");
    assert!(errors.contains("x.sexp:2:40: (at-most ...): write a span with its unit"), "{errors}");
    let errors = bound("(exponent (module call-mean) 0.5)");
    assert!(errors.contains("x.sexp:2:19: an exponent needs a fit over at least 4 sizes"), "{errors}");
}

#[test]
fn target_needs_a_size_and_a_fit() {
    let errors = rejection("(module (workers 10 20))\n(target (budget (module state) 64MiB))");
    assert!(errors.contains("x.sexp:2:17: the target lacks (workers SIZE)"), "{errors}");
    assert!(errors.contains("a target needs a fit over at least 4 sizes"), "{errors}");
}
