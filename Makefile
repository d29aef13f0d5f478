# Build, test, lint and run. The node reads its configuration from the file that RELAY_CONFIG names.

build:
	cargo build --locked --release

test: lint build
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	target/release/molevale

.PHONY: build test lint run
