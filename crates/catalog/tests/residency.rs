//! The regions in which a request may be served, cached and stored.

use base::RegionId;
use catalog::Residency;

fn within(regions: &[&str]) -> Residency {
    Residency::declared(regions.iter().map(|r| RegionId::from(*r)))
}

#[test]
fn a_declaration_that_names_no_region_restricts_nothing() {
    assert_eq!(within(&[]), Residency::Anywhere);
    assert!(within(&[]).allows(&"dakar".into()));
}

#[test]
fn the_regions_of_a_route_and_a_workspace_intersect() {
    let both = within(&["dakar", "thies"]).intersect(&within(&["thies", "saint-louis"]));
    assert_eq!(both, within(&["thies"]));
    assert_eq!(Residency::Anywhere.intersect(&within(&["thies"])), within(&["thies"]));
    assert_eq!(within(&["thies"]).intersect(&Residency::Anywhere), within(&["thies"]));
}

/// Guards against two declarations without a common region being treated as no restriction.
#[test]
fn declarations_that_exclude_each_other_allow_nothing() {
    let none = within(&["dakar"]).intersect(&within(&["thies"]));
    assert!(none.is_nowhere());
    assert!(!none.allows(&"dakar".into()));
    assert!(!none.allows(&"thies".into()));
    assert!(!within(&["dakar"]).is_nowhere());
}

/// Guards against use of a target whose failure domain isn't in the settings.
#[test]
fn an_unknown_region_is_allowed_only_without_a_restriction() {
    assert!(!within(&["dakar"]).allows_place(None));
    assert!(Residency::Anywhere.allows_place(None));
}
