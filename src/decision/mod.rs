//! Every decision of the controller, and every tuned value, one concern a file.
//!
//! **The ordinary path** is that of the design page, drawn from Żuk et al., "Call Scheduling to Reduce
//! Response Time of a FaaS System", section IV (the Fair-Choice strategy: recent calls of the function
//! times their expected processing time):
//!
//! 1. A call goes to the worker last found warm for its function, while our requests there are under the
//!    function's lanes; else to the next worker under that bound along the function's rendezvous order, its
//!    hashed home first ([`placement`]).
//! 2. Else it is held. Held calls leave by the lowest product of their function's recent calls and mean
//!    latency, fixed at arrival ([`arrivals`], [`hold_queue`]).
//! 3. Each answer releases the lowest held call that has room.
//!
//! **All else is a guard**: on whether a worker may take a request now ([`placement`]), or at a request's end
//! ([`attempts`]).
//!
//! | file | decides |
//! | --- | --- |
//! | [`events`] | which decision an event leads to |
//! | [`arrivals`] | a call's priority, tenant quotas |
//! | [`placement`] | the worker of a call |
//! | [`hold_queue`] | the order of held calls and when they leave |
//! | [`attempts`] | what the begin and the end of an attempt show |
//! | [`retry`] | a further attempt, or the final answer; idempotency |
//! | [`worker_load`] | how loaded a worker is by calls of others |
//! | [`replica_loading`], [`load_ration`] | where and how often replicas are ordered |
//! | [`outlier_ejection`] | which workers fail too often |
//! | [`health_check`], [`response_timeout`] | which workers do not answer, and what that means |
//! | [`slow_start`] | what a worker that warms up may be sent |
//! | [`endpoint_list`] | which workers are in service; when the list is polled |
//! | [`timers`] | when the embedding program is to call again |
//! | [`replicas`], [`retention`] | no call: the index of replicas; what is forgotten and when |
//!
//! State is laid out in [`crate::state`] and [`crate::controller`], the rendezvous order in
//! [`crate::rendezvous`]; neither decides anything. Equal events give equal actions: no clock, no hash order,
//! one seeded generator.

mod arrivals;
mod attempts;
mod endpoint_list;
mod events;
mod health_check;
mod hold_queue;
mod load_ration;
mod outlier_ejection;
mod placement;
mod replica_loading;
mod replicas;
mod response_timeout;
mod retention;
mod retry;
mod slow_start;
mod timers;
mod worker_load;
