//! The metrics of `module`. The time of a call is the sum over the `handle` calls for its events. A mean time is the
//! duration of all `handle` calls, also those for timers and probes, divided by the number of calls. Both exclude the
//! `handle` calls that deliver list changes.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    CALL_MEAN = "call-mean", Microseconds, "time of a call of a rare function: mean";
    CALL_P50 = "call-p50", Microseconds, "time of a call of a rare function: median";
    CALL_P99 = "call-p99", Microseconds, "time of a call of a rare function: 99th percentile";
    CALL_MAX = "call-max", Microseconds, "time of a call of a rare function: maximum";
    FIRST_MEAN = "first-mean", Microseconds, "time of the first call of a function: mean";
    FIRST_P50 = "first-p50", Microseconds, "time of the first call of a function: median";
    RETURNING_MEAN = "returning-mean", Microseconds, "time of a call of a rare function one round after its previous call: mean";
    RECENT_MEAN = "recent-mean", Microseconds, "time of a call of a recently called function: mean";
    RECENT_P50 = "recent-p50", Microseconds, "time of a call of a recently called function: median";
    RECENT_MAX = "recent-max", Microseconds, "time of a call of a recently called function: maximum";
    HANDLE_MEAN = "handle-mean", Microseconds, "one handle call during the calls of rare functions: mean";
    HANDLE_P50 = "handle-p50", Microseconds, "one handle call during the calls of rare functions: median";
    HANDLE_P99 = "handle-p99", Microseconds, "one handle call during the calls of rare functions: 99th percentile";
    HANDLE_MAX = "handle-max", Microseconds, "one handle call during the calls of rare functions: maximum";
    PROBES = "probes", Count, "probes per call of a rare function";
    NOT_SERVED = "not-served", Count, "calls that were refused or failed";
    CHANGE_MEAN = "change-mean", Microseconds, "time to handle the event that replaces one worker: mean";
    CHANGE_MAX = "change-max", Microseconds, "time to handle the event that replaces one worker: maximum";
    LIST_WHOLE = "list-whole", Microseconds, "time to handle the first list";
    LIST_REPLACED = "list-replaced", Microseconds, "time to handle a list that shares no worker with the previous one";
    STATE = "state", Bytes, "resident memory added by the calls of rare functions";
    REMEMBERED = "remembered", Count, "state entries of the module after the calls of rare functions";
}
