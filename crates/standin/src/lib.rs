//! Stand-ins of the outside systems (engines, plain service, platform) for tests and the demo.
