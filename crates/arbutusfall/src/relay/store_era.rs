//! Era of the platform's store: it rises by one each time the store returns from an older copy of its contents.

use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::lock::lock;
use crate::relay::waiters::Waiters;

/// What an answer's era says about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EraObservation {
    /// The answer is the first one with an era.
    First,
    /// The answer is of the newest era known.
    Current,
    /// The store has returned from an older copy since `previous`.
    Newer {
        /// Newest era known before.
        previous: u64,
    },
    /// The answer is from before the store's last return: what it says may be lost.
    Older,
}

/// Newest era seen in any answer of the store.
#[derive(Debug, Default)]
pub(super) struct StoreEra(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    newest: Option<u64>,
    /// Tasks to be woken when the era rises.
    waiters: Waiters,
}

impl StoreEra {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    /// Returns the newest era seen; `None` if no answer had one.
    pub(super) fn newest(&self) -> Option<u64> {
        self.state().newest
    }

    /// Takes the era of an answer.
    pub(super) fn observe(&self, era: u64) -> EraObservation {
        let mut state = self.state();
        let Some(newest) = state.newest else {
            state.newest = Some(era);
            state.waiters.wake_all();
            return EraObservation::First;
        };
        if era < newest {
            return EraObservation::Older;
        }
        state.newest = Some(era);
        if era == newest {
            return EraObservation::Current;
        }
        state.waiters.wake_all();
        EraObservation::Newer { previous: newest }
    }

    /// Waits until the newest era is another one than `era`.
    pub(super) async fn changed_from(&self, era: Option<u64>) {
        let risen = {
            let mut state = self.state();
            if state.newest != era {
                return;
            }
            state.waiters.add()
        };
        risen.await;
    }
}
