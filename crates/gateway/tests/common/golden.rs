//! Files under `tests/golden`: data written by earlier versions of the program, and lists of names that must not change
//! unintentionally.

use std::path::{Path, PathBuf};

/// Environment variable; when set, the lists are rewritten instead of compared.
const UPDATE: &str = "UPDATE_GOLDEN";

pub(crate) fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Asserts that these lines, in this order, are those of the golden file of this name.
#[track_caller]
pub(crate) fn check_lines(name: &str, lines: impl IntoIterator<Item = String>) {
    let lines: Vec<String> = lines.into_iter().collect();
    let file = path(name);
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&file, lines.join("\n") + "\n").expect("golden file written");
        return;
    }
    let text = std::fs::read_to_string(&file).expect("golden file exists");
    let expected: Vec<&str> = text.lines().collect();
    let missing: Vec<_> = expected.iter().filter(|line| !lines.iter().any(|l| l == *line)).collect();
    let new: Vec<_> = lines.iter().filter(|line| !expected.contains(&line.as_str())).collect();
    assert!(missing.is_empty() && new.is_empty(), "{name}: missing {missing:#?}, new {new:#?}");
    assert_eq!(lines, expected, "{name}: the same lines in another order");
}

/// A temporary copy of a folder of stored data, with its `.gz` files decompressed.
pub(crate) fn copy_of(name: &str) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("temporary folder");
    copy(&path(name), dir.path());
    dir
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("folder created");
    for entry in std::fs::read_dir(from).expect("folder readable") {
        let entry = entry.expect("directory entry readable");
        let (from, to) = (entry.path(), to.join(entry.file_name()));
        if from.is_dir() {
            copy(&from, &to);
        } else if from.extension().is_some_and(|e| e == "gz") {
            let compressed = std::fs::File::open(&from).expect("compressed file opens");
            let mut file = std::fs::File::create(to.with_extension("")).expect("file created");
            std::io::copy(&mut flate2::read::GzDecoder::new(compressed), &mut file)
                .expect("file decompressed");
        } else {
            std::fs::copy(&from, &to).expect("file copied");
        }
    }
}
