//! Invalid settings must be reported with their position and end the daemon with exit status 2.

use std::process::Command;

const VALID: &str = "vm: entry-1
failure_domain: noord-a
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
platform_address: 127.0.0.1:9
admin_token: a-long-credential
";

/// Validates settings with the daemon; returns its exit status and output.
fn check(name: &str, text: &str) -> String {
    let file = std::env::temp_dir().join(format!("settings-{}-{name}.yaml", std::process::id()));
    std::fs::write(&file, text).expect("the file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_tamarackbendd"))
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the daemon runs");
    std::fs::remove_file(&file).expect("the file can be removed");
    let path = file.display().to_string();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&path, "FILE");
    format!("{:?}\n{}{}", output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn each_fault_has_one_clear_message() {
    let cases = [
        ("valid", VALID.to_owned()),
        ("unknown-key", format!("{VALID}colour: red\n")),
        ("host-name", VALID.replace("127.0.0.1:9", "platform.example:9")),
        ("duration", format!("{VALID}limits: {{ login_timeout: soon }}\n")),
        ("short-token", VALID.replace("a-long-credential", "short")),
        ("zero", format!("{VALID}limits: {{ callers: 0 }}\n")),
        ("missing", VALID.replace("vm: entry-1\n", "")),
    ];
    let shown: Vec<String> =
        cases.iter().map(|(name, text)| format!("-- {name}\n{}", check(name, text))).collect();
    insta::assert_snapshot!(shown.join("\n"));
}
