"""Limits of the evacuations that the controls keep."""

from typing import Final

OUTCOME_DONE: Final = "done"
OUTCOME_REFUSED: Final = "refused"
STEP_EVACUATE: Final = "evacuate"

# Data centres whose last order is kept. A deployment has a few; the limit bounds the
# snapshot if the known data centres are not configured.
MAX_DATA_CENTRES: Final = 64
# Length of a name, as for other identifiers.
MAX_NAME_CHARACTERS: Final = 128
# Commands of this version and later ones include the evacuations.
EVACUATION_COMMAND_VERSION: Final = 1
