//! Detection of images that slow down others on the same worker.

use std::sync::Arc;
use std::time::{Duration, Instant};

use oriolewall::interference::{Image, Interference, Kind, Observation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Workers of the simulated pool.
const WORKERS: usize = 12;

/// A pool whose tasks report what they cost every half second.
struct World {
    interference: Interference,
    random: StdRng,
    now: Duration,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            interference: Interference::default(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
        }
    }

    /// Lets pairs of images run on random workers for some seconds. `cost` is the cost of the first
    /// one beside the second on a worker, of which each report varies by a fifth.
    fn run(&mut self, seconds: u64, images: &[&str], cost: impl Fn(&str, &str, usize) -> f64) {
        for _ in 0..2 * seconds {
            self.now += Duration::from_millis(500);
            for worker in 0..WORKERS {
                let pair = [0, 1].map(|_| images[self.random.random_range(0..images.len())]);
                for (image, other) in [(pair[0], pair[1]), (pair[1], pair[0])] {
                    let observation = Observation {
                        worker: Arc::from(format!("w{worker}")),
                        rack: Arc::from(format!("r{}", worker / 4)),
                        cost: cost(image, other, worker) * self.random.random_range(0.8..1.25),
                        neighbors: [Image::from(other)].into_iter().collect(),
                        passing: [].into_iter().collect(),
                    };
                    self.interference.record(self.now, &Image::from(image), Kind::Work, observation);
                }
            }
            self.interference.evaluate(self.now);
        }
    }

    fn slowdown(&self, image: &str, neighbor: &str) -> f64 {
        self.interference.slowdown(&Image::from(image), &Image::from(neighbor))
    }
}

#[test]
fn a_one_sided_slowdown_is_found_with_its_size() {
    let mut world = World::new(1);
    world.run(
        10,
        &["a", "b", "c"],
        |image, other, _| if (image, other) == ("a", "b") { 2.0 } else { 1.0 },
    );
    assert!((1.7..2.4).contains(&world.slowdown("a", "b")), "{}", world.slowdown("a", "b"));
    for (image, other) in [("b", "a"), ("a", "c"), ("c", "a"), ("b", "c"), ("c", "b"), ("a", "a")] {
        assert_eq!(world.slowdown(image, other), 1.0, "{image} beside {other}");
    }
}

#[test]
fn a_mutual_slowdown_is_found_on_both_sides() {
    let mut world = World::new(2);
    world.run(10, &["a", "b"], |image, other, _| if image == other { 1.0 } else { 1.8 });
    assert!(1.5 < world.slowdown("a", "b") && 1.5 < world.slowdown("b", "a"));
}

#[test]
fn interference_that_ends_is_forgotten_and_found_again() {
    let mut world = World::new(3);
    let interfering = |image: &str, other: &str, _| if (image, other) == ("a", "b") { 2.0 } else { 1.0 };
    world.run(10, &["a", "b", "c"], interfering);
    assert!(1.5 < world.slowdown("a", "b"));
    world.run(24, &["a", "b", "c"], |_, _, _| 1.0);
    assert_eq!(world.slowdown("a", "b"), 1.0, "they run together and do not interfere");
    world.run(24, &["a", "b", "c"], interfering);
    assert!(1.5 < world.slowdown("a", "b"));
    world.run(24, &["c"], interfering);
    assert!(world.interference.is_empty(), "they have not run together for over 20 s");
}

#[test]
fn without_interference_none_is_found() {
    // Load: 3% of the tasks take seven times as long, whatever runs beside them.
    for seed in 0..20 {
        let mut world = World::new(seed);
        let mut long = StdRng::seed_from_u64(seed);
        for _ in 0..10 {
            let longs: Vec<bool> = (0..WORKERS).map(|_| long.random_bool(0.03)).collect();
            world.run(3, &["a", "b", "c", "d"], |_, _, worker| if longs[worker] { 7.0 } else { 1.0 });
            assert!(world.interference.is_empty(), "seed {seed}");
        }
    }
}

