//! The command line options of the daemon.

use std::process;

fn output(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_trefoildyked")).args(arguments).output().unwrap()
}

#[test]
fn check_config_prints_the_default_settings() {
    let output = output(&["--check-config"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    for key in ["host: ", "callers: 127.0.0.1:7400", "isolation_ms: 3000", "seeds: []"] {
        assert!(text.contains(key), "{key} is missing in {text}");
    }
}

#[test]
fn missing_settings_file_is_an_error_with_a_remedy() {
    let output = output(&["--config", "/nonexistent.yaml"]);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("pass the settings file with --config FILE"), "{text}");
}
