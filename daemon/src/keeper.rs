//! Runs the maintenance process.
