//! Decisions on load, each for one load pattern and free of sessions and connections.

pub mod outlier;
pub mod retry;
pub mod wait;
