//! Folders of declarations: the examples are valid, and each file under `bad` is rejected with the
//! message in its first line.

use std::path::Path;

use tidetrack_core::declare::read_folder;
use tidetrack_ctl::folder;

type TestResult = datatest_stable::Result<()>;

fn reports_fault(path: &Path) -> TestResult {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|l| l.strip_prefix("# ")).ok_or("no first line")?;
    let faults = read_folder(&[("bad.toml".to_string(), text.clone())])
        .expect_err("the declarations have faults");
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(messages.iter().any(|s| s.contains(expected)), "wanted {expected:?}, got {messages:?}");
    Ok(())
}

fn is_valid(path: &Path) -> TestResult {
    let folder = path.parent().ok_or("no folder")?;
    assert!(folder::read(folder)?.len() > 10);
    Ok(())
}

datatest_stable::harness! {
    { test = reports_fault, root = "tests/bad", pattern = r"\.toml$" },
    { test = is_valid, root = "../../examples/library", pattern = r"models\.toml$" },
}
