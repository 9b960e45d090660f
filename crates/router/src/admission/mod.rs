//! Decisions on load, each for one load pattern and free of sessions and connections.

pub mod concurrency;
pub mod fairness;
pub mod freshness;
pub mod outlier;
pub mod queue;
pub mod retry;
pub mod shedding;
pub mod wait;
