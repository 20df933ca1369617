"""The single text: parsing, validation, comparison and acceptance."""
