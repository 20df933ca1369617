"""The configuration text: parsing, validation, comparison and replicated state."""
