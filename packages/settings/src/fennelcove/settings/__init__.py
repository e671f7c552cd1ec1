"""Settings files in S-expressions: parsing into typed structs, validation, and serialization."""
