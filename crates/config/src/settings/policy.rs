//! The settings of the decision module except its limits: discovery, load reports, weights, loading and rules.

use nettleferry::{Discovery, Loading, Reports, Rules, Weights, WhenAbsent};

use crate::form::{Form, TimeSpan};

/// Reads `(discovery ...)`: how the worker list is received.
pub(super) fn discovery(top: &mut Form) -> Discovery {
    let keywords = [("push", Discovery::Push), ("ask", Discovery::Poll)];
    top.keyword_or("discovery", &keywords, Discovery::Push)
}

/// Reads `(reports ...)`: which responses of workers contain load reports.
pub(super) fn reports(top: &mut Form) -> Reports {
    let keywords = [("none", Reports::None), ("probe", Reports::Probe), ("answers", Reports::Answers)];
    top.keyword_or("reports", &keywords, Reports::Answers)
}

/// Reads `(weights ...)`: the meaning of the weights in the worker list.
pub(super) fn weights(top: &mut Form) -> Weights {
    let keywords = [
        ("none", Weights::None),
        ("nominal", Weights::Nominal),
        ("rough", Weights::Rough),
        ("live", Weights::Live),
    ];
    top.keyword_or("weights", &keywords, Weights::None)
}

/// Reads `(loading ...)`: how models are loaded onto workers.
pub(super) fn loading(top: &mut Form) -> Loading {
    let mut form = top.list_or_empty("loading");
    let keywords = [("load", WhenAbsent::Load), ("miss", WhenAbsent::Miss)];
    let when_absent = form.keyword_or("when-absent", &keywords, WhenAbsent::Load);
    let (mut ration_window, mut ration_floor, mut ration_share) = (0, 0.0, 0.0);
    if let Some(mut ration) = form.optional_list("ration") {
        ration_window = ration.required::<TimeSpan>("window").map_or(0, |span| span.0);
        ration_floor = ration.value_or("floor", 0.0);
        ration_share = ration.value_or("share", 0.0);
        ration.finish();
    }
    let loading = Loading {
        when_absent,
        keep_alive: form.micros_or("keep-alive", 8_000_000),
        orders: form.value_or("orders", true),
        order_timeout: form.micros_or("order-timeout", 10_000_000),
        notes: form.value_or("notes", true),
        reports_concurrency: form.value_or("crowd", true),
        ration_window,
        ration_floor,
        ration_share,
        unknown_prior_orders: false,
        memory_price: form.value_or("memory-price", 0.0),
    };
    if loading.when_absent == WhenAbsent::Miss && !loading.orders {
        form.error("(when-absent miss) with (orders no): no model would ever be loaded");
    }
    form.finish();
    loading
}

/// Reads `(rules ...)`.
pub(super) fn rules(top: &mut Form) -> Rules {
    let mut form = top.list_or_empty("rules");
    let rules = Rules {
        // Responses must be sent before the deadline; see (limits (answer-margin ...)).
        answer_grace: 0,
        drain_grace: form.micros_or("drain-grace", 500_000),
        must_poll_within: form.micros_or("must-ask-in", 10_000_000),
        start_capacity: form.value_or("start-capacity", 1.0),
        warm_up: form.micros_or("cold", 0),
        overload_factor: form.value_or("overload-factor", 1.0),
        overload_span: form.micros_or("fall", 0),
    };
    if rules.start_capacity <= 0.0 || rules.start_capacity > 1.0 {
        form.error("(start-capacity ...): must be a share above 0 and at most 1");
    }
    form.finish();
    rules
}
