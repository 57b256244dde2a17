//! The metrics of `module`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    CALL_MEAN = "call-mean", Microseconds, "time of all handle calls except list changes, per call of a rare function";
    CALL_P50 = "call-p50", Microseconds, "a call of a rare function from arrival to end: median";
    CALL_P99 = "call-p99", Microseconds, "a call of a rare function: 99th percentile";
    CALL_MAX = "call-max", Microseconds, "a call of a rare function: maximum";
    FIRST_MEAN = "first-mean", Microseconds, "the first call of a function: mean";
    FIRST_P50 = "first-p50", Microseconds, "the first call of a function: median";
    RETURNING_MEAN = "returning-mean", Microseconds, "a call of a rare function one round after its previous call: mean";
    RECENT_MEAN = "recent-mean", Microseconds, "a call of a recently called function: mean";
    RECENT_P50 = "recent-p50", Microseconds, "a call of a recently called function: median";
    RECENT_MAX = "recent-max", Microseconds, "a call of a recently called function: maximum";
    HANDLE_MEAN = "handle-mean", Microseconds, "one handle call: mean";
    HANDLE_P50 = "handle-p50", Microseconds, "one handle call: median";
    HANDLE_P99 = "handle-p99", Microseconds, "one handle call: 99th percentile";
    HANDLE_MAX = "handle-max", Microseconds, "one handle call: maximum, list changes excluded";
    PROBES = "probes", Count, "probes per call of a rare function";
    NOT_SERVED = "not-served", Count, "calls that were refused or failed";
    CHANGE_MEAN = "change-mean", Microseconds, "time to handle the event that replaces one worker: mean";
    CHANGE_MAX = "change-max", Microseconds, "time to handle the event that replaces one worker: maximum";
    LIST_WHOLE = "list-whole", Microseconds, "time to handle the first list";
    LIST_REPLACED = "list-replaced", Microseconds, "time to handle a list that shares no worker with the previous one";
    STATE = "state", Bytes, "resident memory added by the calls of rare functions";
    REMEMBERED = "remembered", Count, "state entries of the module after the calls of rare functions";
}
