//! Plays the cases of the review: `rig CASE FOLDER`; see the claim of each case.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

/// The longest time that a case may take, in seconds.
const LIMIT: u64 = 110;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(LIMIT));
        eprintln!("the case took too long");
        deployment::end_all();
        std::process::exit(2);
    });
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a temporary folder");
    let record = record::Record::new();
    let played = std::panic::catch_unwind(|| cases::play(&case, trouble, &directory, &record));
    let outcome = played
        .unwrap_or_else(|_| cases::Outcome::NotPlayed("a stand-in could not go on".to_owned()));
    deployment::end_all();
    let (code, text) = match &outcome {
        cases::Outcome::Held(text) => (0, text),
        cases::Outcome::Broken(text) => (1, text),
        cases::Outcome::NotPlayed(text) => (2, text),
    };
    record.write(format!("result {code}: {text}"));
    record.save(&format!("{folder}/record.txt"));
    println!("{case} trouble={trouble}: {code} {text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&directory);
    } else {
        println!("kept {}", directory.display());
    }
    std::process::exit(code);
}
