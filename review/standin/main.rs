//! Plays a case of the review: `standin CASE FOLDER`, in the root of the repository. With
//! `TROUBLE=0` in the environment the disruption is left out. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod cases;
mod further;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        println!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let folder = PathBuf::from(folder);
    let code = match cases::play(&case, &folder, trouble) {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    std::process::exit(code);
}
