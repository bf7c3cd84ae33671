//! The size of the crate's source files, which is held to what a reader can take in.

use std::path::{Path, PathBuf};

/// Lines that a source file may have at most.
const MAX_LINES: usize = 500;
/// Characters that a line may have at most, as in `rustfmt.toml`; the formatter does not wrap comments.
const MAX_LINE_WIDTH: usize = 110;
/// The same in tests, where the formatter leaves the lines of macros as they are.
const MAX_TEST_LINE_WIDTH: usize = 125;

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            found.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

fn assert_within_limits(folder: &str, max_line_width: usize) {
    let files = source_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder));
    assert!(files.len() > 10, "{} files were found in {folder}", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file is readable");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", file.display());
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= max_line_width, "{}: a line of {widest} characters", file.display());
    }
}

#[test]
fn every_source_file_stays_within_its_limits() {
    assert_within_limits("src", MAX_LINE_WIDTH);
}

#[test]
fn every_test_file_stays_within_its_limits() {
    assert_within_limits("tests", MAX_TEST_LINE_WIDTH);
}
