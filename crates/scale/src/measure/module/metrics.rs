//! The figures of `module`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    CALL_MEAN = "call-mean", Microseconds, "all handle calls but those of list changes, over calls of rare functions";
    CALL_P50 = "call-p50", Microseconds, "a call of a rare function from arrival to end: the middle one";
    CALL_P99 = "call-p99", Microseconds, "a call of a rare function: 99 in 100";
    CALL_MAX = "call-max", Microseconds, "the longest call of a rare function";
    FIRST_MEAN = "first-mean", Microseconds, "a call of a function never seen before";
    FIRST_P50 = "first-p50", Microseconds, "a call of a function never seen before: the middle one";
    RETURNING_MEAN = "returning-mean", Microseconds, "a call of a function last called a whole round ago";
    RECENT_MEAN = "recent-mean", Microseconds, "a call of a function called a moment ago";
    RECENT_P50 = "recent-p50", Microseconds, "a call of a function called a moment ago: the middle one";
    RECENT_MAX = "recent-max", Microseconds, "the longest call of a function called a moment ago";
    HANDLE_MEAN = "handle-mean", Microseconds, "one handle call";
    HANDLE_P50 = "handle-p50", Microseconds, "one handle call: the middle one";
    HANDLE_P99 = "handle-p99", Microseconds, "one handle call: 99 in 100";
    HANDLE_MAX = "handle-max", Microseconds, "the longest handle call, list changes not counted";
    PROBES = "probes", Count, "probes for each call of a rare function";
    NOT_SERVED = "not-served", Count, "calls that were refused or failed";
    CHANGE_MEAN = "change-mean", Microseconds, "the event that replaces one worker";
    CHANGE_MAX = "change-max", Microseconds, "the longest event that replaces one worker";
    LIST_WHOLE = "list-whole", Microseconds, "the event that brings the first list";
    LIST_REPLACED = "list-replaced", Microseconds, "the event that brings a list with nothing in common";
    STATE = "state", Bytes, "resident memory added by the calls of rare functions";
    REMEMBERED = "remembered", Count, "things that the module remembers after them";
}
