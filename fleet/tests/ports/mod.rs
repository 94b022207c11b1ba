//! Ports on which instances of a test listen.

use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to connections and to listeners that leave the choice
/// to it. One of these could take the port of an instance before it listens, or while it restarts.
const PORTS: Range<u16> = 12_000..32_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a port that is free now and that no other instance of this test has.
pub(crate) fn free_port() -> u16 {
    let start = (std::process::id() % 250 * 80) as u16;
    loop {
        let offset = (start + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % (PORTS.end - PORTS.start);
        let port = PORTS.start + offset;
        // A listener of this process would be inherited by an instance that is started meanwhile,
        // and the port would not be free until that one has executed the program.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return port;
        }
    }
}
