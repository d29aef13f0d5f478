//! Errors in fault plans are reported with their line.

use testbed::plan::Plan;

const VALID_PLAN: &str = "seed = 1\nnodes = 3\nworkers = 2\nrate = 5.0\nquota = 5.0\nlength_s = 3\n";

#[test]
fn invalid_fault_plan_is_reported_with_its_line() {
    assert!(Plan::parse(VALID_PLAN).is_ok());
    for (fault, line) in [
        ("[[fault]]\nat_s = 1\nwhat = \"kill\"\nnodes = [3]", 7),
        ("[[fault]]\nat_s = 4\nwhat = \"kill\"\nnodes = [0]", 7),
        ("[[fault]]\nat_s = 1\nwhat = \"hang\"", 9),
        ("[[fault]]\nat_s = 1\nwhat = \"link\"\nrule = { loss = 2.0 }", 7),
        ("[[fault]]\nat_s = 1\nwhat = \"link\"\nrule = { los = 0.2 }", 10),
    ] {
        let error = Plan::parse(&format!("{VALID_PLAN}{fault}")).expect_err(fault);
        assert_eq!(error.line(), line, "{fault}: {error}");
    }
}