#[test]
fn a_slow_worker_is_not_taken_for_interference() {
    // The image runs on the slow worker more often than elsewhere.
    let mut world = World::new(4);
    for _ in 0..20 {
        world.run(1, &["a", "c"], |_, _, worker| if worker == 0 { 4.0 } else { 1.0 });
        world.run(1, &["a", "b"], |_, _, worker| if worker == 0 { 4.0 } else { 1.0 });
        assert!(world.interference.is_empty());
    }
}

#[test]
fn a_slow_rack_is_not_taken_for_interference() {
    // One image runs only on the slow rack, so all tasks beside it are slow.
    let mut interference = Interference::default();
    let now = Duration::from_secs(100);
    for worker in 0..WORKERS {
        let is_slow = worker < 4;
        let observation = Observation {
            worker: Arc::from(format!("w{worker}")),
            rack: Arc::from(format!("r{}", worker / 4)),
            cost: if is_slow { 3.0 } else { 1.0 },
            neighbors: [Image::from(if is_slow { "b" } else { "c" })].into_iter().collect(),
            passing: [].into_iter().collect(),
        };
        interference.record(now, &Image::from("a"), Kind::Work, observation);
    }
    interference.evaluate(now);
    assert!(interference.is_empty());
}

#[test]
fn a_task_that_is_large_by_itself_is_not_taken_for_interference() {
    // One task takes ten times as long, on one worker, all the time beside the same image.
    let mut world = World::new(5);
    world.run(20, &["a", "b"], |image, other, worker| {
        if worker == 3 && (image, other) == ("a", "b") { 10.0 } else { 1.0 }
    });
    assert!(world.interference.is_empty());
}

#[test]
fn an_image_that_is_often_beside_an_interfering_one_is_not_reported() {
    let mut interference = Interference::default();
    let now = Duration::from_secs(100);
    for round in 0..40 {
        let neighbors: &[&str] = [&["b", "c"][..], &["c"], &["d"], &["b", "c"]][round % 4];
        let observation = Observation {
            worker: Arc::from(format!("w{}", round % 7)),
            rack: Arc::from(""),
            cost: if neighbors.contains(&"b") { 3.0 } else { 1.0 },
            neighbors: neighbors.iter().map(|it| Image::from(*it)).collect(),
            passing: [].into_iter().collect(),
        };
        interference.record(now, &Image::from("a"), Kind::Serving, observation);
    }
    interference.evaluate(now);
    let slowdown = |neighbor: &str| interference.slowdown(&Image::from("a"), &Image::from(neighbor));
    assert!(2.5 < slowdown("b"));
    assert_eq!((slowdown("c"), slowdown("d")), (1.0, 1.0));
}

#[test]
fn many_images_take_bounded_state_and_time() {
    // Load: a busy pool of 450 workers with 100 images, eight on each worker.
    let mut interference = Interference::default();
    let mut random = StdRng::seed_from_u64(6);
    let images: Vec<Image> = (0..100).map(|it| Image::from(format!("image{it}"))).collect();
    let now = Duration::from_secs(100);
    for round in 0..30_000 {
        let worker = random.random_range(0..450);
        let observation = Observation {
            worker: Arc::from(format!("w{worker}")),
            rack: Arc::from(format!("r{}", worker / 20)),
            cost: random.random_range(0.8..1.25),
            neighbors: (0..7).map(|_| images[random.random_range(0..images.len())].clone()).collect(),
            passing: [].into_iter().collect(),
        };
        interference.record(now, &images[round % 64], Kind::Work, observation);
    }
    interference.record(now, &images[99], Kind::Work, empty());
    assert!(interference.observation_count() <= 64 * 256);
    let started = Instant::now();
    for round in 0..64 {
        interference.evaluate(now + Duration::from_millis(32 * round));
    }
    println!("{} observations, {:?}", interference.observation_count(), started.elapsed());
    assert!(interference.is_empty());
}

fn empty() -> Observation {
    Observation {
        worker: Arc::from("w"),
        rack: Arc::from(""),
        cost: 1.0,
        neighbors: [].into_iter().collect(),
        passing: [].into_iter().collect(),
    }
}
