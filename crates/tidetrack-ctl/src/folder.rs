//! Reads a folder of declarations.

use std::path::Path;

use anyhow::{Context, Result};

use tidetrack_core::codes::Code;
use tidetrack_core::declare::{faults_error, read_folder, DeclaredObjects};

/// Reads and checks all `.toml` files in a folder and its subfolders.
pub fn read(dir: &Path) -> Result<DeclaredObjects> {
    let mut files = Vec::new();
    collect_files(dir, &mut files)?;
    files.sort();
    Ok(read_folder(&files).map_err(|faults| faults_error(Code::BadDeclaration, &faults))?)
}

fn collect_files(dir: &Path, files: &mut Vec<(String, String)>) -> Result<()> {
    let entries = std::fs::read_dir(dir).with_context(|| dir.display().to_string())?;
    for entry in entries {
        let path = entry?.path();
        if path.is_dir() {
            collect_files(&path, files)?;
        } else if path.extension().is_some_and(|e| e == "toml") {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(&path).with_context(|| name.clone())?;
            files.push((name, text));
        }
    }
    Ok(())
}
