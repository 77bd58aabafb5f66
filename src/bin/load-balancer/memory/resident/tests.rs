use super::{parse_resident_bytes, resident_bytes};

#[test]
fn resident_memory_is_read_from_the_status_of_the_process() {
    let status = "Name:\tx\nVmRSS:\t    9 kB\nRssAnon:\t    5120 kB\nRssFile:\t    7 kB\n";
    assert_eq!(parse_resident_bytes(status), Some(5 << 20));
    assert!(resident_bytes().is_some_and(|bytes| bytes > 0));
}

#[test]
fn unknown_resident_memory_is_none() {
    for status in [
        "",
        "VmRSS:",
        "VmRSS: x kB",
        "VmRSS: 99999999999999999999 kB",
    ] {
        assert_eq!(parse_resident_bytes(status), None);
    }
}
