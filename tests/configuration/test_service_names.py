"""Names of services: unique for any parts, and stable from text to text."""

from hypothesis import example, given
from hypothesis import strategies as st

from chestnutvale.configuration.service_names import (
    ServiceIdentity,
    ServiceNames,
    find_identity,
    keep_service_names,
    make_domain_name,
)
from chestnutvale.schema.configuration_pb2 import Service, Text

# Names made mostly of characters that join names somewhere.
NAMES = st.text(alphabet="ab-@/%:.#2F", max_size=6)
IDENTITIES = st.builds(ServiceIdentity, NAMES, st.none() | NAMES)


@st.composite
def split_in_two_ways(draw):
    """Draw two pairs of names that give one text if joined by some character."""
    text = draw(st.text(alphabet="a-./%", min_size=2, max_size=6))
    cuts = st.integers(0, len(text) - 1)
    return [(text[:cut], text[cut + 1 :]) for cut in (draw(cuts), draw(cuts))]


@st.composite
def joined_or_split(draw):
    """Draw a name, and two parts that give it if joined by some character."""
    text = draw(NAMES.filter(bool))
    cut = draw(st.integers(0, len(text) - 1))
    return text, (text[:cut], text[cut + 1 :])


def make_text(names, number=1):
    """Build a text from services by name."""
    text = Text(number=number)
    for name, identity in names.items():
        service = Service(kind="plain")
        if identity.model is not None:
            service = Service(
                kind="model", pool=identity.listed_name, model=identity.model
            )
        elif name != identity.listed_name:
            service.listed_name = identity.listed_name
        text.services[name].CopyFrom(service)
    return text


def make_canonical_text(identities, number=1):
    return make_text({item.canonical_name: item for item in identities}, number)


def read_identities(text):
    return {find_identity(name, item): name for name, item in text.services.items()}


@given(IDENTITIES, IDENTITIES)
def test_two_identities_never_share_a_canonical_name(one, other):
    # Guards against requests for one service that run at another one: review/3.
    assert (one.canonical_name == other.canonical_name) == (one == other)


@given(split_in_two_ways(), joined_or_split())
@example([("a-b", "c"), ("a", "b-c")], ("ledger-app", ("ledger", "app")))
@example([("a/b", "c"), ("a", "b/c")], ("ledger/app", ("ledger", "app")))
def test_names_that_are_joined_in_another_way_differ(pairs, joined):
    # Guards against requests for one service that run at another one: review/3.
    one, other = (ServiceIdentity(*pair) for pair in pairs)
    assert (one.canonical_name == other.canonical_name) == (one == other)
    name, parts = joined
    assert (
        ServiceIdentity(name).canonical_name != ServiceIdentity(*parts).canonical_name
    )


@given(split_in_two_ways())
@example([("a.b", "c"), ("a", "b.c")])
def test_two_pools_never_share_a_fabric_domain(pairs):
    # Guards against domains of two services that are counted as one.
    one, other = pairs
    assert (make_domain_name(*one) == make_domain_name(*other)) == (one == other)
    assert make_domain_name("llm", "a-d0") == "llm.a-d0"


def test_common_names_stay_readable():
    assert ServiceIdentity("ledger-app").canonical_name == "ledger-app"
    assert ServiceIdentity("chestnut-llm", "m1").canonical_name == "chestnut-llm/m1"


NAMED_POOLS = NAMES.filter(bool)
VALID_IDENTITIES = st.builds(ServiceIdentity, NAMED_POOLS, st.none() | NAMES)


@given(st.lists(st.sets(VALID_IDENTITIES, max_size=4), min_size=1, max_size=5))
def test_names_are_unique_and_stable_through_any_series_of_texts(series):
    in_force = Text()
    for number, identities in enumerate(series, 1):
        before = read_identities(in_force)
        text = make_canonical_text(identities, number)
        keep_service_names(text, in_force)
        names = read_identities(text)
        assert names.keys() == identities
        for identity, name in names.items():
            assert before.get(identity, name) == name
        in_force = text


@given(st.sets(VALID_IDENTITIES, max_size=6))
def test_index_finds_each_service_under_its_own_name(identities):
    text = make_canonical_text(identities)
    names = ServiceNames.from_text(text)
    assert {names.find(item) for item in identities} == set(text.services)


def test_names_of_an_earlier_build_are_kept():
    # Guards against groups that are formed anew after an upgrade.
    model = ServiceIdentity("ledger", "app")
    in_force = make_text({"ledger-app": model})
    text = make_canonical_text([model], 2)
    keep_service_names(text, in_force)
    assert read_identities(text) == {model: "ledger-app"}


def test_name_of_another_service_in_force_is_not_reused():
    # Guards against groups of one service that get the requests of another one.
    model, plain = ServiceIdentity("ledger", "app"), ServiceIdentity("ledger-app")
    in_force = make_text({"ledger-app": model})
    text = make_canonical_text([model, plain], 2)
    keep_service_names(text, in_force)
    assert read_identities(text) == {model: "ledger-app", plain: "ledger-app@2"}
    assert text.services["ledger-app@2"].listed_name == "ledger-app"
    following = make_canonical_text([plain], 3)
    keep_service_names(following, text)
    assert read_identities(following) == {plain: "ledger-app@2"}
