//! Aliases for identifiers.

use std::sync::Arc;

use uuid::Uuid;

/// Position of a batch in the platform's log.
pub type Offset = u64;
/// Identifier that makes an append idempotent.
pub type OpId = Uuid;
/// Identifier of a job; a version 7 UUID, so it carries its mint time.
pub type JobId = Uuid;
/// Path of a team's node in the tree, `org/<organisation>/<team>`.
pub type TeamId = Arc<str>;
/// Public part of a caller's key.
pub type KeyId = Arc<str>;
/// Name of an upstream instance (worker).
pub type InstanceId = Arc<str>;
/// Name of a pool.
pub type PoolId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// One incarnation of an entry instance, `<name>@<incarnation>`.
pub type MemberId = Arc<str>;
/// Number of a try to run a job, counted from one by its entry.
pub type Attempt = u32;

/// Milliseconds since the Unix epoch at which a version 7 UUID was minted.
pub fn uuid_timestamp_ms(id: &Uuid) -> Option<u64> {
    if id.get_version_num() != 7 {
        return None;
    }
    let bytes = id.as_bytes();
    let high = u64::from_be_bytes([0, 0, bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5]]);
    Some(high)
}
