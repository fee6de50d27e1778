//! The endpoints as this VM sees them: the list, their health, their processes and whether they can be reached.

pub(in crate::relay) mod connect_answer;
pub(in crate::relay) mod end_checks;
pub(in crate::relay) mod endpoint;
pub(in crate::relay) mod event_intervals;
pub(in crate::relay) mod leaving_instances;
pub(in crate::relay) mod list;
pub(in crate::relay) mod reach_handling;
pub(in crate::relay) mod reach_waiting;
pub(in crate::relay) mod reachability;
pub(in crate::relay) mod reservation_silence;
pub(in crate::relay) mod reservation_times;
pub(in crate::relay) mod rests;
pub(in crate::relay) mod run_checks;
pub(in crate::relay) mod run_status;
pub(in crate::relay) mod slow_start;
pub(in crate::relay) mod slow_start_counts;
pub(in crate::relay) mod slow_start_handling;
pub(in crate::relay) mod unmarked_ends;
pub(in crate::relay) mod unproved_ends;
