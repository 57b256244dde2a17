//! The metrics of `list`.

use crate::measure::Metric;
use crate::measure::Unit::{Bytes, Cores, Count, Microseconds};
use crate::measure::metrics;

metrics! {
    START = "start", Microseconds, "from the start of the process until it listens";
    MEMORY = "memory", Bytes, "resident memory of the process with the list";
    LIST_BYTES = "list-bytes", Bytes, "size of the list file";
    REST = "rest", Cores, "processor time while calls flow and the list stands";
    REST_LONGEST = "rest-longest", Microseconds, "longest call while the list does not change";
    CHANGE = "change", Microseconds, "processor time of a change of one worker, beyond that at rest";
    CHANGE_READ = "change-read", Bytes, "bytes that read calls gave from one change of a worker to the next: each look reads the file whole";
    CHANGE_LONGEST = "change-longest", Microseconds, "longest call while single workers change";
    REPLACE = "replace", Microseconds, "processor time of a list with nothing in common, beyond that at rest";
    REPLACE_LONGEST = "replace-longest", Microseconds, "longest call while the whole list is replaced";
    MEMORY_AFTER = "memory-after", Bytes, "resident memory of the process after all changes";
    NOT_SERVED = "not-served", Count, "calls that were not served, or not begun because too many were open";
}
