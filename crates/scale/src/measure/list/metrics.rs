//! The metrics of `list`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    START = "start", Microseconds, "time from the start of the process until it listens";
    MEMORY = "memory", Bytes, "resident memory of the process with the list";
    LIST_BYTES = "list-bytes", Bytes, "size of the list file";
    REST = "rest", Cores, "cores used by the process while calls are made and the list does not change";
    REST_LONGEST = "rest-longest", Microseconds, "longest latency of a call while the list does not change";
    CHANGE = "change", Microseconds, "processor time per change of one worker, beyond that at rest";
    CHANGE_READ = "change-read", Bytes, "bytes read per change of one worker; each check of the file reads it whole";
    CHANGE_LONGEST = "change-longest", Microseconds, "longest latency of a call while single workers change";
    REPLACE = "replace", Microseconds, "processor time per replacement of the whole list, beyond that at rest";
    REPLACE_LONGEST = "replace-longest", Microseconds, "longest latency of a call while the whole list is replaced";
    MEMORY_AFTER = "memory-after", Bytes, "resident memory of the process after all changes";
    NOT_SERVED = "not-served", Count, "calls that failed, or that were not made because too many were open";
}
