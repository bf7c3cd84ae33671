//! The size of the crate's own source files, which is held to what a reader can take in.

use std::path::Path;

/// Lines that a source file may have at most.
const MAX_LINES: usize = 500;
/// Characters that a line may have at most, as in `rustfmt.toml`; comments are not wrapped by the formatter.
const MAX_LINE_WIDTH: usize = 110;

fn source_files(folder: &Path, found: &mut Vec<std::path::PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            source_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn every_source_file_stays_within_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    source_files(&root.join("src/dispatcher"), &mut files);
    assert!(files.len() >= 7, "{} files were found", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file is readable");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", file.display());
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_LINE_WIDTH, "{}: a line of {widest} characters", file.display());
    }
}
