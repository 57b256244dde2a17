//! The queue of what is due to be polled: wakers put keys on it, the hub takes them off.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Wake, Waker};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Stream(u64),
    Conn(u64),
}

#[derive(Default)]
pub(crate) struct DueQueue {
    // Streams are polled before connections, so that what they queue leaves in one write.
    queues: Mutex<(Vec<Arc<Slot>>, Vec<Arc<Slot>>)>,
}

struct Slot {
    queue: Arc<DueQueue>,
    due: Due,
    queued: AtomicBool,
}

impl Wake for Slot {
    fn wake(self: Arc<Self>) {
        Slot::wake_by_ref(&self);
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            let mut queues = self.queue.lock();
            match self.due {
                Due::Stream(_) => queues.0.push(Arc::clone(self)),
                Due::Conn(_) => queues.1.push(Arc::clone(self)),
            }
        }
    }
}

impl DueQueue {
    fn lock(&self) -> MutexGuard<'_, (Vec<Arc<Slot>>, Vec<Arc<Slot>>)> {
        // Nothing that holds the lock can leave the vectors half changed.
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn waker(self: &Arc<Self>, due: Due) -> Waker {
        Waker::from(Arc::new(Slot { queue: Arc::clone(self), due, queued: AtomicBool::new(false) }))
    }

    /// Takes all due streams, or where there are none all due connections. Each may be queued again from now.
    pub(crate) fn take(&self, into: &mut Vec<Due>) {
        let taken = {
            let mut queues = self.lock();
            let part = if queues.0.is_empty() { &mut queues.1 } else { &mut queues.0 };
            std::mem::take(part)
        };
        for slot in taken {
            slot.queued.store(false, Ordering::Release);
            into.push(slot.due);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.lock();
        queues.0.is_empty() && queues.1.is_empty()
    }
}
