//! The scheduler of one cell: the engines of one service that one VM owns at a time.
//!
//! The owner of a cell sees every arrival and every slot of the cell, so it can reserve the
//! decode slot and the link before a prefill starts. See `docs/design.md`, section 6.4.

mod types;

pub use types::{
    Action, Attempt, Class, Engine, EngineReport, Failure, Job, JobId, Reason, Role, SchedOptions,
};
