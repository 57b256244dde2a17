//! Settings of the decision module beside its limits: discovery, reports, loading and the rules.

use nettleferry::{Discovery, Loading, Reports, Rules, Weights, WhenAbsent};

use crate::form::{Form, TimeSpan};

/// Reads how workers are discovered.
pub(super) fn discovery(top: &mut Form) -> Discovery {
    let words = [("push", Discovery::Push), ("ask", Discovery::Poll)];
    top.word_or("discovery", &words, Discovery::Push)
}

/// Reads where load reports come from.
pub(super) fn reports(top: &mut Form) -> Reports {
    let words = [("none", Reports::None), ("probe", Reports::Probe), ("answers", Reports::Answers)];
    top.word_or("reports", &words, Reports::Answers)
}

/// Reads what is known of the weights of workers.
pub(super) fn weights(top: &mut Form) -> Weights {
    let words = [
        ("none", Weights::None),
        ("nominal", Weights::Nominal),
        ("rough", Weights::Rough),
        ("live", Weights::Live),
    ];
    top.word_or("weights", &words, Weights::None)
}

/// Reads `(loading ...)`.
pub(super) fn loading(top: &mut Form) -> Loading {
    let mut form = top.group("loading");
    let absent = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    let when_absent = form.word_or("when-absent", &absent, WhenAbsent::Load);
    let (mut window, mut floor, mut share) = (0, 0.0, 0.0);
    if let Some(mut ration) = form.sub("ration") {
        window = ration.must::<TimeSpan>("window").map_or(0, |s| s.0);
        floor = ration.or("floor", 0.0);
        share = ration.or("share", 0.0);
        ration.end();
    }
    let loading = Loading {
        when_absent,
        keep_alive: form.span_or("keep-alive", 8_000_000),
        orders: form.or("orders", true),
        order_timeout: form.span_or("order-timeout", 10_000_000),
        notes: form.or("notes", true),
        reports_concurrency: form.or("crowd", true),
        ration_window: window,
        ration_floor: floor,
        ration_share: share,
        unknown_prior_orders: false,
        memory_price: form.or("memory-price", 0.0),
    };
    if loading.when_absent == WhenAbsent::Miss && !loading.orders {
        form.fault("(when-absent miss) with (orders no): no model would ever be loaded");
    }
    form.end();
    loading
}

/// Reads `(rules ...)`.
pub(super) fn rules(top: &mut Form) -> Rules {
    let mut form = top.group("rules");
    let rules = Rules {
        // Answers are due before the deadline: see (limits (answer-margin ...)).
        answer_grace: 0,
        drain_grace: form.span_or("drain-grace", 500_000),
        must_poll_within: form.span_or("must-ask-in", 10_000_000),
        start_capacity: form.or("start-capacity", 1.0),
        warm_up: form.span_or("cold", 0),
        overload_factor: form.or("overload-factor", 1.0),
        overload_span: form.span_or("fall", 0),
    };
    if rules.start_capacity <= 0.0 || rules.start_capacity > 1.0 {
        form.fault("(start-capacity ...): a share above 0, at most 1");
    }
    form.end();
    rules
}
