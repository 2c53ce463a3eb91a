//! Checks the page of guarantees against the tests.

use std::path::Path;

/// Guards against a page that names a test which has been renamed or removed.
#[test]
fn every_test_named_on_the_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/guarantees.md")).expect("the page exists");
    let mut checked = 0;
    let mut missing = Vec::new();
    for quoted in page.split('`').skip(1).step_by(2) {
        let Some((file, name)) = quoted.split_once("::") else {
            continue;
        };
        if Path::new(file)
            .extension()
            .is_none_or(|extension| extension != "rs")
        {
            continue;
        }
        let folders = ["tests", "src", "gateway/tests", "platform/tests"];
        let paths = folders.map(|folder| root.join(folder).join(file));
        let test = format!("#[test]\nfn {name}()");
        let mut sources = paths
            .iter()
            .filter_map(|path| std::fs::read_to_string(path).ok());
        if !sources.any(|source| source.contains(&test)) {
            missing.push(quoted);
        }
        checked += 1;
    }
    assert!(missing.is_empty(), "not found: {missing:#?}");
    assert!(checked >= 40, "only {checked} tests are named");
}
