//! Type aliases for identifiers.

use std::sync::Arc;

use uuid::Uuid;

/// Position of an entry in the platform's log.
pub type Offset = u64;
/// Identifier of a log record; a record appended more than once is applied once.
pub type OpId = Uuid;
/// Identifier of a job: a version 7 UUID, which contains the time of its creation.
pub type JobId = Uuid;
/// Path of a team's node in the settings tree, `org/<organisation>/<team>`.
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
/// Number of an attempt to run a job, counted from one by the entry instance that runs it.
pub type Attempt = u32;

/// Creation time of a version 7 UUID, milliseconds since the Unix epoch; `None` for other versions.
pub fn uuid_timestamp_ms(id: &Uuid) -> Option<u64> {
    if id.get_version_num() != 7 {
        return None;
    }
    let bytes = id.as_bytes();
    let timestamp_ms = u64::from_be_bytes([0, 0, bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5]]);
    Some(timestamp_ms)
}

/// Returns the 64-bit FNV-1a hash of a name.
pub fn fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
