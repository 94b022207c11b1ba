//! When instances with little CPU own partitions.

use std::time::Duration;

use oriolewall::owner_shortage::{Census, Condition};

const HOLD_TIME: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn census(large: usize, small: usize) -> Census {
    Census { large, small }
}

#[test]
fn a_small_instance_steps_in_after_a_lasting_shortage_only() {
    let mut condition = Condition::new(HOLD_TIME);
    assert!(!condition.calls_for_step_in(at(0), census(2, 0)));
    assert!(!condition.calls_for_step_in(at(1), census(3, 0)), "there were enough in between");
    assert!(!condition.calls_for_step_in(at(2), census(1, 1)));
    assert!(condition.calls_for_step_in(at(3), census(1, 1)));
}

#[test]
fn small_instances_keep_no_partitions_once_larger_ones_are_back() {
    // Three small instances kept the busiest pools to the end while six larger ones had none.
    let mut condition = Condition::new(HOLD_TIME);
    assert!(!condition.calls_for_return(at(0), census(2, 3)));
    assert!(!condition.calls_for_return(at(1), census(6, 3)));
    assert!(condition.calls_for_return(at(2), census(6, 3)));
}

#[test]
fn partitions_do_not_go_back_and_forth() {
    // Whatever the sizes, an instance that has just given back is not called again.
    for large in 0..8 {
        for small in 0..8 {
            let (mut back, mut step_in) = (Condition::new(Duration::ZERO), Condition::new(Duration::ZERO));
            if back.calls_for_return(at(0), census(large, small)) {
                assert!(!step_in.calls_for_step_in(at(0), census(large, 0)), "{large} and {small}");
            }
        }
    }
}
