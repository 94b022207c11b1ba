//! The state machine of the maintenance process.
